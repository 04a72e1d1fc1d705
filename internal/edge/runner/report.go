package runner

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// meters are the instance's metrics.
type meters struct {
	starts       metrics.Counter
	sends        metrics.Counter
	wasted       metrics.Counter
	appends      metrics.Counter
	appendFailed metrics.Counter
	peerIn       metrics.Counter
	peerOut      metrics.Counter
	linkRefused  metrics.Counter
	done         metrics.Counter
	failed       metrics.Counter
	refused      metrics.Counter
	unknown      metrics.Counter
	revision     metrics.Gauge
	step         metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		starts:       metrics.NewRegisteredCounter("starts", r),
		sends:        metrics.NewRegisteredCounter("sends", r),
		wasted:       metrics.NewRegisteredCounter("sends.wasted", r),
		appends:      metrics.NewRegisteredCounter("log.appends", r),
		appendFailed: metrics.NewRegisteredCounter("log.appends.failed", r),
		peerIn:       metrics.NewRegisteredCounter("peer.in", r),
		peerOut:      metrics.NewRegisteredCounter("peer.out", r),
		linkRefused:  metrics.NewRegisteredCounter("peer.refused", r),
		done:         metrics.NewRegisteredCounter("answers.done", r),
		failed:       metrics.NewRegisteredCounter("answers.failed", r),
		refused:      metrics.NewRegisteredCounter("answers.refused", r),
		unknown:      metrics.NewRegisteredCounter("answers.unknown", r),
		revision:     metrics.NewRegisteredGauge("config.revision", r),
		step:         metrics.NewRegisteredTimer("core.step", r),
	}
}

func (m *meters) answered(a coder.Answer) {
	switch a.Status {
	case coder.Done, coder.Running:
		m.done.Inc(1)
	case coder.Refused:
		m.refused.Inc(1)
	case coder.Unknown:
		m.unknown.Inc(1)
	case coder.Failed, coder.Cancelled:
		m.failed.Inc(1)
	}
}

// PeerMessages counts the messages that were sent to peers.
func (r *Runner) PeerMessages() int { return int(r.meters.peerOut.Count()) }

func (r *Runner) event(level zerolog.Level, e eventer.Event) *zerolog.Event {
	return r.opts.Log.WithLevel(level).Int("event", int(e)).Str("instance", r.opts.Name)
}

// levelOf is warn for what an operator may have to look at.
func levelOf(e eventer.Event) zerolog.Level {
	switch e {
	case eventer.LogDown, eventer.Suspected, eventer.Evicted, eventer.HistoryLost, eventer.Paused,
		eventer.Rejoining, eventer.RevisionBad, eventer.MessageBad, eventer.TaskLost,
		eventer.WorkerAside, eventer.MinionAside, eventer.StartDoubtful:
		return zerolog.WarnLevel
	default:
		return zerolog.InfoLevel
	}
}

func (r *Runner) logDecision(d dispatcher.Decision) {
	l := r.event(levelOf(d.Event), d.Event)
	if d.ID != "" {
		l = l.Str("id", string(d.ID)).Int("index", d.Index)
	} else if d.Index != 0 {
		l = l.Int("count", d.Index)
	}
	if d.Where != "" {
		l = l.Str("where", d.Where)
	}
	if d.Reason != "" {
		l = l.Str("reason", d.Reason)
	}
	l.Msg(d.Event.Name())
}

func (r *Runner) logRefusal(where string, err error) {
	r.event(zerolog.DebugLevel, eventer.LinkRefused).Str("where", where).Err(err).Msg(eventer.LinkRefused.Name())
}

func (r *Runner) logRecord(offset namer.Offset, err error) {
	r.event(zerolog.WarnLevel, eventer.RecordBad).Uint64("offset", uint64(offset)).Err(err).Msg(eventer.RecordBad.Name())
}
