// Package demonstrator shows the main job on embedded stand-ins: for each of
// the two users it starts a fleet, runs jobs and requests of realistic
// lengths, asks again elsewhere, kills an instance, and looks whether each
// promise held.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/bench/assembler"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Options are what a demonstration is run with.
type Options struct {
	// Out is told what goes on.
	Out     io.Writer
	Verbose bool
	// Limit bounds the whole demonstration.
	Limit time.Duration
}

// Line is one promise of a Report.
type Line struct {
	User    string `json:"user"`
	Asked   string `json:"asked"`
	Got     string `json:"got"`
	Ratio   string `json:"ratio"`
	Wasted  string `json:"wasted"`
	Promise string `json:"promise"`
	Held    bool   `json:"held"`
}

// Verdict says in a word whether the promise held.
func (l Line) Verdict() string {
	if l.Held {
		return "yes"
	}
	return "NO"
}

// Report is what a demonstration has shown.
type Report struct {
	Lines []Line `json:"lines"`
}

// Held reports whether every promise held.
func (r *Report) Held() bool {
	for _, l := range r.Lines {
		if !l.Held {
			return false
		}
	}
	return len(r.Lines) > 0
}

// user is one of the two users.
type user struct {
	name      string
	site      emulator.Site
	instances int
	answers   string
	token     string
	team      namer.Team
	// quick is work that may be repeated, and grave work that may not.
	quick, grave namer.Kind
}

func users() []user {
	return []user{
		{
			name: "Akademia", site: emulator.AkademiaSite(), instances: 6,
			answers: generator.SampleAkademia, token: generator.SampleAkademiaToken, team: "akademia",
			quick: "word", grave: "marking",
		},
		{
			name: "association", site: emulator.AssociationSite(), instances: 8,
			answers: generator.SampleAssociation, token: generator.SampleAssociationToken, team: "association",
			quick: "price-check", grave: "booking",
		},
	}
}

// Run demonstrates, and returns what was seen.
func Run(ctx context.Context, opts Options) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, opts.Limit)
	defer cancel()
	report := &Report{}
	for _, u := range users() {
		s := &show{ctx: ctx, opts: opts, user: u, report: report}
		if err := s.run(); err != nil {
			return nil, fmt.Errorf("demonstrate for the %s: %w", u.name, err)
		}
	}
	return report, nil
}

// show is the demonstration for one user.
type show struct {
	ctx    context.Context
	opts   Options
	user   user
	report *Report
	fleet  *assembler.Fleet
}

func (s *show) say(format string, args ...any) {
	fmt.Fprintf(s.opts.Out, s.user.name+": "+format+"\n", args...)
}

func (s *show) add(l Line) {
	l.User = s.user.name
	s.report.Lines = append(s.report.Lines, l)
}

func (s *show) run() error {
	log := zerolog.Nop()
	if s.opts.Verbose {
		log = zerolog.New(zerolog.SyncWriter(s.opts.Out))
	}
	s.say("starting %d entry instances, 48 workers and 48 minions", s.user.instances)
	fleet, err := assembler.New(s.ctx, assembler.Options{
		Site: s.user.site, Instances: s.user.instances, Questionnaire: s.user.answers,
		Token: s.user.token, Team: s.user.team, Log: log,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	s.fleet = fleet
	for _, step := range []func() error{s.job, s.requests, s.grave, s.kill, s.revise, s.drain} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
