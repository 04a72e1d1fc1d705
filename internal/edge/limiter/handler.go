package limiter

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// Handler returns a handler that passes requests to next. It bounds the time for which the
// server reads their bodies, also those that next doesn't read, and keeps the connection of
// a request that was read whole open until next returns.
func Handler(next http.Handler, bodies *Bodies) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			defer keepOpen(r.Context())()
			next.ServeHTTP(w, r)
			return
		}
		bodies.limitTime(w)
		body := &watchedBody{ReadCloser: r.Body, ctx: r.Context()}
		r.Body = body
		defer body.endRequest()
		next.ServeHTTP(w, r)
	})
}

// watchedBody is a body that keeps its request's connection open once it was read whole.
type watchedBody struct {
	io.ReadCloser
	ctx context.Context
	// done ends that; nil before.
	done func()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.done == nil {
		b.done = keepOpen(b.ctx)
	}
	return n, err
}

func (b *watchedBody) endRequest() {
	if b.done != nil {
		b.done()
	}
}
