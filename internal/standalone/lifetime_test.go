package standalone

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// Endpoints, connections and requests come and go; nothing is kept of what has gone.
func TestTablesEndEmpty(t *testing.T) {
	sidecar := startSidecar(t, 1024, ready("s-ffffffff"))
	loop := sidecar.server.loop
	announce := func(rev uint64, all bool, targets ...listedEndpoint) {
		sidecar.announce(endpointList{Rev: rev, All: all, Targets: targets})
		sidecar.waitUntil("the list is applied", func() (done bool) {
			sidecar.onLoop(func() { done = loop.versionFilter.Version == rev })
			return done
		})
	}
	full := loop.bodyBudget.Available()
	rev := uint64(1)
	for i := range 20 {
		x := startEndpoint(t, fmt.Sprintf("s-%08x", i), answerOK)
		rev++
		announce(rev, i%2 == 0, x)
		if status, body := sidecar.call(sidecar.request("once", 9*time.Second)); status != 200 {
			t.Fatalf("got %d %q", status, body)
		}
		if rev++; i%4 < 2 {
			x.State = "Gone"
			announce(rev, false, x)
		} else {
			announce(rev, true)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	sidecar.waitUntil("all tables are empty", func() (done bool) {
		sidecar.onLoop(func() {
			e := loop.endpoints
			open, idle := loop.http1.Counts()
			done = len(e.byID)+len(e.ids)+idle+open+len(loop.requests) == 0 && loop.bodyBudget.Available() == full
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
		t.Errorf("%d ids are kept", len(ids.endedAt))
	}
}
