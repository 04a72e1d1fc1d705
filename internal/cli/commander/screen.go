package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table collects rows for people.
type table struct {
	rows []string
}

func (t *table) row(cells ...string) {
	t.rows = append(t.rows, strings.Join(cells, "\t"))
}

// show prints v as JSON, or the rows that fill puts into a table.
func (s *screen) show(v any, fill func(*table)) error {
	if s.json {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		if err := e.Encode(v); err != nil {
			return fail(ExitFailed, fmt.Errorf("print: %w", err))
		}
		return nil
	}
	var t table
	fill(&t)
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, r := range t.rows {
		fmt.Fprintln(w, r)
	}
	if err := w.Flush(); err != nil {
		return fail(ExitFailed, fmt.Errorf("print: %w", err))
	}
	return nil
}
