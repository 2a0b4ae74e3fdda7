package meshctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// table is the output of a command for people.
type table struct {
	columns []string
	rows    [][]string
}

// add appends a row.
func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// printTable prints the table for people or, with --json, the value as JSON for programs.
func (c *Client) printTable(t *table, value any) error {
	if c.JSON {
		encoder := json.NewEncoder(c.Output)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(value))
	}
	const padding = 2
	writer := tabwriter.NewWriter(c.Output, 0, 4, padding, ' ', 0)
	for _, row := range append([][]string{t.columns}, t.rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(writer.Flush())
}
