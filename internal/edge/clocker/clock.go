// Package clocker reads the clocks that the core is given.
package clocker

import (
	"fmt"
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
	return time.Unix(ts.Unix())
}

// Wall returns the time of day, which may jump.
func Wall() namer.UnixMillis { return namer.UnixMillis(time.Now().UnixMilli()) }
