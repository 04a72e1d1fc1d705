package assembler

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

func akademia(t *testing.T, instances int) *Fleet {
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

func tasks(n int, payload string) []coder.TaskSpec {
	out := make([]coder.TaskSpec, n)
	for i := range out {
		out[i] = coder.TaskSpec{Cores: 500, Memory: 128, Millis: 50, Payload: payload}
	}
	return out
}

func TestFleetServesAJobWhole(t *testing.T) {
	f := akademia(t, 6)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	key, err := namer.NewKey("")
	must.NoError(t, err)
	body := server.JobBody{Key: key, Kind: "word", DeadlineMillis: 20000, Wait: true, Tasks: tasks(100, "run=50ms")}
	a, err := f.Clients[0].Submit(ctx, body)
	must.NoError(t, err)
	must.Eq(t, coder.Done, a.Status, must.Sprint(a))
	must.Len(t, 100, a.Tasks)
	again, err := f.Clients[3].Submit(ctx, body)
	must.NoError(t, err)
	must.Eq(t, a, again)
	must.Eq(t, 100, f.Platform.Stats().Starts)
	must.Eq(t, 0, f.Platform.Stats().Doubles)
}

// A minion that the platform lists as leaving gets nothing once the instances
// have seen the list.
func TestLeavingMinionGetsNothingNew(t *testing.T) {
	f := akademia(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var leaving []namer.Minion
	for _, c := range f.Clients {
		lines, err := c.Minions(ctx)
		must.NoError(t, err)
		leaving = append(leaving, lines[0].Name)
		must.True(t, f.Platform.SetFaults(emulator.FaultBody{Name: string(lines[0].Name), Minion: &emulator.MinionFaults{Leaving: true}}))
	}
	for i, c := range f.Clients {
		for seen := false; !seen; {
			must.NoError(t, ctx.Err(), must.Sprint("the instance has not seen that a minion is leaving"))
			lines, err := c.Minions(ctx)
			must.NoError(t, err)
			seen = lines[0].Name == leaving[i] && lines[0].Leaving
		}
	}
	for _, c := range f.Clients {
		for range 40 {
			a, err := c.Request(ctx, "materialy-zajec", "", server.RequestBody{Kind: "word", Repeatable: true, Payload: "run=1ms"})
			must.NoError(t, err)
			must.Eq(t, coder.Done, a.Status)
		}
	}
	for _, counts := range f.Platform.Stats().ByName {
		for _, name := range leaving {
			if counts.Name == string(name) {
				must.Eq(t, emulator.MinionCounts{}, counts.Minion)
			}
		}
	}
}
