package limiter

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request that loses its connection to another one while it is served, and
// against one that isn't there whole and keeps it.
func TestHandlerKeepsConnections(t *testing.T) {
	cases := map[string]struct {
		body   io.Reader
		length int64
		// read is how many bytes of the body the handler reads; -1 for all.
		read int64
		kept bool
	}{
		"no body":                      {nil, 0, 0, true},
		"no body, on an HTTP/2 stream": {strings.NewReader(""), 0, 0, true},
		"body read whole":              {strings.NewReader("body"), 4, -1, true},
		"chunked body read whole":      {strings.NewReader("body"), -1, -1, true},
		"body not read":                {strings.NewReader("body"), 4, 0, false},
		"part of the body":             {strings.NewReader("body"), 4, 2, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			source := &pipeListener{ends: make(chan net.Conn, 1)}
			_, end := net.Pipe()
			source.ends <- end
			l := NewListener(source, 1, func() {})
			accepted, err := l.Accept()
			must.NoError(t, err)
			kept := false
			handler := Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				body := io.Reader(r.Body)
				if c.read >= 0 {
					body = io.LimitReader(body, c.read)
				}
				_, _ = io.Copy(io.Discard, body)
				kept = l.waiting.Len() == 0
			}), NewBodies(1<<20, time.Minute))
			request := httptest.NewRequest(http.MethodPost, "/", c.body)
			request.ContentLength = c.length
			handler.ServeHTTP(httptest.NewRecorder(), request.WithContext(requestOn(accepted)))
			must.Eq(t, c.kept, kept)
			must.Eq(t, 1, l.waiting.Len())
		})
	}
}
