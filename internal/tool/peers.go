package tool

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"quincegap/internal/modules/peers"
	"quincegap/internal/network/admin"
)

// peersCommand returns the command peers.
func (c *cli) peersCommand() *cobra.Command {
	var asJSON, all bool
	cmd := &cobra.Command{
		Use: "peers ADDRESS", Short: "Show the other sidecars as a running one sees them, and how far it can be relied on", Args: cobra.ExactArgs(1),
		Long: "peers asks the admin listener of a running sidecar (unix:PATH or host:port, admin.admin_listen in its\n" +
			"file) for its view of the others (docs/operate/peers.md). With --all it has that one ask the others for theirs,\n" +
			"shows them side by side, and ends with 1 where they differ.",
		RunE: func(cmd *cobra.Command, args []string) error {
			fleetReport, err := admin.AskPeers(cmd.Context(), args[0], all)
			if err != nil {
				return runError{fmt.Errorf("%s: %w", args[0], err)}
			}
			if asJSON {
				return c.printJSON(fleetReport)
			}
			if all {
				return c.printPeerViews(&fleetReport)
			}
			return c.printPeers(&fleetReport.Own)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object for programs")
	cmd.Flags().BoolVar(&all, "all", false, "the views of all, and where they differ")
	return cmd
}

// printPeers prints one sidecar's view of its peers: a line for each member, then a summary.
func (c *cli) printPeers(view *peers.Report) error {
	rows := newTable(c.out)
	rows.println("NAME\tSTATE\tFOR\tCOUNTS\tREACHED\tADDRESS\tZONE\tVERSION\tPROCESS")
	for _, m := range view.Members {
		rows.printf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.State, formatAge(m.StateAgeMS),
			yesNo(m.InGroup), yesNo(m.Reachable), orDash(m.Address), orDash(m.Zone), orDash(m.Version), m.Process)
	}
	if err := rows.Flush(); err != nil {
		return runError{err}
	}
	c.out.printf("%s: %s; %d of the %d settled last are in reach\n", view.Name, view.Confidence, view.Reachable, view.GroupSize)
	switch {
	case view.Instances == 0:
		c.out.println("it goes by the numbers of its file until the view has settled once")
	case !view.OwnsName:
		c.out.printf("it has no place of its own among %d: it does not serve, comes and goes, or another process has its name\n", view.Instances-1)
	default:
		c.out.printf("it is number %d of %d, and divides limits by %d\n", view.Ordinal, view.Instances, view.MaxInstances)
	}
	if len(view.DuplicateNames) > 0 {
		c.out.printf("several processes under one name: %s\n", strings.Join(view.DuplicateNames, ", "))
	}
	for _, reason := range slices.Sorted(maps.Keys(view.Rejected)) {
		c.out.printf("refused, %s: %d\n", reason, view.Rejected[reason])
	}
	return nil
}

// printPeerViews prints a line for the view of each sidecar, then the differences between them. It returns errFindings if the views differ.
func (c *cli) printPeerViews(fleetReport *peers.FleetReport) error {
	rows := newTable(c.out)
	rows.println("NAME\tCONFIDENCE\tINSTANCES\tORDINAL\tSHARING\tREACHED\tDIGEST")
	for _, r := range append([]peers.Report{fleetReport.Own}, fleetReport.Others...) {
		rows.printf("%s\t%s\t%d\t%d\t%d\t%d of %d\t%s\n",
			r.Name, r.Confidence, r.Instances, r.Ordinal, r.MaxInstances, r.Reachable, r.GroupSize, r.Digest)
	}
	if err := rows.Flush(); err != nil {
		return runError{err}
	}
	lines := fleetReport.Differences()
	if len(lines) == 0 {
		c.out.printf("all %d agree\n", 1+len(fleetReport.Others))
		return nil
	}
	c.out.printf("beside %s:\n", fleetReport.Own.Name)
	for _, l := range lines {
		c.out.println("  " + l)
	}
	return errFindings
}

// yesNo formats a boolean as yes or no.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
