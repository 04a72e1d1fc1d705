// Package limiter bounds what the connections and the request bodies of clients take of an
// instance's memory and descriptors, whatever the clients send or leave unfinished.
package limiter

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// receiveBufferBytes bounds what a client can send that isn't read yet, for each
// connection.
const receiveBufferBytes = 32 << 10

// Listen listens on a TCP address, with small receive buffers for its connections.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without it the buffers are larger.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Listener accepts a limited number of connections at a time. At the limit, a new one takes
// the place of that on which no request has been served for longest: it is closed. While
// requests are served on all of them, new ones are closed.
//
// Track connects it with the server that serves it, whose handler is one of Handler.
type Listener struct {
	net.Listener
	limit int
	// onClosed is called for each connection that is closed because of the limit.
	onClosed func()

	mu   sync.Mutex
	open int
	// waiting has the connections on which no request is served, the one that has waited
	// longest first.
	waiting *list.List
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	// served is the number of requests that are served on the connection.
	served int
	// element is the connection's in Listener.waiting; nil while requests are served and once
	// it is closed.
	element  *list.Element
	isClosed bool
}

// NewListener returns a listener that accepts up to limit connections of ln at a time. It
// calls onClosed for each one that is closed because of that.
func NewListener(ln net.Listener, limit int, onClosed func()) *Listener {
	return &Listener{Listener: ln, limit: limit, onClosed: onClosed, waiting: list.New()}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l}
		displaced, isAccepted := l.add(c)
		if displaced != nil {
			l.onClosed()
			// An error means that it was closed already.
			_ = displaced.Close()
		}
		if isAccepted {
			return c, nil
		}
	}
}

// add adds a connection. It returns the one to close for it, if any, which is the connection
// itself if there is no other.
func (l *Listener) add(c *conn) (displaced net.Conn, isAccepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		oldest := l.waiting.Front()
		if oldest == nil {
			return c.Conn, false
		}
		displaced = oldest.Value.(*conn)
		oldest.Value.(*conn).remove()
	}
	l.open++
	c.element = l.waiting.PushBack(c)
	return displaced, true
}

// remove removes the connection from its listener's tables. The caller holds the lock.
func (c *conn) remove() {
	if c.isClosed {
		return
	}
	c.isClosed = true
	c.listener.open--
	c.stopWaiting()
}

func (c *conn) stopWaiting() {
	if c.element != nil {
		c.listener.waiting.Remove(c.element)
		c.element = nil
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.remove()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Track lets the listener know what a server does with its connections.
func (l *Listener) Track(srv *http.Server) {
	srv.ConnState = l.recordState
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// recordState records that a request begins, which counts as progress.
func (l *Listener) recordState(accepted net.Conn, state http.ConnState) {
	c, isOwn := accepted.(*conn)
	if !isOwn || state != http.StateActive {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element != nil {
		l.waiting.MoveToBack(c.element)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// keepOpen keeps the connection of a request from being closed for another one until done is
// called. ctx is the request's.
func keepOpen(ctx context.Context) (done func()) {
	c, isOwn := ctx.Value(connKey{}).(*conn)
	if !isOwn {
		return func() {}
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.served++
	c.stopWaiting()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.served--
		if c.served == 0 && !c.isClosed {
			c.element = l.waiting.PushBack(c)
		}
	}
}
