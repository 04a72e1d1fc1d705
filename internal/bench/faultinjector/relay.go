// Package faultinjector injects network faults into the connections of real processes.
// It is for tests.
package faultinjector

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Relay is a TCP proxy for one target address that can stall, delay, close and refuse
// connections. It is safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu           sync.Mutex
	disconnected bool
	// stalled directions forward no data but keep their connections open; delay is the
	// sleep before each chunk of data is forwarded.
	stalled [2]bool
	delay   time.Duration
	// openConns contains the client's and the target's connection of each pair.
	openConns map[net.Conn]struct{}
}

// NewRelay starts a relay to the target address on a free loopback port.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for relay: %w", err)
	}
	r := &Relay{target: target, listener: listener, openConns: make(map[net.Conn]struct{})}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.proxyConnection(conn)
		}
	}()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// proxyConnection connects to the target and starts to copy data in both directions.
func (r *Relay) proxyConnection(clientConn net.Conn) {
	targetConn, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = clientConn.Close()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnected {
		_ = clientConn.Close()
		_ = targetConn.Close()
		return
	}
	r.openConns[clientConn], r.openConns[targetConn] = struct{}{}, struct{}{}
	r.wg.Add(2)
	go func() {
		defer r.wg.Done()
		r.copyData(targetConn, clientConn, ToTarget)
	}()
	go func() {
		defer r.wg.Done()
		r.copyData(clientConn, targetConn, ToClient)
	}()
}

// Direction is a direction of the data that a relay forwards.
type Direction int

// Directions of the data, from the client to the target and back.
const (
	ToTarget Direction = iota
	ToClient
)

const (
	// stallPollInterval is the pause between checks whether a direction is still stalled.
	stallPollInterval = 5 * time.Millisecond
	// copyBufferSize is the largest chunk that is forwarded at once, in bytes.
	copyBufferSize = 32 << 10
)

// SetStalled stops or resumes forwarding in a direction. The data of a stalled direction
// waits and connections stay open, so that neither end sees an error.
func (r *Relay) SetStalled(direction Direction, stalled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalled[direction] = stalled
}

// SetDelay sets the delay of each chunk of data, in both directions.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// CloseConnections closes all connections. New connections are accepted afterwards.
func (r *Relay) CloseConnections() {
	r.SetDisconnected(true)
	r.SetDisconnected(false)
}

// waitToForward waits until a direction is not stalled and then for the delay. It returns
// false if the relay is disconnected.
func (r *Relay) waitToForward(direction Direction) bool {
	for {
		r.mu.Lock()
		disconnected, stalled, delay := r.disconnected, r.stalled[direction], r.delay
		r.mu.Unlock()
		if disconnected {
			return false
		}
		if !stalled {
			time.Sleep(delay)
			return true
		}
		time.Sleep(stallPollInterval)
	}
}

// copyData copies data in one direction until either connection fails, then closes both.
func (r *Relay) copyData(to, from net.Conn, direction Direction) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.waitToForward(direction) {
				break
			}
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
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
	delete(r.openConns, to)
	delete(r.openConns, from)
	r.mu.Unlock()
}

// SetDisconnected closes all connections and closes new ones immediately, until it is
// called with false.
func (r *Relay) SetDisconnected(disconnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = disconnected
	for conn := range r.openConns {
		if disconnected {
			_ = conn.Close()
		}
	}
}

// Close closes the listener and all connections, and waits for the relay's goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetDisconnected(true)
	r.wg.Wait()
}
