// Package clocker reads the clocks that the scheduler uses.
package clocker

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// BootTime returns CLOCK_BOOTTIME as a time.Time. It never goes backwards and,
// unlike the monotonic clock, includes the time that the machine was suspended,
// so that timeouts which passed during a suspension are seen as passed.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(fmt.Sprintf("read the boot-time clock: %v", err))
	}
	bootOffset.Store(ts.Nano() - int64(time.Since(processStart)))
	return time.Unix(ts.Unix())
}

// processStart is the reference point for the process's monotonic clock.
var processStart = time.Now()

// bootOffset is the boot time minus the monotonic time since processStart, in
// nanoseconds, as of the last call of BootTime.
var bootOffset atomic.Int64

// ApproxBootTime returns the boot time without a system call. It misses the time
// that the machine was suspended since the last call of BootTime.
func ApproxBootTime() time.Time {
	return time.Unix(0, bootOffset.Load()+int64(time.Since(processStart)))
}

// WallTime returns the wall-clock time, which may jump.
func WallTime() namer.UnixMillis { return namer.UnixMillis(time.Now().UnixMilli()) }
