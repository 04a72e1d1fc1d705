package soaker

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	seedFlag      = flag.Uint64("soak.seed", 0, "first seed; 0 runs the seeds of CI")
	countFlag     = flag.Int("soak.count", 1, "number of consecutive seeds to run")
	spanFlag      = flag.Duration("soak.span", 5*time.Second, "duration of the fault injection")
	instancesFlag = flag.Int("soak.instances", 4, "number of instances")
	logsFlag      = flag.String("soak.logs", "", "directory in which to keep settings and logs")
)

// ciSeeds are the seeds that CI runs: an arbitrary one, and each seed that has ever failed,
// with the cause.
var ciSeeds = []uint64{
	1,
	// SIGHUP arrived before the process had installed its handler and ended the process.
	// The handler is now the first thing that a process installs.
	143,
}

// TestSoak guards against lost, contradictory or cut-off responses and overlapping task
// runs when processes, their connections and the platform fail.
func TestSoak(t *testing.T) {
	seeds := ciSeeds
	if *seedFlag != 0 {
		seeds = nil
		for n := range *countFlag {
			seeds = append(seeds, *seedFlag+uint64(n))
		}
	}
	binary := filepath.Join(t.TempDir(), "heatherslip")
	buildOutput, err := exec.Command("go", "build", "-race", "-o", binary, "../../../cmd/heatherslip").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(buildOutput)))
	for _, seed := range seeds {
		dir := t.TempDir()
		if *logsFlag != "" {
			dir = *logsFlag
			must.NoError(t, os.MkdirAll(dir, 0o700))
		}
		s, err := New(Options{Binary: binary, Dir: dir, Seed: seed, FaultDuration: *spanFlag, Instances: *instancesFlag, WorkersPerDomain: 4, Clients: 12})
		must.NoError(t, err)
		violations := s.Run()
		s.Close()
		t.Log(s.Summary())
		must.SliceEmpty(t, violations, must.Sprintf("seed %d: %v", seed, violations))
	}
}
