package driver

import (
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

// levels are the classes of lines: debug for routine, info for what a caller
// is told, warn for what the instance believes.
var levels = map[eventer.Event]zerolog.Level{
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
	level, found := levels[a.Event]
	if !found {
		level = zerolog.WarnLevel
	}
	l := d.log.WithLevel(level).Int("event", int(a.Event))
	if a.Job != "" {
		l = l.Str("job", string(a.Job)).Float64("response_ms", millis(a.Response)).Float64("objective_ms", millis(a.Objective))
	}
	if a.Task != "" {
		l = l.Str("task", a.Task).Int64("run", int64(a.Run))
	}
	if a.Worker != "" {
		l = l.Str("worker", string(a.Worker))
	}
	if a.Reason != "" {
		l = l.Str("reason", a.Reason)
	}
	if a.Age != 0 {
		l = l.Float64("age_ms", millis(a.Age))
	}
	if a.Task != "" && a.Worker != "" {
		l = l.Int("free", int(a.Free)).Int("foreign", a.Foreign)
	}
	if a.Predicted != 0 {
		l = l.Float64("predicted_ms", millis(a.Predicted))
	}
	if a.Waiting != 0 {
		l = l.Int("waiting", a.Waiting)
	}
	if a.Event == eventer.JobRefused {
		l = l.Int("peers", a.Peers).Int("usable", a.Usable).Int("asked", a.Asked)
	}
	l.Msg(a.Event.Name())
}
