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
	HarmNone Harm = iota
	HarmAnnoying
	HarmCostly
	HarmHarmful
)

var harmNames = []string{"none", "annoying", "costly", "harmful"}

func (h Harm) String() string { return harmNames[h] }

// Answers are a questionnaire's answers.
type Answers struct {
	Organization   Organization
	Callers []Caller
	WorkKinds    []WorkKind
}

// Organization answers what the team does and where it runs.
type Organization struct {
	Name     string
	Domains  []string
	Services []string
	// MaxTasksPerJob is the number of tasks of the largest job.
	MaxTasksPerJob int
	// ResubmitPeriod is how long after its end callers may ask for a job again.
	ResubmitPeriod time.Duration
	// MaxClockSkew is how far apart callers' clocks may be.
	MaxClockSkew time.Duration
}

// Caller answers who may call.
type Caller struct {
	Name     string
	TokenDigest   string
	IsOperator bool
	// TaskQuota is how many tasks the caller may have waiting or running.
	TaskQuota int
}

// WorkKind answers how one kind of work is used and what harm it can do.
type WorkKind struct {
	Name     string
	CallerTimeout time.Duration
	LateHarm     Harm
	LostHarm     Harm
	DuplicateHarm  Harm
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
	r := answersParser{answers: &Answers{}}
	for _, s := range file.Sections() {
		r.parseSection(s)
	}
	r.checkRequired()
	if len(r.findings) > 0 {
		return nil, r.findings
	}
	return r.answers, nil
}

const unknownQuestion = "unknown question"

type answersParser struct {
	answers  *Answers
	findings policer.Findings
}

func (r *answersParser) parseSection(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		r.findings.CheckUnknownKeys(s, unknownQuestion)
	case "trade":
		r.parseOrganization(s)
	case "caller":
		r.parseCaller(s, name)
	case "work":
		r.parseWorkKind(s, name)
	default:
		r.findings.Add(s.Name(), "", "unknown section")
	}
}

func (r *answersParser) parseOrganization(s *ini.Section) {
	r.findings.CheckUnknownKeys(s, unknownQuestion, "name", "domains", "services", "largest", "resubmit", "clocks")
	t := &r.answers.Organization
	t.Name = s.Key("name").String()
	t.Domains = s.Key("domains").Strings(",")
	t.Services = s.Key("services").Strings(",")
	t.ResubmitPeriod = r.findings.ParseDuration(s, "resubmit", policer.MinKeyRetention, policer.MaxKeyRetention)
	t.MaxClockSkew = r.findings.ParseDuration(s, "clocks", time.Millisecond, time.Minute)
	t.MaxTasksPerJob = r.findings.ParseInteger(s, "largest", 1, policer.MaxTasksPerJob)
}

func (r *answersParser) parseCaller(s *ini.Section, name string) {
	r.findings.CheckUnknownKeys(s, unknownQuestion, "digest", "operator", "at_once")
	c := Caller{Name: name, TokenDigest: s.Key("digest").String()}
	switch answer := s.Key("operator").String(); answer {
	case "yes":
		c.IsOperator = true
	case "no":
	default:
		r.findings.Add(s.Name(), "operator", "neither yes nor no")
	}
	n, err := s.Key("at_once").Int()
	if err != nil || n < 0 {
		r.findings.Add(s.Name(), "at_once", "not a whole number from 0 up")
	}
	c.TaskQuota = n
	if c.IsOperator && c.TokenDigest == "" {
		r.findings.Add(s.Name(), "digest", "an operator needs a token; make one with heatherslip token")
	}
	r.answers.Callers = append(r.answers.Callers, c)
}

func (r *answersParser) parseWorkKind(s *ini.Section, name string) {
	r.findings.CheckUnknownKeys(s, unknownQuestion, "patience", "late", "lost", "doubled")
	r.answers.WorkKinds = append(r.answers.WorkKinds, WorkKind{
		Name:     name,
		CallerTimeout: r.findings.ParseDuration(s, "patience", 10*time.Millisecond, policer.MaxDeadline),
		LateHarm:     r.parseHarm(s, "late"),
		LostHarm:     r.parseHarm(s, "lost"),
		DuplicateHarm:  r.parseHarm(s, "doubled"),
	})
}

func (r *answersParser) parseHarm(s *ini.Section, key string) Harm {
	answer := s.Key(key).String()
	for i, h := range harmNames {
		if h == answer {
			return Harm(i)
		}
	}
	r.findings.Add(s.Name(), key, "not one of "+strings.Join(harmNames, ", "))
	return HarmNone
}

func (r *answersParser) checkRequired() {
	a := r.answers
	if a.Organization.Name == "" {
		r.findings.Add("trade", "name", "is missing")
	}
	if len(a.Organization.Domains) == 0 {
		r.findings.Add("trade", "domains", "no failure domain is named")
	}
	if len(a.WorkKinds) == 0 {
		r.findings.Add("work", "", "no kind of work is described")
	}
	operator := false
	for _, c := range a.Callers {
		operator = operator || c.IsOperator
	}
	if !operator {
		r.findings.Add("caller", "operator", "no caller is an operator")
	}
}
