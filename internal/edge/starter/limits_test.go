package starter

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/platform"
)

// Guards against limits that clients in ordinary numbers meet, and against clients that get
// all memory or all sockets of a machine.
func TestLimitsOfMachines(t *testing.T) {
	cases := map[string]struct {
		memory      int64
		sockets     int
		connections int
		bodies      int64
	}{
		"no limits stated":      {0, 0, 8192, 64 << 20},
		"small sites":           {284 << 20, 3900, 757, 284 << 16},
		"smallest machine":      {144 << 20, 2875, 384, 9 << 20},
		"few sockets":           {284 << 20, 300, 150, 284 << 16},
		"hardly any memory":     {1 << 20, 3900, 16, 1 << 16},
		"large machine":         {64 << 30, 100_000, 8192, 4 << 30},
		"only sockets limited":  {0, 1000, 500, 64 << 20},
		"one socket is allowed": {0, 1, 16, 64 << 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &platform.Settings{MemoryLimit: c.memory, SocketLimit: c.sockets}
			must.Eq(t, c.connections, connectionLimit(s))
			must.Eq(t, c.bodies, bodyMemory(s))
		})
	}
}
