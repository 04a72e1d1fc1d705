package starter

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/edge/follower"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

// TestOddEntryIsLoggedOnce checks that an odd entry, which its writer repeats, takes one
// short line of the log, with its key.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	n := &Instance{log: zerolog.New(&lines), invalidEntries: make(map[namer.Worker]bool)}
	for range 3 {
		entry, err := platform.DecodeWorkerEntry("i-odd", []byte(`{"born":`+strings.Repeat("9", 262000)+`}`))
		must.Error(t, err)
		n.logInvalidEntry(follower.WorkerChange{Entry: entry, Err: err})
	}
	must.Eq(t, 1, strings.Count(lines.String(), "\n"))
	must.StrContains(t, lines.String(), "i-odd")
	must.Less(t, 1024, lines.Len())
}
