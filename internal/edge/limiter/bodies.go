package limiter

import (
	"container/list"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// smallBodyBytes is the size up to which a body doesn't count. The memory that is
	// reckoned for a connection includes that much.
	smallBodyBytes = 8 << 10
	minBufferBytes = 512
	// growth is the factor by which the buffer of a body grows.
	growth = 4
)

// ErrDisplaced is returned for a body that was given up because others needed the memory.
var ErrDisplaced = errors.New("too many large bodies at once")

// Bodies reads the bodies of requests. All but small ones share a budget of memory. If it is
// used up, the body that has got no bytes for longest is given up.
type Bodies struct {
	budget  int64
	timeout time.Duration

	mu sync.Mutex
	// released is signaled when used falls.
	released *sync.Cond
	// used is the memory of all buffers that count. leaving is the part of it that bodies
	// which were given up are about to release.
	used, leaving int64
	// readings has the bodies with such buffers that are being read, the one that has got no
	// bytes for longest first.
	readings *list.List
}

// reading is a body that is being read.
type reading struct {
	bodies *Bodies
	// size is the largest buffer that the body may need.
	size int64
	// reserved is the part of Bodies.used that is the body's.
	reserved int64
	// element is the body's in Bodies.readings; nil if it isn't there.
	element     *list.Element
	isDisplaced bool
	// interrupt lets the pending read of the body return.
	interrupt func()
}

// NewBodies returns a Bodies with a budget in bytes. Each body has to be there within
// timeout.
func NewBodies(budget int64, timeout time.Duration) *Bodies {
	b := &Bodies{budget: budget, timeout: timeout, readings: list.New()}
	b.released = sync.NewCond(&b.mu)
	return b
}

// limitTime bounds the time for which the server reads the body of a request from now on,
// also what is left of it after the response.
func (b *Bodies) limitTime(w http.ResponseWriter) {
	// Not supported by a writer that has no connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(b.timeout))
}

// Read returns the body of a request, of at most limit bytes. release must be called once
// the body isn't needed any more, also after an error, which is an *http.MaxBytesError if
// the body is larger than limit, and ErrDisplaced if it was given up.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err error) {
	if r.ContentLength > limit {
		return nil, func() {}, &http.MaxBytesError{Limit: limit}
	}
	controller := http.NewResponseController(w)
	x := &reading{bodies: b, size: bufferSize(r.ContentLength, limit), interrupt: func() {
		// An error means that the connection is closed.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	}}
	b.limitTime(w)
	body, err = x.readAll(http.MaxBytesReader(w, r.Body, limit))
	if x.finish() {
		err = ErrDisplaced
	}
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, x.release, err
}

// bufferSize returns the size of the buffer that a body needs, with one byte more, with
// which its end is found. contentLength is negative if it is unknown.
func bufferSize(contentLength, limit int64) int64 {
	if contentLength >= 0 {
		return contentLength + 1
	}
	return limit + 1
}

func (x *reading) readAll(src io.Reader) ([]byte, error) {
	buf := make([]byte, 0, min(x.size, minBufferBytes))
	for {
		n, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) < cap(buf):
			x.recordProgress()
			continue
		}
		next := min(growth*int64(cap(buf)), x.size)
		if !x.reserve(counted(next)) {
			return nil, ErrDisplaced
		}
		buf = append(make([]byte, 0, next), buf...)
		x.releaseAllBut(counted(next))
	}
}

// counted returns what a buffer of a size takes of the budget.
func counted(size int64) int64 {
	if size <= smallBodyBytes {
		return 0
	}
	return size
}

// recordProgress records that the body has got bytes.
func (x *reading) recordProgress() {
	if x.reserved == 0 {
		return
	}
	x.bodies.mu.Lock()
	defer x.bodies.mu.Unlock()
	if x.element != nil {
		x.bodies.readings.MoveToBack(x.element)
	}
}

// reserve reserves size bytes more. Other bodies are given up for it, and their memory is
// waited for. It reports whether this body goes on: it may be given up meanwhile.
func (x *reading) reserve(size int64) bool {
	if size == 0 {
		return true
	}
	b := x.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.element != nil {
		b.readings.MoveToBack(x.element)
	}
	for !x.isDisplaced && b.used+size > b.budget && b.used > x.reserved {
		b.displace(b.used-b.leaving+size-b.budget, x)
		b.released.Wait()
	}
	if x.isDisplaced {
		return false
	}
	b.used += size
	x.reserved += size
	if x.element == nil {
		x.element = b.readings.PushBack(x)
	}
	return true
}

// displace gives up bodies that will release the given number of bytes, or all but except.
// The caller holds the lock.
func (b *Bodies) displace(bytes int64, except *reading) {
	for e := b.readings.Front(); e != nil && bytes > 0; {
		x := e.Value.(*reading)
		e = e.Next()
		if x == except {
			continue
		}
		bytes -= x.reserved
		b.leaving += x.reserved
		x.isDisplaced = true
		b.readings.Remove(x.element)
		x.element = nil
		x.interrupt()
	}
	b.released.Broadcast()
}

// finish says that the body is read, so that it isn't given up any more. It reports whether
// it was.
func (x *reading) finish() (isDisplaced bool) {
	x.bodies.mu.Lock()
	defer x.bodies.mu.Unlock()
	if x.element != nil {
		x.bodies.readings.Remove(x.element)
		x.element = nil
	}
	return x.isDisplaced
}

func (x *reading) release() { x.releaseAllBut(0) }

// releaseAllBut releases what is reserved beyond size.
func (x *reading) releaseAllBut(size int64) {
	if x.reserved == size {
		return
	}
	x.bodies.mu.Lock()
	defer x.bodies.mu.Unlock()
	x.bodies.used -= x.reserved - size
	if x.isDisplaced {
		x.bodies.leaving -= x.reserved - size
	}
	x.reserved = size
	x.bodies.released.Broadcast()
}
