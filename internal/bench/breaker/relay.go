// Package breaker breaks real processes and their connections for tests.
package breaker

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Relay passes connections on to an address, until it is cut.
type Relay struct {
	target string
	ln     net.Listener
	wg     sync.WaitGroup

	mu  sync.Mutex
	cut bool
	// held directions pass nothing on and close nothing; delay is added to
	// whatever is passed on.
	held  [2]bool
	delay time.Duration
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
		r.copy(out, in, ToTarget)
	}()
	go func() {
		defer r.wg.Done()
		r.copy(in, out, ToCaller)
	}()
}

// Direction is one way through a relay.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToCaller
)

const (
	// holdPoll is how often a held direction looks whether it may go on.
	holdPoll = 5 * time.Millisecond
	// chunk is what is passed on at a time, in bytes.
	chunk = 32 << 10
)

// Hold silences a direction, or lets it go on: bytes wait, and no end is told
// that anything is wrong.
func (r *Relay) Hold(d Direction, hold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[d] = hold
}

// Delay adds a time to whatever is passed on.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset ends all connections and takes new ones.
func (r *Relay) Reset() {
	r.Cut(true)
	r.Cut(false)
}

// await waits until a direction may pass something on. It reports whether the
// relay is open.
func (r *Relay) await(d Direction) bool {
	for {
		r.mu.Lock()
		cut, held, delay := r.cut, r.held[d], r.delay
		r.mu.Unlock()
		if cut {
			return false
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		time.Sleep(holdPoll)
	}
}

func (r *Relay) copy(to, from net.Conn, d Direction) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.await(d) {
				break
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
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
