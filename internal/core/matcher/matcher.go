// Package matcher holds a configuration in force and finds the route of a call.
package matcher

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Version numbers configurations; a higher one is newer.
type Version uint64

// Route is a queue of jobs of one kind.
type Route struct {
	Name namer.Kind
	// Host and Prefix select the route; the longest prefix wins.
	Host    string
	Prefix  string
	Service namer.Service
	// Priority is 0 for the most urgent.
	Priority int
	// MaxAttempts is how many runs of a task may fail.
	MaxAttempts int
	// Stretch times the work, and Target on top, is the response time asked for.
	Stretch float64
	Target  time.Duration
	// Timeout is how long a caller waits at the most; zero is no limit.
	Timeout time.Duration
	// Advised is set where workers need a ticket for each step.
	Advised bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version Version
	Routes  []Route
	Limits  Limits
}

// Table finds routes in one configuration. It is never changed.
type Table struct {
	Config
	// hosts lists each host's routes, the longest prefix first.
	hosts map[string][]*Route
}

// New returns the table of a configuration.
func New(c Config) *Table {
	t := &Table{Config: c, hosts: make(map[string][]*Route)}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of a call and what follows its prefix, or nil.
func (t *Table) Match(host, path string) (*Route, string) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if rest, found := strings.CutPrefix(path, r.Prefix); found {
			return r, rest
		}
	}
	return nil, ""
}
