package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table collects the rows of human-readable output, with tab-separated cells.
type table struct {
	rows []string
}

func (t *table) addRow(cells ...string) {
	t.rows = append(t.rows, strings.Join(cells, "\t"))
}

// printResult prints v as JSON if JSON is selected, otherwise the table that
// addRows fills.
func (inv *invocation) printResult(v any, addRows func(*table)) error {
	if inv.jsonOutput {
		encoder := json.NewEncoder(inv.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(v); err != nil {
			return withExitCode(ExitFailed, fmt.Errorf("write output: %w", err))
		}
		return nil
	}
	var tbl table
	addRows(&tbl)
	writer := tabwriter.NewWriter(inv.stdout, 0, 0, 2, ' ', 0)
	for _, row := range tbl.rows {
		fmt.Fprintln(writer, row)
	}
	if err := writer.Flush(); err != nil {
		return withExitCode(ExitFailed, fmt.Errorf("write output: %w", err))
	}
	return nil
}
