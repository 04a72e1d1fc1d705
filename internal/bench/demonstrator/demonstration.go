// Package demonstrator demonstrates the system on an emulated platform. For each of two
// users it starts a fleet, runs jobs and requests of realistic lengths, repeats calls at
// other instances, kills an instance, and checks whether each promise held.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/bench/fleetstarter"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Options configures a demonstration.
type Options struct {
	// Progress receives progress messages.
	Progress io.Writer
	// Verbose adds the log lines of all instances to the progress messages.
	Verbose bool
	// Timeout bounds the duration of the demonstration.
	Timeout time.Duration
}

// PromiseResult is the result of checking one promise.
type PromiseResult struct {
	User string `json:"user"`
	// Workload describes the calls.
	Workload string `json:"asked"`
	// Outcome describes the answers.
	Outcome string `json:"got"`
	// TimeRatio is the response time divided by the ideal time, or "-".
	TimeRatio string `json:"ratio"`
	// WastedMessages is the number of messages that workers or minions refused, or "-".
	WastedMessages string `json:"wasted"`
	Promise        string `json:"promise"`
	Held           bool   `json:"held"`
}

// HeldText returns "yes" if the promise held and "NO" otherwise.
func (r PromiseResult) HeldText() string {
	if r.Held {
		return "yes"
	}
	return "NO"
}

// Report contains the results of a demonstration.
type Report struct {
	Results []PromiseResult `json:"lines"`
}

// AllHeld reports whether there are results and every promise held.
func (r *Report) AllHeld() bool {
	for _, result := range r.Results {
		if !result.Held {
			return false
		}
	}
	return len(r.Results) > 0
}

// demoUser is a user of the system, with a platform, a fleet and a configuration.
type demoUser struct {
	name          string
	site          emulator.Site
	instances     int
	questionnaire string
	token         string
	team          namer.Team
	// repeatableKind is a kind of work that may run again, unrepeatableKind one that may
	// not.
	repeatableKind, unrepeatableKind namer.Kind
}

func demoUsers() []demoUser {
	return []demoUser{
		{
			name: "Akademia", site: emulator.AkademiaSite(), instances: 6,
			questionnaire: generator.SampleAkademia, token: generator.SampleAkademiaToken, team: "akademia",
			repeatableKind: "word", unrepeatableKind: "marking",
		},
		{
			name: "association", site: emulator.AssociationSite(), instances: 8,
			questionnaire: generator.SampleAssociation, token: generator.SampleAssociationToken, team: "association",
			repeatableKind: "price-check", unrepeatableKind: "booking",
		},
	}
}

// Run runs the demonstration for all users and returns the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	report := &Report{}
	for _, user := range demoUsers() {
		d := &demonstration{ctx: ctx, opts: opts, user: user, report: report}
		if err := d.runSteps(); err != nil {
			return nil, fmt.Errorf("demonstration for %s: %w", user.name, err)
		}
	}
	return report, nil
}

// demonstration is the demonstration for one user.
type demonstration struct {
	ctx    context.Context
	opts   Options
	user   demoUser
	report *Report
	fleet  *fleetstarter.Fleet
}

func (d *demonstration) printProgress(format string, args ...any) {
	fmt.Fprintf(d.opts.Progress, d.user.name+": "+format+"\n", args...)
}

func (d *demonstration) addResult(result PromiseResult) {
	result.User = d.user.name
	d.report.Results = append(d.report.Results, result)
}

// runSteps starts the fleet and runs the steps in order.
func (d *demonstration) runSteps() error {
	log := zerolog.Nop()
	if d.opts.Verbose {
		log = zerolog.New(zerolog.SyncWriter(d.opts.Progress))
	}
	d.printProgress("starting %d entry instances, 48 workers and 48 minions", d.user.instances)
	fleet, err := fleetstarter.New(d.ctx, fleetstarter.Options{
		Site: d.user.site, Instances: d.user.instances, Questionnaire: d.user.questionnaire,
		Token: d.user.token, Team: d.user.team, Log: log,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	d.fleet = fleet
	for _, step := range []func() error{d.submitJobTwice, d.sendRepeatableRequests, d.sendUnrepeatableRequest, d.killInstance, d.publishConflictingRevisions, d.drainInstance} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
