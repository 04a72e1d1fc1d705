package fleetstarter

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

func startAkademiaFleet(t *testing.T, instances int) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := New(ctx, Options{
		Site: emulator.AkademiaSite(), Instances: instances,
		Questionnaire: generator.SampleAkademia, Token: generator.SampleAkademiaToken,
		Log: zerolog.New(zerolog.NewTestWriter(t)),
	})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func newTaskSpecs(n int, payload string) []coder.TaskSpec {
	specs := make([]coder.TaskSpec, n)
	for i := range specs {
		specs[i] = coder.TaskSpec{Cores: 500, Memory: 128, RunTimeMillis: 50, Payload: payload}
	}
	return specs
}

// TestJobRunsOnceAndIsAnsweredAgain guards against tasks that run again, or a different
// answer, when a completed job is submitted again to another instance.
func TestJobRunsOnceAndIsAnsweredAgain(t *testing.T) {
	f := startAkademiaFleet(t, 6)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	key, err := namer.NewKey("")
	must.NoError(t, err)
	body := server.JobBody{Key: key, Kind: "word", DeadlineMillis: 20000, WaitForResult: true, Tasks: newTaskSpecs(100, "run=50ms")}
	answer, err := f.Clients[0].Submit(ctx, body)
	must.NoError(t, err)
	must.Eq(t, coder.StatusDone, answer.Status, must.Sprint(answer))
	must.Len(t, 100, answer.Tasks)
	repeated, err := f.Clients[3].Submit(ctx, body)
	must.NoError(t, err)
	must.Eq(t, answer, repeated)
	must.Eq(t, 100, f.Platform.Stats().Starts)
	must.Eq(t, 0, f.Platform.Stats().DuplicateStarts)
}

// TestDrainingMinionGetsNoRequests guards against requests to a minion that the platform's
// list marks as draining, once the instances have read that list.
func TestDrainingMinionGetsNoRequests(t *testing.T) {
	f := startAkademiaFleet(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var draining []namer.Minion
	for _, c := range f.Clients {
		statuses, err := c.Minions(ctx)
		must.NoError(t, err)
		draining = append(draining, statuses[0].Name)
		must.True(t, f.Platform.SetFaults(emulator.FaultBody{Name: string(statuses[0].Name), Minion: &emulator.MinionFaults{Draining: true}}))
	}
	for i, c := range f.Clients {
		for listed := false; !listed; {
			must.NoError(t, ctx.Err(), must.Sprint("the instance has not listed the minion as draining"))
			statuses, err := c.Minions(ctx)
			must.NoError(t, err)
			listed = statuses[0].Name == draining[i] && statuses[0].Draining
		}
	}
	for _, c := range f.Clients {
		for range 40 {
			answer, err := c.Request(ctx, "materialy-zajec", "", server.RequestBody{Kind: "word", Repeatable: true, Payload: "run=1ms"})
			must.NoError(t, err)
			must.Eq(t, coder.StatusDone, answer.Status)
		}
	}
	for _, counts := range f.Platform.Stats().ByMinion {
		for _, name := range draining {
			if counts.Name == string(name) {
				must.Eq(t, emulator.MinionCounts{}, counts.Counts)
			}
		}
	}
}
