package commander

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/user"

	"gopkg.in/ini.v1"

	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/config/policer"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

type formCmd struct{}

// Run prints the blank questionnaire.
func (c *formCmd) Run(s *screen) error {
	fmt.Fprint(s.out, generator.Form)
	return nil
}

type tokenCmd struct{}

const tokenBytes = 24

// Run makes a token.
func (c *tokenCmd) Run(s *screen) error {
	b := make([]byte, tokenBytes)
	if _, err := rand.Read(b); err != nil {
		return fail(ExitFailed, fmt.Errorf("draw a token: %w", err))
	}
	token := hex.EncodeToString(b)
	sum := sha256.Sum256([]byte(token))
	return s.show(tokenLine{Token: token, Digest: hex.EncodeToString(sum[:])}, func(t *table) {
		t.row("token", token)
		t.row("digest", hex.EncodeToString(sum[:]))
	})
}

type tokenLine struct {
	Token  string `json:"token"`
	Digest string `json:"digest"`
}

// linesOf reads a questionnaire and generates its configuration.
func linesOf(path string) ([]generator.Line, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fail(ExitUsage, fmt.Errorf("read questionnaire: %w", err))
	}
	answers, err := generator.Read(string(text))
	if err != nil {
		return nil, fail(ExitUsage, located(path, err))
	}
	lines := generator.Generate(answers)
	if _, err := policer.Parse(generator.Text(lines)); err != nil {
		return nil, fail(ExitUsage, located(path, err))
	}
	return lines, nil
}

// located puts the file's name before each finding.
func located(path string, err error) error {
	var findings policer.Findings
	if !errors.As(err, &findings) {
		return fmt.Errorf("%s: %w", path, err)
	}
	all := make([]error, len(findings))
	for i, f := range findings {
		all[i] = fmt.Errorf("%s: %s", path, f)
	}
	return errors.Join(all...)
}

type checkCmd struct {
	Answers string `arg:"" help:"Questionnaire with answers." type:"path"`
}

// Run checks a questionnaire.
func (c *checkCmd) Run(s *screen) error {
	lines, err := linesOf(c.Answers)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: no findings; %d lines of configuration\n", c.Answers, len(lines))
	return nil
}

type generateCmd struct {
	Answers string `arg:"" help:"Questionnaire with answers." type:"path"`
}

// Run shows the configuration of a questionnaire.
func (c *generateCmd) Run(s *screen) error {
	lines, err := linesOf(c.Answers)
	if err != nil {
		return err
	}
	return s.show(lines, func(t *table) {
		t.row("SECTION", "KEY", "VALUE", "FROM")
		for _, l := range lines {
			t.row(l.Section, l.Key, l.Value, l.From)
		}
	})
}

type diffCmd struct {
	Old string `arg:"" help:"Questionnaire before." type:"path"`
	New string `arg:"" help:"Questionnaire after." type:"path"`
}

// Run shows how two configurations differ.
func (c *diffCmd) Run(s *screen) error {
	before, err := linesOf(c.Old)
	if err != nil {
		return err
	}
	after, err := linesOf(c.New)
	if err != nil {
		return err
	}
	changes := generator.Diff(before, after)
	return s.show(changes, func(t *table) {
		for _, d := range changes {
			t.row(d.String())
		}
	})
}

type publishCmd struct {
	Answers string `arg:"" help:"Questionnaire with answers." type:"path"`
	Base    int    `help:"Revision that this one is based on; by default the one in force." default:"-1"`
}

// Run publishes a questionnaire's configuration.
func (c *publishCmd) Run(r *root, s *screen) error {
	lines, err := linesOf(c.Answers)
	if err != nil {
		return err
	}
	return publish(r, s, generator.Text(lines), c.Base)
}

func publish(r *root, s *screen, text string, base int) error {
	cl := r.client()
	defer cl.Close()
	if base < 0 {
		now, err := cl.Config(s.ctx)
		if err != nil {
			return err
		}
		base = int(now.Revision)
	}
	answer, err := cl.Publish(s.ctx, server.PublishBody{Base: namer.Revision(base), Text: text, By: userName()})
	if err != nil {
		return err
	}
	if err := s.show(answer, func(t *table) {
		t.row("verdict", string(answer.Verdict))
		t.row("revision in force", fmt.Sprint(answer.Revision))
		for _, f := range answer.Findings {
			t.row("finding", f)
		}
	}); err != nil {
		return err
	}
	switch answer.Verdict {
	case server.Accepted:
		return nil
	case server.Unsettled:
		return fail(ExitUnknown, errors.New("the log has not answered; the revision may still come into force"))
	case server.Outdated:
		return fail(ExitRefused, errors.New("another revision came into force first; look at it and publish again"))
	default:
		return fail(ExitRefused, errors.New("the revision was refused"))
	}
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

type configCmd struct {
	Show    configShowCmd    `cmd:"" default:"1" help:"Show the configuration in force."`
	History configHistoryCmd `cmd:"" help:"List the accepted revisions."`
}

type configShowCmd struct{}

// Run shows the configuration in force.
func (c *configShowCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	now, err := cl.Config(s.ctx)
	if err != nil {
		return err
	}
	return s.show(now, func(t *table) {
		t.row(fmt.Sprintf("; revision %d, in force at %s", now.Revision, r.Server))
		t.row(now.Text)
	})
}

type configHistoryCmd struct{}

// Run lists the accepted revisions.
func (c *configHistoryCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	h, err := cl.History(s.ctx)
	if err != nil {
		return err
	}
	return s.show(h, func(t *table) {
		t.row("REVISION", "BY", "AT", "OFFSET")
		for _, v := range h.Revisions {
			t.row(fmt.Sprint(v.Revision), v.By, v.At.Format("2006-01-02 15:04:05.000"), fmt.Sprint(v.Offset))
		}
	})
}

type serviceCmd struct {
	Create serviceCreateCmd `cmd:"" help:"Add a service to a questionnaire and publish it. Example: heatherslip service create order-desk --answers answers.ini"`
	List   serviceListCmd   `cmd:"" help:"List the services in force."`
}

type serviceCreateCmd struct {
	Name    string `arg:"" help:"Name of the service."`
	Answers string `help:"Questionnaire that the service is added to." required:"" type:"path"`
}

// Run adds a service to the questionnaire, which stays the only source of the
// configuration, and publishes it.
func (c *serviceCreateCmd) Run(r *root, s *screen) error {
	file, err := ini.Load(c.Answers)
	if err != nil {
		return fail(ExitUsage, fmt.Errorf("read questionnaire: %w", err))
	}
	key := file.Section("trade").Key("services")
	for _, name := range key.Strings(",") {
		if name == c.Name {
			return fail(ExitRefused, fmt.Errorf("service %s is there already", c.Name))
		}
	}
	value := c.Name
	if old := key.String(); old != "" {
		value = old + ", " + c.Name
	}
	key.SetValue(value)
	if err := file.SaveTo(c.Answers); err != nil {
		return fail(ExitFailed, fmt.Errorf("write questionnaire: %w", err))
	}
	lines, err := linesOf(c.Answers)
	if err != nil {
		return err
	}
	return publish(r, s, generator.Text(lines), -1)
}

type serviceListCmd struct{}

// Run lists the services in force.
func (c *serviceListCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	now, err := cl.Config(s.ctx)
	if err != nil {
		return err
	}
	policy, err := policer.Parse(now.Text)
	if err != nil {
		return fail(ExitFailed, err)
	}
	return s.show(policy.Services, func(t *table) {
		for _, svc := range policy.Services {
			t.row(string(svc.Name))
		}
	})
}
