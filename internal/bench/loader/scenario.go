// Package loader drives a fleet with open-loop load from scenario files and
// reports what callers saw: response time over the ideal, refusals and whether
// they were true, wasted messages, and what each kind of work keeps in a flood.
package loader

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
var scenarios embed.FS

// Scenario is what is asked of a fleet, and what goes wrong meanwhile.
type Scenario struct {
	Name string
	// User is "akademia" or "association".
	User      string
	Instances int
	Length    time.Duration
	Seed      uint64
	// Mode is "heir" or "log".
	Mode  string
	Loads []Load
	// Log takes the decisions of all instances.
	Log zerolog.Logger
	// Faults strike in order of their times.
	Faults []Fault
}

// Load is one stream of calls with Poisson arrivals.
type Load struct {
	Name string
	Kind namer.Kind
	// Type is "request", "once" (an unrepeatable request) or "job".
	Type string
	// Rate is in calls a second.
	Rate float64
	// Low and High bound the run time, which is uniform between them.
	Low, High time.Duration
	// Declared is the run time that is declared; zero declares the true one.
	Declared time.Duration
	Tasks    int
	Cores    int
	Deadline time.Duration
	// From and Until bound the stream; a zero Until lasts to the end.
	From, Until time.Duration
	// Flood marks what the other kinds are to be kept from.
	Flood bool
	// Home has each key name the domain of the instance that is called.
	Home bool
	// Fail makes the work fail.
	Fail bool
	// Cancel is the part of the jobs that are cancelled at half their time.
	Cancel float64
}

// Fault is something that goes wrong for a while.
type Fault struct {
	// What is "log-down", "kill", "black-hole", "straggler", "lose-starts".
	What      string
	At, Until time.Duration
	// Count is how many workers, or which instance, it strikes.
	Count int
}

// Names lists the scenarios that come with the program.
func Names() []string {
	entries, err := scenarios.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimSuffix(e.Name(), ".ini")
	}
	return names
}

// Open reads a scenario that comes with the program, or a file.
func Open(name string) (*Scenario, error) {
	text, err := scenarios.ReadFile("scenarios/" + name + ".ini")
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("no scenario or file %s; there are %s", name, strings.Join(Names(), ", "))
		}
	}
	return parse(name, text)
}

var errUser = errors.New("user is neither akademia nor association")

func parse(name string, text []byte) (*Scenario, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, fmt.Errorf("read scenario %s: %w", name, err)
	}
	top := file.Section("scenario")
	s := &Scenario{
		Name:      name,
		User:      top.Key("user").MustString("akademia"),
		Instances: top.Key("instances").MustInt(6),
		Length:    top.Key("length").MustDuration(10 * time.Second),
		Seed:      top.Key("seed").MustUint64(1),
		Log:       zerolog.Nop(),
		Mode:      top.Key("mode").MustString("heir"),
	}
	if s.User != "akademia" && s.User != "association" {
		return nil, fmt.Errorf("read scenario %s: %w", name, errUser)
	}
	for _, sec := range file.Sections() {
		kind, rest, _ := strings.Cut(sec.Name(), " ")
		switch kind {
		case "load":
			s.Loads = append(s.Loads, parseLoad(rest, sec))
		case "fault":
			s.Faults = append(s.Faults, Fault{
				What: rest, At: sec.Key("at").MustDuration(0),
				Until: sec.Key("until").MustDuration(0), Count: sec.Key("count").MustInt(1),
			})
		}
	}
	return s, nil
}

func parseLoad(name string, sec *ini.Section) Load {
	l := Load{
		Name:     name,
		Kind:     namer.Kind(sec.Key("kind").MustString(name)),
		Type:     sec.Key("type").MustString("request"),
		Rate:     sec.Key("rate").MustFloat64(1),
		Low:      sec.Key("low").MustDuration(50 * time.Millisecond),
		High:     sec.Key("high").MustDuration(50 * time.Millisecond),
		Declared: sec.Key("declared").MustDuration(0),
		Tasks:    sec.Key("tasks").MustInt(1),
		Cores:    sec.Key("cores").MustInt(500),
		Deadline: sec.Key("deadline").MustDuration(0),
		From:     sec.Key("from").MustDuration(0),
		Until:    sec.Key("until").MustDuration(0),
		Flood:    sec.Key("flood").MustBool(false),
		Home:     sec.Key("home").MustBool(false),
		Fail:     sec.Key("fail").MustBool(false),
		Cancel:   sec.Key("cancel").MustFloat64(0),
	}
	l.High = max(l.High, l.Low)
	return l
}

// WithoutFloods returns the scenario with its floods left out: the undisturbed
// run against which a flood is measured.
func (s *Scenario) WithoutFloods() *Scenario {
	calm := *s
	calm.Loads = nil
	for _, l := range s.Loads {
		if !l.Flood {
			calm.Loads = append(calm.Loads, l)
		}
	}
	return &calm
}

// HasFlood reports whether the scenario has a flood.
func (s *Scenario) HasFlood() bool {
	for _, l := range s.Loads {
		if l.Flood {
			return true
		}
	}
	return false
}
