package driver

import (
	"math"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

// decisionLevels maps events to log levels: debug for routine events and info for
// results reported to callers. Events that are not listed are changes of the
// instance's view of workers and peers and are logged as warnings.
var decisionLevels = map[eventer.Event]zerolog.Level{
	eventer.JobAccepted:      zerolog.DebugLevel,
	eventer.JobCompleted:     zerolog.DebugLevel,
	eventer.TaskPlaced:       zerolog.DebugLevel,
	eventer.TaskEnded:        zerolog.DebugLevel,
	eventer.CapacityReserved: zerolog.DebugLevel,
	eventer.JobAttached:      zerolog.InfoLevel,
	eventer.JobRefused:       zerolog.InfoLevel,
	eventer.JobWaiting:       zerolog.InfoLevel,
	eventer.JobFailed:        zerolog.InfoLevel,
	eventer.JobCanceled:      zerolog.InfoLevel,
	eventer.JobAborted:       zerolog.InfoLevel,
	eventer.TaskNotStarted:   zerolog.InfoLevel,
	eventer.RunMoved:         zerolog.InfoLevel,
	eventer.RunMissing:       zerolog.InfoLevel,
	eventer.RunOrphaned:      zerolog.InfoLevel,
	eventer.RunUnknown:       zerolog.InfoLevel,
	eventer.StopFenced:       zerolog.InfoLevel,
	eventer.RunListOvertaken: zerolog.InfoLevel,
}

// logDecision logs a decision. Keys without a value are left out.
func (d *Driver) logDecision(decision scheduler.Decision) {
	level, found := decisionLevels[decision.Event]
	if !found {
		level = zerolog.WarnLevel
	}
	line := d.log.WithLevel(level).Int("event", int(decision.Event))
	if decision.Job != "" {
		line = line.Str("job", string(decision.Job))
	}
	if decision.Objective != 0 {
		line = line.Float64("response_ms", toMillis(decision.ResponseTime)).Float64("objective_ms", toMillis(decision.Objective))
	}
	if decision.Task != "" {
		line = line.Str("task", decision.Task).Int64("run", int64(decision.Run))
	}
	if decision.Peer != "" {
		line = line.Str("peer", decision.Peer)
	}
	if decision.Worker != "" {
		line = line.Str("worker", string(decision.Worker))
	}
	if decision.Reason != "" {
		line = line.Str("reason", decision.Reason)
	}
	if decision.Age != 0 {
		line = line.Float64("age_ms", toMillis(decision.Age))
	}
	if decision.Crashes != 0 {
		line = line.Int("crashes", decision.Crashes)
	}
	if decision.Tasks != 0 {
		line = line.Int("tasks", decision.Tasks)
	}
	if decision.Cores != 0 {
		line = line.Int("cores", int(decision.Cores))
	}
	if decision.Task != "" && decision.Worker != "" {
		line = line.Int("free", int(decision.FreeCores)).Int("foreign", decision.ForeignRuns)
	}
	if decision.Domain != "" {
		line = line.Str("domain", string(decision.Domain)).Int("workers", decision.Workers)
	}
	if decision.PredictedRunTime != 0 {
		line = line.Float64("predicted_ms", toMillis(decision.PredictedRunTime))
	}
	if decision.Factor != 0 && decision.Factor != 1 {
		line = line.Float64("factor", math.Round(100*decision.Factor)/100)
	}
	if decision.Slack != 0 {
		line = line.Float64("slack_ms", toMillis(decision.Slack))
	}
	if decision.Runs != 0 {
		line = line.Int("runs", decision.Runs)
	}
	if decision.AwayFromData {
		line = line.Bool("away", true)
	}
	if decision.TimeLeft != 0 {
		line = line.Float64("left_ms", toMillis(decision.TimeLeft))
	}
	if decision.WaitingTasks != 0 {
		line = line.Int("waiting", decision.WaitingTasks)
	}
	if decision.Kind != "" {
		line = line.Str("kind", string(decision.Kind)).Int("priority", decision.Priority).Int("size_class", int(decision.SizeClass))
	}
	if decision.PredictedWait != 0 {
		line = line.Float64("wait_ms", toMillis(decision.PredictedWait))
	}
	if decision.LongestWait != 0 {
		line = line.Float64("longest_wait_ms", toMillis(decision.LongestWait))
	}
	if decision.RetryAfter != 0 {
		line = line.Float64("retry_ms", toMillis(decision.RetryAfter))
	}
	if decision.Event == eventer.JobRefused {
		line = line.Int("owners", decision.Owners).Int("usable", decision.UsableWorkers).Int("asked", decision.RequestedOwners)
	}
	line.Msg(decision.Event.Name())
}
