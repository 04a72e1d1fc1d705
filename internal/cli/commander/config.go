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
	"github.com/heatherslip/heatherslip/internal/config/policyparser"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

type formCmd struct{}

// Run prints the blank questionnaire.
func (c *formCmd) Run(inv *invocation) error {
	fmt.Fprint(inv.stdout, generator.BlankForm)
	return nil
}

type tokenCmd struct{}

const tokenBytes = 24

// Run prints a new random token and its SHA-256 digest.
func (c *tokenCmd) Run(inv *invocation) error {
	random := make([]byte, tokenBytes)
	if _, err := rand.Read(random); err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("generate token: %w", err))
	}
	token := hex.EncodeToString(random)
	digest := sha256.Sum256([]byte(token))
	return inv.printResult(tokenOutput{Token: token, Digest: hex.EncodeToString(digest[:])}, func(t *table) {
		t.addRow("token", token)
		t.addRow("digest", hex.EncodeToString(digest[:]))
	})
}

type tokenOutput struct {
	Token  string `json:"token"`
	Digest string `json:"digest"`
}

// loadConfigLines reads the questionnaire at path and returns the lines of the
// configuration that is generated from it.
func loadConfigLines(path string) ([]generator.ConfigLine, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("read questionnaire: %w", err))
	}
	answers, err := generator.ParseAnswers(string(text))
	if err != nil {
		return nil, withExitCode(ExitUsage, prefixPath(path, err))
	}
	lines := generator.GenerateConfig(answers)
	if _, err := policyparser.Parse(generator.FormatConfig(lines)); err != nil {
		return nil, withExitCode(ExitUsage, prefixPath(path, err))
	}
	return lines, nil
}

// prefixPath prefixes each finding in err, or else err itself, with the path of
// the file that it concerns.
func prefixPath(path string, err error) error {
	var findings policyparser.Findings
	if !errors.As(err, &findings) {
		return fmt.Errorf("%s: %w", path, err)
	}
	errs := make([]error, len(findings))
	for i, f := range findings {
		errs[i] = fmt.Errorf("%s: %s", path, f)
	}
	return errors.Join(errs...)
}

type checkCmd struct {
	Answers string `arg:"" help:"Questionnaire with answers." type:"path"`
}

// Run reports the findings in a questionnaire.
func (c *checkCmd) Run(inv *invocation) error {
	lines, err := loadConfigLines(c.Answers)
	if err != nil {
		return err
	}
	fmt.Fprintf(inv.stdout, "%s: no findings; %d lines of configuration\n", c.Answers, len(lines))
	return nil
}

type generateCmd struct {
	Answers string `arg:"" help:"Questionnaire with answers." type:"path"`
}

// Run prints the configuration that is generated from a questionnaire.
func (c *generateCmd) Run(inv *invocation) error {
	lines, err := loadConfigLines(c.Answers)
	if err != nil {
		return err
	}
	return inv.printResult(lines, func(t *table) {
		t.addRow("SECTION", "KEY", "VALUE", "FROM")
		for _, l := range lines {
			t.addRow(l.Section, l.Key, l.Value, l.From)
		}
	})
}

type diffCmd struct {
	Old string `arg:"" help:"Questionnaire before." type:"path"`
	New string `arg:"" help:"Questionnaire after." type:"path"`
}

// Run prints the differences between the configurations of two questionnaires.
func (c *diffCmd) Run(inv *invocation) error {
	before, err := loadConfigLines(c.Old)
	if err != nil {
		return err
	}
	after, err := loadConfigLines(c.New)
	if err != nil {
		return err
	}
	changes := generator.DiffConfigs(before, after)
	return inv.printResult(changes, func(t *table) {
		for _, change := range changes {
			t.addRow(change.String())
		}
	})
}

type publishCmd struct {
	Answers string `arg:"" help:"Questionnaire with answers." type:"path"`
	Base    int    `help:"Revision that this one is based on; by default the one in force." default:"-1"`
}

// Run publishes the configuration that is generated from a questionnaire.
func (c *publishCmd) Run(r *rootCLI, inv *invocation) error {
	lines, err := loadConfigLines(c.Answers)
	if err != nil {
		return err
	}
	return publishConfig(r, inv, generator.FormatConfig(lines), c.Base)
}

// publishConfig publishes configText as the successor of baseRevision, or of the
// current revision if baseRevision is negative, and prints the result.
func publishConfig(r *rootCLI, inv *invocation, configText string, baseRevision int) error {
	cl := r.client()
	defer cl.Close()
	if baseRevision < 0 {
		current, err := cl.Config(inv.ctx)
		if err != nil {
			return err
		}
		baseRevision = int(current.Revision)
	}
	result, err := cl.Publish(inv.ctx, server.PublishBody{BaseRevision: namer.Revision(baseRevision), Text: configText, Author: currentUser()})
	if err != nil {
		return err
	}
	if err := inv.printResult(result, func(t *table) {
		t.addRow("verdict", string(result.Verdict))
		t.addRow("revision in force", fmt.Sprint(result.Revision))
		for _, f := range result.Findings {
			t.addRow("finding", f)
		}
	}); err != nil {
		return err
	}
	switch result.Verdict {
	case server.PublishAccepted:
		return nil
	case server.PublishUnconfirmed:
		return withExitCode(ExitUnknown, errors.New("the log did not respond; the revision may still come into force"))
	case server.PublishOutdated:
		return withExitCode(ExitRefused, errors.New("another revision came into force first; review it and publish again"))
	default:
		return withExitCode(ExitRefused, errors.New("the revision was rejected"))
	}
}

func currentUser() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

type configCmd struct {
	Show    configShowCmd    `cmd:"" default:"1" help:"Show the configuration in force."`
	History configHistoryCmd `cmd:"" help:"List the accepted revisions."`
}

type configShowCmd struct{}

// Run prints the configuration in force.
func (c *configShowCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	current, err := cl.Config(inv.ctx)
	if err != nil {
		return err
	}
	return inv.printResult(current, func(t *table) {
		t.addRow(fmt.Sprintf("; revision %d, in force at %s", current.Revision, r.Server))
		t.addRow(current.Text)
	})
}

type configHistoryCmd struct{}

// Run lists the accepted revisions.
func (c *configHistoryCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	history, err := cl.History(inv.ctx)
	if err != nil {
		return err
	}
	return inv.printResult(history, func(t *table) {
		t.addRow("REVISION", "BY", "AT", "OFFSET")
		for _, revision := range history.Revisions {
			t.addRow(fmt.Sprint(revision.Revision), revision.Author, revision.PublishedAt.Format("2006-01-02 15:04:05.000"), fmt.Sprint(revision.Offset))
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

// Run adds a service to the questionnaire and publishes the result. It edits the
// file because the questionnaire is the only source of the configuration.
func (c *serviceCreateCmd) Run(r *rootCLI, inv *invocation) error {
	questionnaire, err := ini.Load(c.Answers)
	if err != nil {
		return withExitCode(ExitUsage, fmt.Errorf("read questionnaire: %w", err))
	}
	servicesKey := questionnaire.Section("trade").Key("services")
	for _, name := range servicesKey.Strings(",") {
		if name == c.Name {
			return withExitCode(ExitRefused, fmt.Errorf("service %q already exists", c.Name))
		}
	}
	services := c.Name
	if existing := servicesKey.String(); existing != "" {
		services = existing + ", " + c.Name
	}
	servicesKey.SetValue(services)
	if err := questionnaire.SaveTo(c.Answers); err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("write questionnaire: %w", err))
	}
	lines, err := loadConfigLines(c.Answers)
	if err != nil {
		return err
	}
	return publishConfig(r, inv, generator.FormatConfig(lines), -1)
}

type serviceListCmd struct{}

// Run lists the services in force.
func (c *serviceListCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	current, err := cl.Config(inv.ctx)
	if err != nil {
		return err
	}
	policy, err := policyparser.Parse(current.Text)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	return inv.printResult(policy.Services, func(t *table) {
		for _, svc := range policy.Services {
			t.addRow(string(svc.Name))
		}
	})
}
