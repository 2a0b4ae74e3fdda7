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

// maxDumpBytes is the largest size of a members dump that is read.
const maxDumpBytes = 64 << 20

// readyState is the state of an endpoint that is sent requests.
const readyState = "ready"

// membersCommand returns the command members.
func (c *cli) membersCommand() *cobra.Command {
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

// printMembers prints a line for each endpoint, or with unused only for those that are not ready and so get no requests.
func (c *cli) printMembers(members *admin.Members, unused bool) error {
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

// formatAge formats a duration in milliseconds, rounded to tenths of a second.
func formatAge(milliseconds int64) string {
	return (time.Duration(milliseconds) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// readMembers reads the endpoints from a dump if the source is a regular file, else from the admin listener at that address. It returns an
// error if the source is neither, or can't be read.
func readMembers(ctx context.Context, source string) (members admin.Members, err error) {
	if info, err := os.Stat(source); err == nil && info.Mode().IsRegular() {
		text, err := product.Read(source, maxDumpBytes)
		if err != nil {
			return members, err
		}
		return members, json.Unmarshal(text, &members)
	}
	if !strings.HasPrefix(source, "unix:") && !strings.Contains(source, ":") {
		return members, errors.New("neither a regular file nor an address (unix:PATH or host:port)")
	}
	return admin.AskMembers(ctx, source)
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
