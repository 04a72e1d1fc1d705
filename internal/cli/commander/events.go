package commander

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

type eventsCmd struct{}

// Run prints the catalogue of logged events as docs/EVENTS.md holds it.
func (c *eventsCmd) Run(s *screen) error {
	if s.json {
		return s.show(eventer.Catalogue(), func(*table) {})
	}
	fmt.Fprint(s.out, EventsPage())
	return nil
}

// EventsPage renders the catalogue in Markdown.
func EventsPage() string {
	var b strings.Builder
	b.WriteString("# Events\n\nMade by `heatherslip events`. Each log line has the number as `event`.\n\n")
	b.WriteString("| event | name | meaning |\n| --- | --- | --- |\n")
	for _, e := range eventer.Catalogue() {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", strconv.Itoa(int(e.Event)), e.Name, e.Meaning)
	}
	return b.String()
}
