package limiter

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// pipeListener accepts the ends of pipes.
type pipeListener struct {
	net.Listener
	ends chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) { return <-l.ends, nil }

// isOpen reports whether the other end of a pipe can still be read from.
func isOpen(c net.Conn) bool {
	read := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte{0})
		read <- err
	}()
	return <-read == nil
}

// requestOn returns the context of a request on a connection.
func requestOn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

// Guards against clients that keep all connections without sending a whole request, and
// against the loss of a connection on which a request is served.
func TestConnectionAtLimit(t *testing.T) {
	cases := map[string]struct {
		// prepare is called with the accepted connections, of which there are as many as allowed.
		prepare func(l *Listener, conns []net.Conn)
		// closed is the index of the connection that is closed for a new one, which comes last.
		closed int
	}{
		"nothing was sent": {func(*Listener, []net.Conn) {}, 0},
		"a request has begun on the oldest": {func(l *Listener, conns []net.Conn) {
			l.recordState(conns[0], http.StateActive)
		}, 1},
		"a request is served on the oldest": {func(_ *Listener, conns []net.Conn) {
			keepOpen(requestOn(conns[0]))
		}, 1},
		"a request was served on the oldest": {func(_ *Listener, conns []net.Conn) {
			keepOpen(requestOn(conns[0]))()
		}, 1},
		"one of two requests on the oldest was served": {func(_ *Listener, conns []net.Conn) {
			keepOpen(requestOn(conns[0]))
			keepOpen(requestOn(conns[0]))()
		}, 1},
		"one was closed": {func(_ *Listener, conns []net.Conn) { _ = conns[1].Close() }, 1},
		"one was closed while it was served": {func(_ *Listener, conns []net.Conn) {
			done := keepOpen(requestOn(conns[1]))
			_ = conns[1].Close()
			done()
		}, 1},
	}
	const limit = 3
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			source := &pipeListener{ends: make(chan net.Conn, limit+1)}
			l := NewListener(source, limit, func() {})
			var clients, conns []net.Conn
			accept := func() {
				accepted, err := l.Accept()
				must.NoError(t, err)
				conns = append(conns, accepted)
				go func() { _, _ = accepted.Read(make([]byte, 1)) }()
			}
			connect := func() {
				client, end := net.Pipe()
				clients = append(clients, client)
				source.ends <- end
			}
			for range limit {
				connect()
				accept()
			}
			c.prepare(l, conns)
			connect()
			accept()
			for n, client := range clients {
				must.Eq(t, n != c.closed, isOpen(client), must.Sprintf("connection %d", n))
			}
			must.Eq(t, limit, l.open)
		})
	}
}

// Guards against an instance that has no descriptors left for its workers because clients
// have them all.
func TestConnectionsAreRefusedWhileAllAreServed(t *testing.T) {
	source := &pipeListener{ends: make(chan net.Conn, 3)}
	refused := 0
	l := NewListener(source, 1, func() { refused++ })
	var clients []net.Conn
	for range 3 {
		client, end := net.Pipe()
		clients = append(clients, client)
		source.ends <- end
	}
	first, err := l.Accept()
	must.NoError(t, err)
	done := keepOpen(requestOn(first))
	accepted := make(chan net.Conn)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	must.False(t, isOpen(clients[1]))
	must.False(t, isOpen(clients[2]))
	done()
	client, end := net.Pipe()
	source.ends <- end
	c := <-accepted
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	must.True(t, isOpen(client))
	must.Eq(t, 3, refused)
	must.Eq(t, 1, l.open)
}
