// Package policyparser parses the configuration in a revision: the policy for teams,
// kinds of work and services. The configuration is generated from a questionnaire
// and not written by hand.
package policyparser

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

// Limits of the values in a configuration.
const (
	MinKeyRetention = 10 * time.Second
	MaxKeyRetention = time.Hour
	MaxTasksPerJob  = 1000
	MaxDeadline     = 10 * time.Minute
)

// Policy is a parsed configuration. It is immutable.
type Policy struct {
	// Domains are the failure domains that the owners of bare keys are chosen
	// from, if this is the first accepted revision.
	Domains []namer.Domain
	// KeyRetention is how long the key of a finished submission is retained.
	KeyRetention time.Duration
	// MaxClockSkew is the maximum difference between any two clocks, including those of
	// clients.
	MaxClockSkew time.Duration
	// DefaultDeadline is the time allowed for work that has no deadline of its own.
	DefaultDeadline time.Duration
	// MaxTasksPerJob is the maximum number of tasks in one job.
	MaxTasksPerJob int
	Teams          []Team
	Kinds          []Kind
	Services       []Service
}

// Team is the section of a team.
type Team struct {
	Name namer.Team
	// TokenDigest is the SHA-256 digest, in hexadecimal, of the team's bearer
	// token. It is empty if the team has no token.
	TokenDigest string
	// IsOperator is set if the team may publish configurations, drain instances
	// and cancel the work of other teams.
	IsOperator bool
	// TaskQuota is the maximum number of the team's tasks that wait or run in the
	// whole fleet. Zero means no limit.
	TaskQuota int
}

// Kind is the section of a kind of work.
type Kind struct {
	Name namer.Kind
	// Weight is the kind's relative share of the fleet when kinds compete for it.
	Weight float64
	// DefaultDeadline is the time allowed for work of this kind that has no deadline of
	// its own.
	DefaultDeadline time.Duration
	// MaxQueueWait is the longest expected time in the queue with which work of this
	// kind is admitted.
	MaxQueueWait time.Duration
	// Unrepeatable is set if work of this kind must not run twice.
	Unrepeatable bool
}

// Service is the section of a service. The name of its field is a key in the JSON
// output of the command service list.
type Service struct {
	Name namer.Service
}

// Parse parses a configuration. The error contains the Findings of the whole text,
// or wraps the error of the INI parser.
func Parse(text string) (*Policy, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	p := configParser{policy: &Policy{}}
	for _, s := range file.Sections() {
		p.parseSection(s)
	}
	p.checkRequired()
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return p.policy, nil
}

type configParser struct {
	policy   *Policy
	findings Findings
}

func (p *configParser) parseSection(s *ini.Section) {
	prefix, name, _ := strings.Cut(s.Name(), " ")
	switch prefix {
	case ini.DefaultSection:
		p.findings.CheckUnknownKeys(s, "unknown key")
	case "fleet":
		p.parseFleet(s)
	case "team":
		p.parseTeam(s, name)
	case "kind":
		p.parseKind(s, name)
	case "service":
		p.findings.CheckUnknownKeys(s, "unknown key")
		p.policy.Services = append(p.policy.Services, Service{Name: namer.Service(name)})
	default:
		p.findings.Add(s.Name(), "", "unknown section")
	}
}

func (p *configParser) parseFleet(s *ini.Section) {
	p.findings.CheckUnknownKeys(s, "unknown key", "domains", "remember", "skew", "deadline", "tasks")
	for _, d := range s.Key("domains").Strings(",") {
		p.policy.Domains = append(p.policy.Domains, namer.Domain(d))
	}
	p.policy.KeyRetention = p.findings.ParseDuration(s, "remember", MinKeyRetention, MaxKeyRetention)
	p.policy.MaxClockSkew = p.findings.ParseDuration(s, "skew", time.Millisecond, time.Minute)
	p.policy.DefaultDeadline = p.findings.ParseDuration(s, "deadline", time.Millisecond, MaxDeadline)
	p.policy.MaxTasksPerJob = p.findings.ParseInteger(s, "tasks", 1, MaxTasksPerJob)
}

func (p *configParser) parseTeam(s *ini.Section, name string) {
	p.findings.CheckUnknownKeys(s, "unknown key", "token", "role", "quota")
	t := Team{Name: namer.Team(name), TokenDigest: s.Key("token").String()}
	if t.TokenDigest != "" && !isSHA256Hex(t.TokenDigest) {
		p.findings.Add(s.Name(), "token", "not a SHA-256 digest in hexadecimal")
	}
	switch role := s.Key("role").MustString("caller"); role {
	case "caller":
	case "operator":
		t.IsOperator = true
	default:
		p.findings.Add(s.Name(), "role", "neither caller nor operator")
	}
	if s.HasKey("quota") {
		t.TaskQuota = p.findings.ParseInteger(s, "quota", 0, 1<<30)
	}
	if t.IsOperator && t.TokenDigest == "" {
		p.findings.Add(s.Name(), "token", "an operator needs a token")
	}
	p.policy.Teams = append(p.policy.Teams, t)
}

func isSHA256Hex(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size
}

func (p *configParser) parseKind(s *ini.Section, name string) {
	p.findings.CheckUnknownKeys(s, "unknown key", "weight", "deadline", "wait", "unrepeatable")
	k := Kind{Name: namer.Kind(name)}
	weight, err := s.Key("weight").Float64()
	if err != nil || weight <= 0 || weight > 1000 {
		p.findings.Add(s.Name(), "weight", "not a number greater than 0 and at most 1000")
	}
	k.Weight = weight
	k.DefaultDeadline = p.findings.ParseDuration(s, "deadline", time.Millisecond, MaxDeadline)
	k.MaxQueueWait = p.findings.ParseDuration(s, "wait", time.Millisecond, MaxDeadline)
	k.Unrepeatable = s.Key("unrepeatable").MustBool(false)
	p.policy.Kinds = append(p.policy.Kinds, k)
}

// checkRequired adds findings for missing sections and values. It runs after all
// sections have been parsed.
func (p *configParser) checkRequired() {
	if len(p.policy.Domains) == 0 {
		p.findings.Add("fleet", "domains", "no failure domain is listed")
	}
	if len(p.policy.Kinds) == 0 {
		p.findings.Add("kind", "", "no kind of work is declared")
	}
	hasOperator := false
	for _, t := range p.policy.Teams {
		hasOperator = hasOperator || t.IsOperator
	}
	if !hasOperator {
		p.findings.Add("team", "role", "no team is an operator")
	}
}

// FindKind returns the section of a kind, and false if it is not declared.
func (p *Policy) FindKind(name namer.Kind) (Kind, bool) {
	for _, k := range p.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// FindTeam returns the section of a team, and false if it is not declared.
func (p *Policy) FindTeam(name namer.Team) (Team, bool) {
	for _, t := range p.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// ErrUnknownToken is returned if no team has the bearer token of a call.
var ErrUnknownToken = errors.New("the bearer token belongs to no team")

// Authenticate returns the team of a bearer token. It compares the token's digest
// with those of all teams, in constant time. A call without a token belongs to
// claimedTeam if that team has no token.
func (p *Policy) Authenticate(token string, claimedTeam namer.Team) (Team, error) {
	if token == "" {
		t, found := p.FindTeam(claimedTeam)
		if !found || t.TokenDigest != "" {
			return Team{}, ErrUnknownToken
		}
		return t, nil
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	index := -1
	for i, t := range p.Teams {
		if t.TokenDigest != "" && subtle.ConstantTimeCompare(digest, []byte(t.TokenDigest)) == 1 {
			index = i
		}
	}
	if index < 0 {
		return Team{}, ErrUnknownToken
	}
	return p.Teams[index], nil
}
