// Package matcher holds one version of the configuration and finds the route of
// an HTTP call in it.
package matcher

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Table finds routes in one configuration. It is immutable.
type Table struct {
	Config
	// routesByHost holds the routes of each host, in lower case, with the
	// longest prefix first.
	routesByHost map[string][]*Route
}

// ConfigVersion is the version number of a configuration. Newer configurations
// have higher numbers.
type ConfigVersion uint64

// Route maps calls to a queue of jobs of one kind.
type Route struct {
	// Kind is the kind of the route's jobs.
	Kind namer.Kind
	// Host and PathPrefix select the calls of the route. If several prefixes
	// match, the longest wins.
	Host       string
	PathPrefix string
	Service    namer.Service
	// Priority is 0 for the most urgent jobs.
	Priority int
	// MaxAttempts is how many runs of a task may fail before its job fails.
	MaxAttempts int
	// The response time objective is ObjectiveFactor times the longest chain of
	// dependent work in the job, plus ObjectiveBase.
	ObjectiveFactor float64
	ObjectiveBase   time.Duration
	// CallerTimeout is how long callers wait for a job unless they set a limit
	// themselves. Zero means that the route sets none.
	CallerTimeout time.Duration
	// Unguarded is set if the workers of the service do not check their capacity.
	Unguarded bool
	// TicketRequired is set if workers need a ticket for each step.
	TicketRequired bool
}

// Limits holds the limits on the calls of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version ConfigVersion
	Routes  []Route
	Limits  Limits
}

// New returns the route table of a configuration.
func New(c Config) *Table {
	t := &Table{Config: c, routesByHost: make(map[string][]*Route)}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// FindRoute returns the route of a call and the part of path after the route's
// prefix, or nil if no route matches. A port in host and the case of host are
// ignored.
func (t *Table) FindRoute(host, path string) (*Route, string) {
	if hostname, _, found := strings.Cut(host, ":"); found {
		host = hostname
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if remainder, found := strings.CutPrefix(path, r.PathPrefix); found {
			return r, remainder
		}
	}
	return nil, ""
}
