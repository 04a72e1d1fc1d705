package commander

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"heatherslip": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standins":    func() { os.Exit(Standins(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

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

func TestEventsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	must.NoError(t, err)
	must.Eq(t, EventsPage(), string(page), must.Sprint("run: heatherslip events > docs/EVENTS.md"))
}
