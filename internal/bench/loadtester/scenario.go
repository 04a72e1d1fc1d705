// Package loadtester runs load tests: it sends the open-loop load of a scenario file to
// a fleet and reports the response times relative to the ideal, refusals, work that ran
// twice, wasted messages, and the throughput that each load keeps during a flood.
package loadtester

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/ini.v1"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

//go:embed scenarios/*.ini
var scenarioFiles embed.FS

// Scenario describes the load on a fleet and the faults during it.
type Scenario struct {
	Name string
	// User selects the emulated platform and the configuration: "akademia" or
	// "association".
	User      string
	Instances int
	Duration  time.Duration
	Seed      uint64
	// Mode is what acknowledges submissions: the successor ("heir") or the log ("log").
	Mode  string
	Loads []Load
	// Log receives the log lines of all instances.
	Log    zerolog.Logger
	Faults []Fault
}

// Load is one stream of calls with Poisson arrivals.
type Load struct {
	Name string
	Kind namer.Kind
	// Type is "request", "once" (an unrepeatable request) or "job".
	Type string
	// CallsPerSecond is the mean rate of arrivals.
	CallsPerSecond float64
	// MinRunTime and MaxRunTime bound the run time of each task, which is distributed
	// uniformly between them.
	MinRunTime, MaxRunTime time.Duration
	// DeclaredRunTime is the run time that calls declare; zero means the real one.
	DeclaredRunTime time.Duration
	TasksPerCall    int
	MilliCores      int
	Deadline        time.Duration
	// StartAt and EndAt bound the stream, as offsets from the start of the run. Zero EndAt
	// means the end of the scenario.
	StartAt, EndAt time.Duration
	// IsFlood marks an overload whose effect on the other loads is measured.
	IsFlood bool
	// UseHomeDomain puts the home domain of the called instance into the key of each job.
	UseHomeDomain bool
	// FailTasks makes every task fail.
	FailTasks bool
	// CancelFraction is the fraction of the jobs that are canceled after half the run time
	// of their first task.
	CancelFraction float64
}

// Fault is a fault of the platform, of workers or of an instance.
type Fault struct {
	// Kind is "log-down", "kill", "black-hole", "straggler" or "lose-starts".
	Kind string
	// StartAt and EndAt are offsets from the start of the run. With a zero EndAt the fault
	// lasts to the end.
	StartAt, EndAt time.Duration
	// Target is the number of workers affected, or the index of the instance to kill.
	Target int
}

// ScenarioNames returns the names of the built-in scenarios.
func ScenarioNames() []string {
	entries, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimSuffix(e.Name(), ".ini")
	}
	return names
}

// ReadScenario reads a built-in scenario or, if none has the name, a scenario file.
func ReadScenario(name string) (*Scenario, error) {
	text, err := scenarioFiles.ReadFile("scenarios/" + name + ".ini")
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("no built-in scenario or readable file %s; built-in scenarios: %s", name, strings.Join(ScenarioNames(), ", "))
		}
	}
	return parseScenario(name, text)
}

var errUnknownUser = errors.New("user must be akademia or association")

func parseScenario(name string, text []byte) (*Scenario, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, fmt.Errorf("read scenario %s: %w", name, err)
	}
	section := file.Section("scenario")
	s := &Scenario{
		Name:      name,
		User:      section.Key("user").MustString("akademia"),
		Instances: section.Key("instances").MustInt(6),
		Duration:  section.Key("length").MustDuration(10 * time.Second),
		Seed:      section.Key("seed").MustUint64(1),
		Log:       zerolog.Nop(),
		Mode:      section.Key("mode").MustString("heir"),
	}
	if s.User != "akademia" && s.User != "association" {
		return nil, fmt.Errorf("read scenario %s: %w", name, errUnknownUser)
	}
	for _, sec := range file.Sections() {
		sectionKind, sectionName, _ := strings.Cut(sec.Name(), " ")
		switch sectionKind {
		case "load":
			s.Loads = append(s.Loads, parseLoad(sectionName, sec))
		case "fault":
			s.Faults = append(s.Faults, Fault{
				Kind: sectionName, StartAt: sec.Key("at").MustDuration(0),
				EndAt: sec.Key("until").MustDuration(0), Target: sec.Key("count").MustInt(1),
			})
		}
	}
	return s, nil
}

func parseLoad(name string, sec *ini.Section) Load {
	l := Load{
		Name:            name,
		Kind:            namer.Kind(sec.Key("kind").MustString(name)),
		Type:            sec.Key("type").MustString("request"),
		CallsPerSecond:  sec.Key("rate").MustFloat64(1),
		MinRunTime:      sec.Key("low").MustDuration(50 * time.Millisecond),
		MaxRunTime:      sec.Key("high").MustDuration(50 * time.Millisecond),
		DeclaredRunTime: sec.Key("declared").MustDuration(0),
		TasksPerCall:    sec.Key("tasks").MustInt(1),
		MilliCores:      sec.Key("cores").MustInt(500),
		Deadline:        sec.Key("deadline").MustDuration(0),
		StartAt:         sec.Key("from").MustDuration(0),
		EndAt:           sec.Key("until").MustDuration(0),
		IsFlood:         sec.Key("flood").MustBool(false),
		UseHomeDomain:   sec.Key("home").MustBool(false),
		FailTasks:       sec.Key("fail").MustBool(false),
		CancelFraction:  sec.Key("cancel").MustFloat64(0),
	}
	l.MaxRunTime = max(l.MaxRunTime, l.MinRunTime)
	return l
}

// WithoutFloods returns a copy of the scenario without its floods. Its run is the baseline
// against which the effect of the floods is measured.
func (s *Scenario) WithoutFloods() *Scenario {
	baseline := *s
	baseline.Loads = nil
	for _, l := range s.Loads {
		if !l.IsFlood {
			baseline.Loads = append(baseline.Loads, l)
		}
	}
	return &baseline
}

// HasFlood reports whether any load of the scenario is a flood.
func (s *Scenario) HasFlood() bool {
	for _, l := range s.Loads {
		if l.IsFlood {
			return true
		}
	}
	return false
}
