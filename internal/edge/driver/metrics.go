package driver

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

const (
	// maxHistogramMicros is the largest value of a histogram, in microseconds.
	maxHistogramMicros = 60_000_000
	// histogramDigits is the number of significant digits of a histogram; with one
	// digit a histogram stays below 10 KB.
	histogramDigits = 1
)

// Metrics holds the counters, gauges and histograms of an instance. Create one
// with NewMetrics.
type Metrics struct {
	registry metrics.Registry

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), histograms: make(map[string]*hdrhistogram.Histogram)}
}

// Count adds n to a counter.
func (m *Metrics) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(v)
}

// Observe adds a duration to a histogram.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxHistogramMicros, histogramDigits)
		m.histograms[name] = h
	}
	// Values outside the histogram's range are clamped, so that RecordValue can't
	// fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxHistogramMicros))
}

func (m *Metrics) recordStatus(status Status) {
	m.Gauge("jobs_open", int64(status.OpenJobs))
	m.Gauge("tasks_waiting", int64(status.WaitingTasks))
	m.Gauge("workers_usable", int64(status.UsableWorkers))
	m.Gauge("workers_slow", int64(status.Speeds.Slow))
	m.Gauge("workers_fast", int64(status.Speeds.Fast))
	m.Gauge("worker_factor_percent", int64(100*status.Speeds.MeanFactor))
	m.Gauge("speed_changes", int64(status.Speeds.Changes))
	m.Gauge("speeds_bounded", int64(status.Speeds.Bounded))
	m.Gauge("speeds_rejected", int64(status.Speeds.Rejected))
	m.Gauge("pairs_interfering", int64(status.InterferingPairs))
	m.Gauge("sent_over_permille", int64(1000*status.SentOverShare))
}

func (m *Metrics) recordDecision(decision scheduler.Decision) {
	m.Count("decisions_"+strings.ReplaceAll(decision.Event.Name(), " ", "_"), 1)
	if decision.TimeLeft > 0 && (decision.Event == eventer.TaskPlaced || decision.Event == eventer.CapacityReserved) {
		m.Count("draining_worker_placements", 1)
	}
	if decision.AwayFromData {
		m.Count("placements_away_from_data", 1)
	}
	switch decision.Event {
	case eventer.JobCompleted:
		m.Observe("job_response", decision.ResponseTime)
	case eventer.JobRefused:
		m.Observe("job_refusal", decision.ResponseTime)
	case eventer.JobWaiting:
		m.Observe("job_predicted_wait", decision.PredictedWait)
	case eventer.JobFailed, eventer.JobAborted:
		m.Observe("job_failure", decision.ResponseTime)
	case eventer.TaskEnded:
		m.Observe("task_run", decision.Age)
	}
}

// recordMessage counts the bytes that are sent to other failure domains.
func (m *Metrics) recordMessage(a scheduler.SendMessage, bytes int) {
	if a.LeavesDomain {
		m.Count("peer_message_bytes_to_other_domains", int64(bytes))
	}
}

func (m *Metrics) recordStart(result scheduler.StartResult) {
	m.Observe("start_answer", result.Latency)
	if result.Status == scheduler.StartNoCapacity {
		m.Count("starts_without_room", 1)
	}
	if result.Status == scheduler.StartNoResponse {
		m.Count("starts_lost", 1)
	}
}

// recordPoll records the end of a poll; delay is how long the response took beyond
// the requested wait.
func (m *Metrics) recordPoll(delay time.Duration, err error) {
	if err != nil {
		m.Count("polls_lost", 1)
		return
	}
	m.Count("polls", 1)
	m.Observe("poll_answer", max(delay, 0))
}

// ServeHTTP writes all metrics in the text format of Prometheus.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("heatherslip_%s_total %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("heatherslip_%s %d", name, v.Value()))
		}
	})
	m.mu.Lock()
	for name, h := range m.histograms {
		for _, q := range []float64{50, 90, 99, 100} {
			lines = append(lines, fmt.Sprintf("heatherslip_%s_seconds{quantile=\"%g\"} %g", name, q/100, float64(h.ValueAtQuantile(q))/1e6))
		}
		lines = append(lines, fmt.Sprintf("heatherslip_%s_seconds_count %d", name, h.TotalCount()))
	}
	m.mu.Unlock()
	sort.Strings(lines)
	// A write error means that the scraper has disconnected.
	_, _ = fmt.Fprintln(w, strings.Join(lines, "\n"))
}

func toMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
