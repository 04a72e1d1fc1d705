package soaker

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	outageSeedFlag  = flag.Uint64("outages.seed", 0, "seed of the outage test; 0 runs the seed of CI")
	outageSpanFlag  = flag.Duration("outages.span", 25*time.Second, "duration of the disruptions")
	outageRateFlag  = flag.Float64("outages.rate", 70, "jobs per second")
	outageKindsFlag = flag.String("outages.kinds", "chain", "disruptions to choose from, separated by commas; empty for all")
	outageLogsFlag  = flag.String("outages.logs", "", "directory in which to keep settings and logs")
)

// ciOutageSeed has a kill of an instance while its neighbor is frozen, 4 s after the start
// of the load, and a task that outlives it.
const ciOutageSeed = 3

// TestOverlapAfterOutages guards against two runs of a task at the same time when
// instances are killed, frozen or slowed and clients send their jobs again elsewhere.
func TestOverlapAfterOutages(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "heatherslip")
	buildOutput, err := exec.Command("go", "build", "-o", binary, "../../../cmd/heatherslip").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(buildOutput)))
	opts := OutageOptions{Binary: binary, Dir: t.TempDir(), Seed: *outageSeedFlag, Duration: *outageSpanFlag, JobsPerSecond: *outageRateFlag}
	if opts.Seed == 0 {
		opts.Seed = ciOutageSeed
	}
	if *outageKindsFlag != "" {
		opts.Disruptions = strings.Split(*outageKindsFlag, ",")
	}
	if *outageLogsFlag != "" {
		opts.Dir = *outageLogsFlag
		must.NoError(t, os.MkdirAll(opts.Dir, 0o700))
	}
	o, err := NewOutages(opts)
	must.NoError(t, err)
	violations := o.Run()
	t.Log(o.Summary())
	o.Close()
	if len(violations) > 0 || *outageLogsFlag != "" {
		t.Log(strings.Join(o.Notes(), "\n"))
	}
	must.SliceEmpty(t, violations, must.Sprintf("seed %d:\n%s", opts.Seed, strings.Join(violations, "\n")))
}
