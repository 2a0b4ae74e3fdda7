package standalone

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// After endpoints, connections and requests have come and gone, no state of them remains.
func TestTablesEndEmpty(t *testing.T) {
	sidecar := startSidecar(t, 1024, readyEndpoint("s-ffffffff"))
	loop := sidecar.server.loop
	announce := func(rev uint64, all bool, targets ...listedEndpoint) {
		sidecar.announce(endpointList{Rev: rev, All: all, Targets: targets})
		sidecar.waitUntil("the list is applied", func() (done bool) {
			sidecar.onLoop(func() { done = loop.versionFilter.Version == rev })
			return done
		})
	}
	fullBudget := loop.bodyBudget.Available()
	rev := uint64(1)
	for i := range 20 {
		added := startEndpoint(t, fmt.Sprintf("s-%08x", i), answerOK)
		rev++
		announce(rev, i%2 == 0, added)
		if status, body := sidecar.call(sidecar.request("once", 9*time.Second)); status != 200 {
			t.Fatalf("request %d: got status %d, body %q; want 200", i, status, body)
		}
		if rev++; i%4 < 2 {
			added.State = "Gone"
			announce(rev, false, added)
		} else {
			announce(rev, true)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	sidecar.waitUntil("all tables are empty", func() (done bool) {
		sidecar.onLoop(func() {
			e := loop.endpoints
			open, idle := loop.http1.Counts()
			done = len(e.byID)+len(e.ids)+idle+open+len(loop.requests) == 0 && loop.bodyBudget.Available() == fullBudget
		})
		open, _, staged, _ := sidecar.http1Front().Counts()
		return done && staged == 0 && open == 0
	})
	var ids recentIDs
	for i := range 3 * maxRecentIDs {
		ids.add(balancer.RequestID(fmt.Sprint(i)), 0)
	}
	ids.add("last", 2*recentIDRetention)
	if len(ids.endedAt) != 1 || len(ids.ids) != 1 || ids.has("1", 2*recentIDRetention) || !ids.has("last", 2*recentIDRetention) {
		t.Errorf("recent ids: got %d in the map and %d in the list, want only the last one", len(ids.endedAt), len(ids.ids))
	}
}
