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
