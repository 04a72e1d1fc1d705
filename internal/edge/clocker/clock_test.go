package clocker

import (
	"testing"

	"github.com/shoenig/test/must"
)

// BootTime must not go backwards, and ApproxBootTime must not be ahead of a later
// BootTime. Either would give negative durations.
func TestBootTimeNeverGoesBackwards(t *testing.T) {
	before := BootTime()
	recent := ApproxBootTime()
	after := BootTime()
	must.False(t, recent.After(after))
	must.False(t, after.Before(before))
	must.Positive(t, int64(WallTime()))
}
