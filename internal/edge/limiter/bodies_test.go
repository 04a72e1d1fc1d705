package limiter

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// bodyServer answers with the body, or with the status of the error.
func bodyServer(t *testing.T, b *Bodies, limit int64) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := b.Read(w, r, limit)
		body = bytes.Clone(body)
		release()
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrDisplaced):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			_, _ = w.Write(body)
		}
	}))
	t.Cleanup(srv.Close)
	return srv
}

// post sends a body and returns the status and the body that the server has read.
func post(t *testing.T, url string, body io.Reader, length int64) (int, []byte) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, body)
	must.NoError(t, err)
	request.ContentLength = length
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, read
}

// Guards against bodies that are cut short, refused or read too far although nobody else
// sends one.
func TestBodiesInCalm(t *testing.T) {
	const limit = 100 << 10
	cases := map[string]struct {
		bytes, length int64
		budget        int64
		status        int
	}{
		"empty":                        {0, 0, 1 << 20, http.StatusOK},
		"small":                        {10, 10, 1 << 20, http.StatusOK},
		"as large as a small one":      {smallBodyBytes, smallBodyBytes, 1 << 20, http.StatusOK},
		"just larger":                  {smallBodyBytes + 1, smallBodyBytes + 1, 1 << 20, http.StatusOK},
		"as large as allowed":          {limit, limit, 1 << 20, http.StatusOK},
		"as large as allowed, chunked": {limit, -1, 1 << 20, http.StatusOK},
		"larger than the budget":       {limit, limit, smallBodyBytes, http.StatusOK},
		"too large":                    {limit + 1, limit + 1, 1 << 20, http.StatusRequestEntityTooLarge},
		"too large, chunked":           {limit + 1, -1, 1 << 20, http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBodies(c.budget, time.Minute)
			srv := bodyServer(t, b, limit)
			body := bytes.Repeat([]byte("0123456789abcdef"), int(c.bytes)/16+1)[:c.bytes]
			status, read := post(t, srv.URL, bytes.NewReader(body), c.length)
			must.Eq(t, c.status, status)
			if status == http.StatusOK {
				must.True(t, bytes.Equal(body, read))
			}
			must.Eq(t, 0, b.used)
			must.Eq(t, 0, b.readings.Len())
		})
	}
}

// Guards against unfinished bodies that keep all memory for bodies until they time out.
func TestUnfinishedBodyGivesWay(t *testing.T) {
	const size = 100 << 10
	b := NewBodies(size+size/2, time.Minute)
	srv := bodyServer(t, b, size)
	statuses := make(chan int)
	var writers []*io.PipeWriter
	for range 3 {
		reader, writer := io.Pipe()
		writers = append(writers, writer)
		go func() {
			status, _ := post(t, srv.URL, reader, size)
			statuses <- status
		}()
		_, err := writer.Write(make([]byte, size-1))
		must.NoError(t, err)
		// The server has to have read it before the next body comes.
		for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			b.mu.Lock()
			isRead := b.readings.Len() == 1 && b.used > size && b.leaving == 0
			b.mu.Unlock()
			if isRead {
				break
			}
		}
		if len(writers) > 1 {
			must.Eq(t, http.StatusServiceUnavailable, <-statuses)
		}
	}
	_, err := writers[2].Write([]byte{0})
	must.NoError(t, err)
	must.NoError(t, writers[2].Close())
	must.Eq(t, http.StatusOK, <-statuses)
	for _, w := range writers {
		_ = w.Close()
	}
	must.Eq(t, 0, b.used)
	must.Eq(t, 0, b.leaving)
}
