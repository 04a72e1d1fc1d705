// Package generator turns the answers of a questionnaire into a
// configuration, and tells for each line which answer it comes from.
package generator

import (
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/heatherslip/heatherslip/internal/config/policer"
)

// Harm is how bad a late, lost or doubled result is.
type Harm int

// The harms, from none to a person or a contract harmed.
const (
	None Harm = iota
	Annoying
	Costly
	Harmful
)

var harms = []string{"none", "annoying", "costly", "harmful"}

func (h Harm) String() string { return harms[h] }

// Answers are a questionnaire's answers.
type Answers struct {
	Trade   Trade
	Callers []Caller
	Work    []Work
}

// Trade answers what the team does and where it runs.
type Trade struct {
	Name     string
	Domains  []string
	Services []string
	// Largest is the number of tasks of the largest job.
	Largest int
	// Resubmit is how long after its end callers may ask for a job again.
	Resubmit time.Duration
	// Clocks is how far apart callers' clocks may be.
	Clocks time.Duration
}

// Caller answers who may call.
type Caller struct {
	Name     string
	Digest   string
	Operator bool
	// AtOnce is how many tasks the caller may have waiting or running.
	AtOnce int
}

// Work answers how one kind of work is used and what harm it can do.
type Work struct {
	Name     string
	Patience time.Duration
	Late     Harm
	Lost     Harm
	Doubled  Harm
}

// Form is the blank questionnaire.
const Form = `# heatherslip questionnaire. Answer every question; then check the answers with
#   heatherslip check FILE
# and publish them with
#   heatherslip publish FILE

[trade]
# What do you do?
name =
# In which failure domains do your entry instances run? (a, b, c)
domains =
# Which services do your minions serve? (a, b)
services =
# How many tasks has your largest job?
largest = 730
# For how long after its end may a caller ask for a job again? (15m)
resubmit = 15m
# How far apart may the clocks of callers and instances be? (2s)
clocks = 2s

# One section for each team that calls. At least one is an operator.
[caller example]
# The SHA-256 digest of the team's bearer token, in hexadecimal; empty for none.
digest =
# May the team publish, drain and cancel others' work? (yes or no)
operator = yes
# How many tasks may it have waiting or running at once? (0: no bound)
at_once = 0

# One section for each kind of work.
[work example]
# How long does a caller wait for a result before it is of no use? (2s)
patience = 5s
# What harm does a late, a lost, a doubled result do?
# (none, annoying, costly, harmful)
late = annoying
lost = costly
doubled = none
`

// Read reads a questionnaire. Its error is policer.Findings, all of them, or
// that of the INI reader.
func Read(text string) (*Answers, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return nil, fmt.Errorf("read questionnaire: %w", err)
	}
	r := reader{answers: &Answers{}}
	for _, s := range file.Sections() {
		r.section(s)
	}
	r.whole()
	if len(r.findings) > 0 {
		return nil, r.findings
	}
	return r.answers, nil
}

const unknownQuestion = "unknown question"

type reader struct {
	answers  *Answers
	findings policer.Findings
}

func (r *reader) section(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		r.findings.Unknown(s, unknownQuestion)
	case "trade":
		r.trade(s)
	case "caller":
		r.caller(s, name)
	case "work":
		r.work(s, name)
	default:
		r.findings.Add(s.Name(), "", "unknown section")
	}
}

func (r *reader) trade(s *ini.Section) {
	r.findings.Unknown(s, unknownQuestion, "name", "domains", "services", "largest", "resubmit", "clocks")
	t := &r.answers.Trade
	t.Name = s.Key("name").String()
	t.Domains = s.Key("domains").Strings(",")
	t.Services = s.Key("services").Strings(",")
	t.Resubmit = r.findings.Duration(s, "resubmit", policer.MinRemember, policer.MaxRemember)
	t.Clocks = r.findings.Duration(s, "clocks", time.Millisecond, time.Minute)
	t.Largest = r.findings.Integer(s, "largest", 1, policer.MaxTasks)
}

func (r *reader) caller(s *ini.Section, name string) {
	r.findings.Unknown(s, unknownQuestion, "digest", "operator", "at_once")
	c := Caller{Name: name, Digest: s.Key("digest").String()}
	switch answer := s.Key("operator").String(); answer {
	case "yes":
		c.Operator = true
	case "no":
	default:
		r.findings.Add(s.Name(), "operator", "neither yes nor no")
	}
	n, err := s.Key("at_once").Int()
	if err != nil || n < 0 {
		r.findings.Add(s.Name(), "at_once", "not a whole number from 0 up")
	}
	c.AtOnce = n
	if c.Operator && c.Digest == "" {
		r.findings.Add(s.Name(), "digest", "an operator needs a token; make one with heatherslip token")
	}
	r.answers.Callers = append(r.answers.Callers, c)
}

func (r *reader) work(s *ini.Section, name string) {
	r.findings.Unknown(s, unknownQuestion, "patience", "late", "lost", "doubled")
	r.answers.Work = append(r.answers.Work, Work{
		Name:     name,
		Patience: r.findings.Duration(s, "patience", 10*time.Millisecond, policer.MaxDeadline),
		Late:     r.harm(s, "late"),
		Lost:     r.harm(s, "lost"),
		Doubled:  r.harm(s, "doubled"),
	})
}

func (r *reader) harm(s *ini.Section, key string) Harm {
	answer := s.Key(key).String()
	for i, h := range harms {
		if h == answer {
			return Harm(i)
		}
	}
	r.findings.Add(s.Name(), key, "not one of "+strings.Join(harms, ", "))
	return None
}

func (r *reader) whole() {
	a := r.answers
	if a.Trade.Name == "" {
		r.findings.Add("trade", "name", "is missing")
	}
	if len(a.Trade.Domains) == 0 {
		r.findings.Add("trade", "domains", "no failure domain is named")
	}
	if len(a.Work) == 0 {
		r.findings.Add("work", "", "no kind of work is described")
	}
	operator := false
	for _, c := range a.Callers {
		operator = operator || c.Operator
	}
	if !operator {
		r.findings.Add("caller", "operator", "no caller is an operator")
	}
}
