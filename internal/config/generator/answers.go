// Package generator parses the answers of a questionnaire and generates a
// configuration from them. Each line of the configuration says which answer it
// comes from.
package generator

import (
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/heatherslip/heatherslip/internal/config/policyparser"
)

// Answers contains the answers of a questionnaire.
type Answers struct {
	Organization Organization
	Callers      []Caller
	WorkKinds    []WorkKind
}

// Organization is the section [trade]: who uses the fleet and where it runs.
type Organization struct {
	Name     string
	Domains  []string
	Services []string
	// MaxTasksPerJob is the number of tasks of the largest job.
	MaxTasksPerJob int
	// ResubmitPeriod is how long after the end of a job callers may submit it
	// again.
	ResubmitPeriod time.Duration
	// MaxClockSkew is the maximum difference between the clocks of callers and
	// instances.
	MaxClockSkew time.Duration
}

// Caller is a section [caller NAME]: a team that may call.
type Caller struct {
	Name        string
	TokenDigest string
	IsOperator  bool
	// TaskQuota is the maximum number of tasks that the caller may have waiting
	// or running. Zero means no limit.
	TaskQuota int
}

// WorkKind is a section [work NAME]: a kind of work, how long its callers wait,
// and the harm of its late, lost and duplicate results.
type WorkKind struct {
	Name          string
	CallerTimeout time.Duration
	LateHarm      Harm
	LostHarm      Harm
	DuplicateHarm Harm
}

// Harm is the severity of a late, lost or duplicate result.
type Harm int

// Levels of harm, in increasing order. HarmHarmful means that a person or a
// contract is harmed.
const (
	HarmNone Harm = iota
	HarmAnnoying
	HarmCostly
	HarmHarmful
)

var harmNames = []string{"none", "annoying", "costly", "harmful"}

func (h Harm) String() string { return harmNames[h] }

// BlankForm is the questionnaire without answers.
const BlankForm = `# heatherslip questionnaire. Answer every question; then check the answers with
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

// ParseAnswers parses a questionnaire. The error contains the policyparser.Findings of the
// whole text, or wraps the error of the INI parser.
func ParseAnswers(text string) (*Answers, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return nil, fmt.Errorf("parse questionnaire: %w", err)
	}
	p := answersParser{answers: &Answers{}}
	for _, s := range file.Sections() {
		p.parseSection(s)
	}
	p.checkRequired()
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return p.answers, nil
}

const unknownQuestion = "unknown question"

type answersParser struct {
	answers  *Answers
	findings policyparser.Findings
}

func (p *answersParser) parseSection(s *ini.Section) {
	prefix, name, _ := strings.Cut(s.Name(), " ")
	switch prefix {
	case ini.DefaultSection:
		p.findings.CheckUnknownKeys(s, unknownQuestion)
	case "trade":
		p.parseOrganization(s)
	case "caller":
		p.parseCaller(s, name)
	case "work":
		p.parseWorkKind(s, name)
	default:
		p.findings.Add(s.Name(), "", "unknown section")
	}
}

func (p *answersParser) parseOrganization(s *ini.Section) {
	p.findings.CheckUnknownKeys(s, unknownQuestion, "name", "domains", "services", "largest", "resubmit", "clocks")
	o := &p.answers.Organization
	o.Name = s.Key("name").String()
	o.Domains = s.Key("domains").Strings(",")
	o.Services = s.Key("services").Strings(",")
	o.ResubmitPeriod = p.findings.ParseDuration(s, "resubmit", policyparser.MinKeyRetention, policyparser.MaxKeyRetention)
	o.MaxClockSkew = p.findings.ParseDuration(s, "clocks", time.Millisecond, time.Minute)
	o.MaxTasksPerJob = p.findings.ParseInteger(s, "largest", 1, policyparser.MaxTasksPerJob)
}

func (p *answersParser) parseCaller(s *ini.Section, name string) {
	p.findings.CheckUnknownKeys(s, unknownQuestion, "digest", "operator", "at_once")
	c := Caller{Name: name, TokenDigest: s.Key("digest").String()}
	switch answer := s.Key("operator").String(); answer {
	case "yes":
		c.IsOperator = true
	case "no":
	default:
		p.findings.Add(s.Name(), "operator", "neither yes nor no")
	}
	n, err := s.Key("at_once").Int()
	if err != nil || n < 0 {
		p.findings.Add(s.Name(), "at_once", "not a whole number of at least 0")
	}
	c.TaskQuota = n
	if c.IsOperator && c.TokenDigest == "" {
		p.findings.Add(s.Name(), "digest", "an operator needs a token; make one with heatherslip token")
	}
	p.answers.Callers = append(p.answers.Callers, c)
}

func (p *answersParser) parseWorkKind(s *ini.Section, name string) {
	p.findings.CheckUnknownKeys(s, unknownQuestion, "patience", "late", "lost", "doubled")
	p.answers.WorkKinds = append(p.answers.WorkKinds, WorkKind{
		Name:          name,
		CallerTimeout: p.findings.ParseDuration(s, "patience", 10*time.Millisecond, policyparser.MaxDeadline),
		LateHarm:      p.parseHarm(s, "late"),
		LostHarm:      p.parseHarm(s, "lost"),
		DuplicateHarm: p.parseHarm(s, "doubled"),
	})
}

func (p *answersParser) parseHarm(s *ini.Section, key string) Harm {
	answer := s.Key(key).String()
	for i, h := range harmNames {
		if h == answer {
			return Harm(i)
		}
	}
	p.findings.Add(s.Name(), key, "not one of "+strings.Join(harmNames, ", "))
	return HarmNone
}

// checkRequired adds findings for missing sections and answers. It runs after all
// sections have been parsed.
func (p *answersParser) checkRequired() {
	a := p.answers
	if a.Organization.Name == "" {
		p.findings.Add("trade", "name", "is missing")
	}
	if len(a.Organization.Domains) == 0 {
		p.findings.Add("trade", "domains", "no failure domain is named")
	}
	if len(a.WorkKinds) == 0 {
		p.findings.Add("work", "", "no kind of work is described")
	}
	hasOperator := false
	for _, c := range a.Callers {
		hasOperator = hasOperator || c.IsOperator
	}
	if !hasOperator {
		p.findings.Add("caller", "operator", "no caller is an operator")
	}
}
