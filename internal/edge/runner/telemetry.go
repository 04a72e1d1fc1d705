package runner

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// instanceMetrics holds the metrics of an instance.
type instanceMetrics struct {
	tasksSent        metrics.Counter
	requestsSent     metrics.Counter
	requestsRefused  metrics.Counter
	appends          metrics.Counter
	appendsFailed    metrics.Counter
	messagesReceived metrics.Counter
	messagesSent     metrics.Counter
	linksRefused     metrics.Counter
	answersDone      metrics.Counter
	answersFailed    metrics.Counter
	answersRefused   metrics.Counter
	answersUnknown   metrics.Counter
	configRevision   metrics.Gauge
	stepDuration     metrics.Timer
}

func newInstanceMetrics(r metrics.Registry) instanceMetrics {
	return instanceMetrics{
		tasksSent:        metrics.NewRegisteredCounter("starts", r),
		requestsSent:     metrics.NewRegisteredCounter("sends", r),
		requestsRefused:  metrics.NewRegisteredCounter("sends.wasted", r),
		appends:          metrics.NewRegisteredCounter("log.appends", r),
		appendsFailed:    metrics.NewRegisteredCounter("log.appends.failed", r),
		messagesReceived: metrics.NewRegisteredCounter("peer.in", r),
		messagesSent:     metrics.NewRegisteredCounter("peer.out", r),
		linksRefused:     metrics.NewRegisteredCounter("peer.refused", r),
		answersDone:      metrics.NewRegisteredCounter("answers.done", r),
		answersFailed:    metrics.NewRegisteredCounter("answers.failed", r),
		answersRefused:   metrics.NewRegisteredCounter("answers.refused", r),
		answersUnknown:   metrics.NewRegisteredCounter("answers.unknown", r),
		configRevision:   metrics.NewRegisteredGauge("config.revision", r),
		stepDuration:     metrics.NewRegisteredTimer("core.step", r),
	}
}

func (m *instanceMetrics) countAnswer(a coder.Answer) {
	switch a.Status {
	case coder.StatusDone, coder.StatusRunning:
		m.answersDone.Inc(1)
	case coder.StatusRefused:
		m.answersRefused.Inc(1)
	case coder.StatusUnknown:
		m.answersUnknown.Inc(1)
	case coder.StatusFailed, coder.StatusCancelled:
		m.answersFailed.Inc(1)
	}
}

// PeerMessagesSent returns the number of messages sent to peers.
func (r *Runner) PeerMessagesSent() int { return int(r.metrics.messagesSent.Count()) }

func (r *Runner) newLogEvent(level zerolog.Level, e eventer.Event) *zerolog.Event {
	return r.opts.Log.WithLevel(level).Int("event", int(e)).Str("instance", r.opts.Name)
}

// logLevel returns the level at which an event is logged: warn if an operator
// may need to act on it, otherwise info.
func logLevel(e eventer.Event) zerolog.Level {
	switch e {
	case eventer.LogUnavailable, eventer.MemberSuspected, eventer.MemberRemoved, eventer.HistoryLost, eventer.ProcessPaused,
		eventer.InstanceRejoining, eventer.RevisionUnreadable, eventer.MessageRejected, eventer.TaskUnknown,
		eventer.WorkerQuarantined, eventer.MinionQuarantined, eventer.StartUncertain:
		return zerolog.WarnLevel
	default:
		return zerolog.InfoLevel
	}
}

func (r *Runner) logDecision(d dispatcher.Decision) {
	l := r.newLogEvent(logLevel(d.Event), d.Event)
	if d.ID != "" {
		l = l.Str("id", string(d.ID)).Int("index", d.Index)
	} else if d.Index != 0 {
		l = l.Int("count", d.Index)
	}
	if d.Subject != "" {
		l = l.Str("where", d.Subject)
	}
	if d.Reason != "" {
		l = l.Str("reason", d.Reason)
	}
	l.Msg(d.Event.Name())
}

func (r *Runner) logLinkRefused(addr string, err error) {
	r.newLogEvent(zerolog.DebugLevel, eventer.LinkRefused).Str("where", addr).Err(err).Msg(eventer.LinkRefused.Name())
}

func (r *Runner) logInvalidRecord(offset namer.Offset, err error) {
	r.newLogEvent(zerolog.WarnLevel, eventer.RecordUnreadable).Uint64("offset", uint64(offset)).Err(err).Msg(eventer.RecordUnreadable.Name())
}
