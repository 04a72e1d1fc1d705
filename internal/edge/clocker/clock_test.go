package clocker

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestClocks(t *testing.T) {
	before := BootTime()
	recent := ApproxBootTime()
	after := BootTime()
	must.False(t, recent.After(after))
	must.False(t, after.Before(before))
	must.Positive(t, int64(WallTime()))
}
