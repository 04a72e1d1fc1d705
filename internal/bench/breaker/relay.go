// Package breaker breaks real processes and their connections for tests.
package breaker

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Relay passes connections on to an address, until it is cut.
type Relay struct {
	target string
	ln     net.Listener
	wg     sync.WaitGroup

	mu  sync.Mutex
	cut bool
	// open holds both ends of all connections.
	open map[net.Conn]struct{}
}

// NewRelay listens on a loopback address of its own.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, ln: ln, open: make(map[net.Conn]struct{})}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r.pass(conn)
		}
	}()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

func (r *Relay) pass(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		_ = in.Close()
		_ = out.Close()
		return
	}
	r.open[in], r.open[out] = struct{}{}, struct{}{}
	r.wg.Add(2)
	go func() {
		defer r.wg.Done()
		r.copy(out, in)
	}()
	go func() {
		defer r.wg.Done()
		r.copy(in, out)
	}()
}

func (r *Relay) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	r.mu.Lock()
	delete(r.open, to)
	delete(r.open, from)
	r.mu.Unlock()
}

// Cut ends all connections and takes no new ones, until it is called with
// false.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for conn := range r.open {
		if cut {
			_ = conn.Close()
		}
	}
}

// Close ends the relay and waits until nothing runs any more.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Cut(true)
	r.wg.Wait()
}
