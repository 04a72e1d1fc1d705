package driver

import (
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

// decisionLevels are the classes of lines: debug for routine, info for what a caller
// is told, warn for what the instance believes.
var decisionLevels = map[eventer.Event]zerolog.Level{
	eventer.JobTaken:       zerolog.DebugLevel,
	eventer.JobCompleted:   zerolog.DebugLevel,
	eventer.TaskPlaced:     zerolog.DebugLevel,
	eventer.TaskEnded:      zerolog.DebugLevel,
	eventer.JobAttached:    zerolog.InfoLevel,
	eventer.JobRefused:     zerolog.InfoLevel,
	eventer.JobFailed:      zerolog.InfoLevel,
	eventer.JobAbandoned:   zerolog.InfoLevel,
	eventer.JobGivenUp:     zerolog.InfoLevel,
	eventer.TaskNotStarted: zerolog.InfoLevel,
	eventer.TaskMoved:      zerolog.InfoLevel,
	eventer.TaskVanished:   zerolog.InfoLevel,
	eventer.RunAbandoned:   zerolog.InfoLevel,
}

// logDecision writes one line for a decision.
func (d *Driver) logDecision(a scheduler.Decision) {
	level, found := decisionLevels[a.Event]
	if !found {
		level = zerolog.WarnLevel
	}
	line := d.log.WithLevel(level).Int("event", int(a.Event))
	if a.Job != "" {
		line = line.Str("job", string(a.Job)).Float64("response_ms", toMillis(a.Response)).Float64("objective_ms", toMillis(a.Objective))
	}
	if a.Task != "" {
		line = line.Str("task", a.Task).Int64("run", int64(a.Run))
	}
	if a.Worker != "" {
		line = line.Str("worker", string(a.Worker))
	}
	if a.Reason != "" {
		line = line.Str("reason", a.Reason)
	}
	if a.Age != 0 {
		line = line.Float64("age_ms", toMillis(a.Age))
	}
	if a.Task != "" && a.Worker != "" {
		line = line.Int("free", int(a.Free)).Int("foreign", a.Foreign)
	}
	if a.Predicted != 0 {
		line = line.Float64("predicted_ms", toMillis(a.Predicted))
	}
	if a.Waiting != 0 {
		line = line.Int("waiting", a.Waiting)
	}
	if a.Event == eventer.JobRefused {
		line = line.Int("peers", a.Peers).Int("usable", a.Usable).Int("asked", a.Asked)
	}
	line.Msg(a.Event.Name())
}
