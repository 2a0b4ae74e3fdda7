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
	rg := start(t, 1024, ready("s-ffffffff"))
	l := rg.server.loop
	tell := func(rev uint64, all bool, targets ...listedEndpoint) {
		rg.announce(endpointList{Rev: rev, All: all, Targets: targets})
		rg.until("the list is taken in", func() (done bool) {
			rg.inLoop(func() { done = l.versionFilter.Version == rev })
			return done
		})
	}
	full := l.bodyBudget.Available()
	rev := uint64(1)
	for i := range 20 {
		x := startEndpoint(t, fmt.Sprintf("s-%08x", i), answerOK)
		rev++
		tell(rev, i%2 == 0, x)
		if status, body := rg.ask(rg.request("once", 9*time.Second)); status != 200 {
			t.Fatalf("got %d %q", status, body)
		}
		if rev++; i%4 < 2 {
			x.State = "Gone"
			tell(rev, false, x)
		} else {
			tell(rev, true)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	rg.until("all is forgotten", func() (done bool) {
		rg.inLoop(func() {
			e := l.endpoints
			open, idle := l.http1.Counts()
			done = len(e.byID)+len(e.ids)+idle+open+len(l.requests) == 0 && l.bodyBudget.Available() == full
		})
		open, _, staged, _ := rg.front().Counts()
		return done && staged == 0 && open == 0
	})
	var past recentIDs
	for i := range 3 * maxRecentIDs {
		past.add(balancer.RequestID(fmt.Sprint(i)), 0)
	}
	past.add("last", 2*recentIDRetention)
	if len(past.endedAt) != 1 || len(past.ids) != 1 || past.has("1", 2*recentIDRetention) || !past.has("last", 2*recentIDRetention) {
		t.Errorf("%d ids are kept", len(past.endedAt))
	}
}
