// Package policer reads the configuration that a revision carries: the policy
// for teams, kinds of work and services. It is generated from a questionnaire
// and never written by hand.
package policer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Bounds of what a configuration may ask for.
const (
	MinKeyRetention = 10 * time.Second
	MaxKeyRetention = time.Hour
	MaxTasksPerJob    = 1000
	MaxDeadline = 10 * time.Minute
)

// Policy is a parsed configuration. It is never changed once parsed.
type Policy struct {
	// Domains are the failure domains among which bare keys are shared out.
	Domains []namer.Domain
	// Remember is how long a finished submission's key is kept.
	Remember time.Duration
	// Skew bounds the difference between any two clocks, clients' included.
	Skew time.Duration
	// Deadline is given to work that names none.
	Deadline time.Duration
	// Tasks bounds the tasks of one job.
	Tasks    int
	Teams    []Team
	Kinds    []Kind
	Services []Service
}

// Team is a team's section.
type Team struct {
	Name namer.Team
	// TokenDigest is the SHA-256 digest, in hexadecimal, of the team's bearer token;
	// empty where the team has none.
	TokenDigest string
	// Operator is set where the team may publish, drain and cancel.
	Operator bool
	// Quota bounds the team's tasks that wait or run in the whole fleet; zero
	// means no bound.
	Quota int
}

// Kind is the section of a kind of work.
type Kind struct {
	Name namer.Kind
	// Weight is the kind's part of the fleet when others want it too.
	Weight float64
	// Deadline is given to work of this kind that names none.
	Deadline time.Duration
	// Wait bounds how long work of this kind is queued.
	Wait time.Duration
	// Unrepeatable is set where work of this kind never runs twice.
	Unrepeatable bool
}

// Service is a service's section.
type Service struct {
	Name namer.Service
}

// Parse reads a configuration. Its error is Findings, all of them, or that of
// the INI reader.
func Parse(text string) (*Policy, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	r := configParser{policy: &Policy{}}
	for _, s := range file.Sections() {
		r.parseSection(s)
	}
	r.checkRequired()
	if len(r.findings) > 0 {
		return nil, r.findings
	}
	return r.policy, nil
}

type configParser struct {
	policy   *Policy
	findings Findings
}

func (r *configParser) parseSection(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		r.findings.CheckUnknownKeys(s, "unknown key")
	case "fleet":
		r.parseFleet(s)
	case "team":
		r.parseTeam(s, name)
	case "kind":
		r.parseKind(s, name)
	case "service":
		r.findings.CheckUnknownKeys(s, "unknown key")
		r.policy.Services = append(r.policy.Services, Service{Name: namer.Service(name)})
	default:
		r.findings.Add(s.Name(), "", "unknown section")
	}
}

func (r *configParser) parseFleet(s *ini.Section) {
	r.findings.CheckUnknownKeys(s, "unknown key", "domains", "remember", "skew", "deadline", "tasks")
	for _, d := range s.Key("domains").Strings(",") {
		r.policy.Domains = append(r.policy.Domains, namer.Domain(d))
	}
	r.policy.Remember = r.findings.ParseDuration(s, "remember", MinKeyRetention, MaxKeyRetention)
	r.policy.Skew = r.findings.ParseDuration(s, "skew", time.Millisecond, time.Minute)
	r.policy.Deadline = r.findings.ParseDuration(s, "deadline", time.Millisecond, MaxDeadline)
	r.policy.Tasks = r.findings.ParseInteger(s, "tasks", 1, MaxTasksPerJob)
}

func (r *configParser) parseTeam(s *ini.Section, name string) {
	r.findings.CheckUnknownKeys(s, "unknown key", "token", "role", "quota")
	t := Team{Name: namer.Team(name), TokenDigest: s.Key("token").String()}
	if t.TokenDigest != "" && !isSHA256Hex(t.TokenDigest) {
		r.findings.Add(s.Name(), "token", "not a SHA-256 digest in hexadecimal")
	}
	switch role := s.Key("role").MustString("caller"); role {
	case "caller":
	case "operator":
		t.Operator = true
	default:
		r.findings.Add(s.Name(), "role", "neither caller nor operator")
	}
	if s.HasKey("quota") {
		t.Quota = r.findings.ParseInteger(s, "quota", 0, 1<<30)
	}
	if t.Operator && t.TokenDigest == "" {
		r.findings.Add(s.Name(), "token", "an operator needs a token")
	}
	r.policy.Teams = append(r.policy.Teams, t)
}

func isSHA256Hex(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size
}

func (r *configParser) parseKind(s *ini.Section, name string) {
	r.findings.CheckUnknownKeys(s, "unknown key", "weight", "deadline", "wait", "unrepeatable")
	k := Kind{Name: namer.Kind(name)}
	w, err := s.Key("weight").Float64()
	if err != nil || w <= 0 || w > 1000 {
		r.findings.Add(s.Name(), "weight", "not a number above 0 and up to 1000")
	}
	k.Weight = w
	k.Deadline = r.findings.ParseDuration(s, "deadline", time.Millisecond, MaxDeadline)
	k.Wait = r.findings.ParseDuration(s, "wait", time.Millisecond, MaxDeadline)
	k.Unrepeatable = s.Key("unrepeatable").MustBool(false)
	r.policy.Kinds = append(r.policy.Kinds, k)
}

// checkRequired checks what no section can check alone.
func (r *configParser) checkRequired() {
	if len(r.policy.Domains) == 0 {
		r.findings.Add("fleet", "domains", "no failure domain is named")
	}
	if len(r.policy.Kinds) == 0 {
		r.findings.Add("kind", "", "no kind of work is declared")
	}
	operator := false
	for _, t := range r.policy.Teams {
		operator = operator || t.Operator
	}
	if !operator {
		r.findings.Add("team", "role", "no team is the operator")
	}
}

// KindOf returns the section of a kind, and false where it is not declared.
func (p *Policy) KindOf(name namer.Kind) (Kind, bool) {
	for _, k := range p.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// TeamOf returns the section of a team, and false where it is not declared.
func (p *Policy) TeamOf(name namer.Team) (Team, bool) {
	for _, t := range p.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// ErrUnknownToken says that a bearer token belongs to no team.
var ErrUnknownToken = errors.New("the bearer token belongs to no team")

// Authenticate returns the team that a bearer token belongs to. Every team's
// digest is compared, in constant time. A call without a token belongs to the
// team it names, where that team has none.
func (p *Policy) Authenticate(token string, claimedTeam namer.Team) (Team, error) {
	if token == "" {
		t, found := p.TeamOf(claimedTeam)
		if !found || t.TokenDigest != "" {
			return Team{}, ErrUnknownToken
		}
		return t, nil
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := -1
	for i, t := range p.Teams {
		if t.TokenDigest != "" && subtle.ConstantTimeCompare(digest, []byte(t.TokenDigest)) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Team{}, ErrUnknownToken
	}
	return p.Teams[found], nil
}
