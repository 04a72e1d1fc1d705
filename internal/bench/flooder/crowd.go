package flooder

import (
	"net"
	"sync"
	"time"
)

// Crowd is a number of connections on which the same was sent.
type Crowd struct {
	conns []net.Conn
}

// Send opens connections to an address of the process and writes the given pieces on each of them, with a pause before
// each piece but the first. Connections that the process refuses or closes are passed
// over. It returns when all is written and the process has taken it up, and leaves the
// connections open.
func (p *process) Send(address string, connections int, pause time.Duration, pieces ...[]byte) *Crowd {
	c := &Crowd{conns: make([]net.Conn, connections)}
	var writers sync.WaitGroup
	for n := range connections {
		writers.Add(1)
		go func() {
			defer writers.Done()
			conn, err := net.DialTimeout("tcp", address, patience)
			if err != nil {
				return
			}
			c.conns[n] = conn
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			for i, piece := range pieces {
				if i > 0 {
					time.Sleep(pause)
				}
				if _, err := conn.Write(piece); err != nil {
					return
				}
			}
		}()
	}
	writers.Wait()
	p.settle()
	return c
}

// Close closes the connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}
