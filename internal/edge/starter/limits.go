package starter

import (
	"time"

	"github.com/heatherslip/heatherslip/platform"
)

// Limits of what clients may take. docs/OPERATIONS.md says what happens beyond them.
const (
	// bodyTimeout bounds the time for reading a request's body.
	bodyTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 32 << 10
	// connectionBytes is the memory that is reckoned for a connection of a client, with its
	// buffers, the header, the start of the body and the bytes that aren't read yet.
	connectionBytes = 96 << 10
	// The connections of clients together get the memory limit divided by
	// connectionsMemoryDivisor, and the limit of sockets by connectionsSocketDivisor.
	connectionsMemoryDivisor = 4
	connectionsSocketDivisor = 2
	// minConnections and maxConnections bound the result.
	minConnections = 16
	maxConnections = 8192
	// The large bodies that are being read or decoded get the memory limit divided by
	// bodiesMemoryDivisor, and defaultBodyMemory if there is no limit.
	bodiesMemoryDivisor = 16
	defaultBodyMemory   = 64 << 20
)

// connectionLimit returns how many connections of clients may be open at once.
func connectionLimit(s *platform.Settings) int {
	limit := maxConnections
	if s.SocketLimit > 0 {
		limit = min(limit, s.SocketLimit/connectionsSocketDivisor)
	}
	if s.MemoryLimit > 0 {
		limit = min(limit, int(s.MemoryLimit/connectionsMemoryDivisor/connectionBytes))
	}
	return max(limit, minConnections)
}

// bodyMemory returns the memory for large bodies of requests, in bytes.
func bodyMemory(s *platform.Settings) int64 {
	if s.MemoryLimit <= 0 {
		return defaultBodyMemory
	}
	return s.MemoryLimit / bodiesMemoryDivisor
}
