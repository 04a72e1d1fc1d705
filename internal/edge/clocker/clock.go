// Package clocker reads the clocks that the core is given.
package clocker

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Boot returns the time since the machine's start, as a time that never goes
// back. Unlike the monotonic clock it counts the time that the machine stood
// still, so that what has passed meanwhile is seen to have passed.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(fmt.Sprintf("read the boot-time clock: %v", err))
	}
	standstill.Store(ts.Nano() - int64(time.Since(started)))
	return time.Unix(ts.Unix())
}

// started anchors the monotonic clock of the process.
var started = time.Now()

// standstill is what Boot has last found to be ahead of the monotonic clock.
var standstill atomic.Int64

// Recent returns what Boot would, but for the time that the machine has stood
// still since Boot was last called. It costs no system call.
func Recent() time.Time {
	return time.Unix(0, standstill.Load()+int64(time.Since(started)))
}

// Wall returns the time of day, which may jump.
func Wall() namer.UnixMillis { return namer.UnixMillis(time.Now().UnixMilli()) }
