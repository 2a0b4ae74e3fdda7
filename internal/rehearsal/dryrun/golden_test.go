package dryrun

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"testing"

	"quincegap/internal/golden"
	"quincegap/internal/rehearsal/audit"
)

// maxArrivals is the maximum number of arrivals of a scenario that is also run with a second seed.
const maxArrivals = 2000

// The events and the verdict of each script and seed must not change.
func TestGoldenDays(t *testing.T) {
	var dump bytes.Buffer
	scripts := library(t)
	for _, name := range slices.Sorted(maps.Keys(scripts)) {
		for _, seed := range []uint64{0, 7} {
			plan := scripts[name].Plan(seed)
			if seed > 0 && len(plan.Arrivals) > maxArrivals {
				continue
			}
			result := run(t, plan)
			events := sha256.New()
			for _, e := range result.Events {
				if _, err := fmt.Fprintln(events, e); err != nil {
					t.Fatal(err)
				}
			}
			verdict := result.Verdict
			fmt.Fprintf(&dump, "%s %d: %d events %x, verdict %x, sums %x, %d decisions, service %v, %d breaches\n", name, seed, len(result.Events),
				events.Sum(nil), sha256.Sum256(golden.Values(verdict)),
				sha256.Sum256(golden.Values(audit.Totals(result.Plan().AuditRules(), result.Events))),
				result.Decisions, verdict.Service, len(verdict.Breaches))
		}
	}
	golden.Text(t, "days.txt", dump.Bytes())
}
