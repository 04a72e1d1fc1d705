package commander

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"heatherslip": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standins":    func() { os.Exit(StandinsMain(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestCommands runs the scripts in testdata/script.
func TestCommands(t *testing.T) {
	docs, err := filepath.Abs("../../../docs")
	must.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv("DOCS", docs)
			return nil
		},
	})
}

// docs/EVENTS.md goes out of date if the catalogue changes and the page is not
// generated again.
func TestEventsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	must.NoError(t, err)
	must.Eq(t, EventsMarkdown(), string(page), must.Sprint("run: heatherslip events > docs/EVENTS.md"))
}

// Invalid arguments, missing files and an unreachable instance must exit with
// different codes than failed work, since scripts branch on the code.
func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
	}{
		"help":                  {[]string{"--help"}, ExitOK},
		"form":                  {[]string{"form"}, ExitOK},
		"events":                {[]string{"events"}, ExitOK},
		"unknown command":       {[]string{"nonsense"}, ExitUsage},
		"missing settings file": {[]string{"serve", "--settings", "missing.ini"}, ExitUsage},
		"missing answers file":  {[]string{"check", "missing.ini"}, ExitUsage},
		"unknown scenario":      {[]string{"load", "missing"}, ExitUsage},
		"unreachable instance":  {[]string{"--server", "127.0.0.1:1", "job", "fetch", "k"}, ExitUnreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.code, Main(c.args, io.Discard, io.Discard))
		})
	}
}

// Each answer status must exit with its documented code, since scripts branch on it.
func TestExitCodesOfAnswers(t *testing.T) {
	cases := map[coder.Status]int{
		coder.StatusDone: ExitOK, coder.StatusRunning: ExitOK, coder.StatusFailed: ExitFailed,
		coder.StatusCancelled: ExitFailed, coder.StatusRefused: ExitRefused, coder.StatusUnknown: ExitUnknown,
	}
	for status, want := range cases {
		t.Run(string(status), func(t *testing.T) {
			inv := &invocation{stdout: io.Discard, stderr: io.Discard}
			must.Eq(t, want, exitCode(inv.printAnswer("k", coder.Answer{Status: status}), "heatherslip", io.Discard))
		})
	}
}

// The example questionnaires in docs must be equal to the samples, which the other
// tests and the demonstration run with.
func TestExamplesMatchSamples(t *testing.T) {
	for name, sample := range map[string]string{"akademia": generator.SampleAkademia, "association": generator.SampleAssociation} {
		t.Run(name, func(t *testing.T) {
			page, err := os.ReadFile("../../../docs/examples/" + name + ".ini")
			must.NoError(t, err)
			must.Eq(t, sample, string(page))
		})
	}
}
