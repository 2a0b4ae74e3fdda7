package tool

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"quincegap/internal/network/admin"
	"quincegap/internal/product"
)

// maxDumpBytes bounds a dump of members.
const maxDumpBytes = 64 << 20

// readyState is the state of an endpoint that gets requests.
const readyState = "ready"

// membersCommand declares the command members.
func (c *command) membersCommand() *cobra.Command {
	var asJSON, unused bool
	cmd := &cobra.Command{
		Use: "members ADDRESS|FILE", Short: "Show a running sidecar's endpoints, who said so, and why one is not used", Args: cobra.ExactArgs(1),
		Long: "members asks the admin listener of a running sidecar (unix:PATH or host:port, admin.admin_listen in its\n" +
			"file), or reads a dump that members --json wrote.",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := readMembers(cmd.Context(), args[0])
			if err != nil {
				return runError{fmt.Errorf("%s: %w", args[0], err)}
			}
			if asJSON {
				return c.printJSON(m)
			}
			return c.printMembers(&m, unused)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object for programs, or for a dump")
	cmd.Flags().BoolVar(&unused, "unused", false, "only those that get no work")
	return cmd
}

// printMembers prints a line for each endpoint; with unused only for those that get no requests.
func (c *command) printMembers(members *admin.Members, unused bool) error {
	ready := 0
	lines := newTable(c.out)
	lines.println("ENDPOINT\tADDRESS\tSTATE\tWEIGHT\tFOR\tPLATFORM\tCONSUL\tWHY")
	for _, r := range members.Endpoints {
		isReady := r.State == readyState
		if isReady {
			ready++
		}
		if isReady && unused {
			continue
		}
		lines.printf("%s\t%s\t%s\t%g\t%s\t%s\t%s\t%s\n",
			r.UID, r.Address, r.State, r.Weight, formatAge(r.AgoMS), orDash(r.Platform), orDash(r.Consul), r.Why)
	}
	if err := lines.Flush(); err != nil {
		return runError{err}
	}
	c.out.printf("%s: %d of %d endpoints ready; the source is %s\n", members.Name, ready, len(members.Endpoints), members.Source)
	return nil
}

// formatAge formats a time in milliseconds, rounded to tenths of a second.
func formatAge(milliseconds int64) string {
	return (time.Duration(milliseconds) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// readMembers reads the endpoints from a dump if the source is a file, else from the sidecar at that address.
func readMembers(ctx context.Context, source string) (m admin.Members, err error) {
	if info, err := os.Stat(source); err == nil && info.Mode().IsRegular() {
		text, err := product.Read(source, maxDumpBytes)
		if err != nil {
			return m, err
		}
		return m, json.Unmarshal(text, &m)
	}
	if !strings.HasPrefix(source, "unix:") && !strings.Contains(source, ":") {
		return m, errors.New("neither a regular file nor an address (unix:PATH or host:port)")
	}
	return admin.AskMembers(ctx, source)
}

// orDash returns a text, or a dash if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
