package commander

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

type eventsCmd struct{}

// Run prints the catalogue of logged events, in Markdown as in docs/EVENTS.md or
// as JSON.
func (c *eventsCmd) Run(inv *invocation) error {
	if inv.jsonOutput {
		return inv.printResult(eventer.Catalogue(), func(*table) {})
	}
	fmt.Fprint(inv.stdout, EventsMarkdown())
	return nil
}

// EventsMarkdown returns the catalogue of logged events as a Markdown page, the
// content of docs/EVENTS.md.
func EventsMarkdown() string {
	var page strings.Builder
	page.WriteString("# Events\n\nMade by `heatherslip events`. Each log line has the number as `event`.\n\n")
	page.WriteString("| event | name | meaning |\n| --- | --- | --- |\n")
	for _, entry := range eventer.Catalogue() {
		fmt.Fprintf(&page, "| %s | %s | %s |\n", strconv.Itoa(int(entry.Event)), entry.Name, entry.Meaning)
	}
	return page.String()
}
