package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/discovery"
)

// callKeepalive sends a call of an endpoint to a process, and returns the status of its answer.
func callKeepalive(a *Agent, id, what, state string) int {
	body := fmt.Sprintf(`{"serviceName":"service-0","address":"127.7.9.9:8080","zone":"zone-0","slotCount":4,"state":%q,"callSequence":7}`, state)
	w := httptest.NewRecorder()
	a.KeepaliveHandler(nil).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/endpoints/"+id+"/"+what, strings.NewReader(body)))
	return w.Code
}

// knows tells whether a process knows an endpoint in a state.
func knows(a *Agent, id string, state discovery.State) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.registry.All(a.config.Hub.Now()) {
		if e.ID == id {
			return e.State == state
		}
	}
	return false
}

// An endpoint whose own sidecar can't be reached tells a core process that it leaves. That is acknowledged only if homes in every zone
// know of it: a core process that is cut off, or does not know the endpoint, answers 503, and the endpoint calls another.
func TestALeavingEndpointIsAcknowledgedOnlyIfItIsKnown(t *testing.T) {
	c := qt.New(t)
	h := &idleMesh{}
	defer func() {
		for _, f := range h.closers {
			f()
		}
	}()
	seeds := []string{"127.7.0.1:7302"}
	core := h.start(0, 3, 1, 2, 1, seeds)
	c.Check(callKeepalive(core, "i-1", "keepalive", "in_service"), qt.Equals, 200)
	c.Check(callKeepalive(core, "i-1", "keepalive", "draining"), qt.Equals, 503, qt.Commentf("nobody else knows"))
	c.Check(callKeepalive(core, "i-2", "deregister", ""), qt.Equals, 503, qt.Commentf("nobody knows the endpoint"))

	first, second := h.start(1, 3, 1, 2, 1, seeds), h.start(2, 3, 1, 2, 1, seeds)
	for end := time.Now().Add(20 * time.Second); len(core.Members()) < 3; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	c.Check(callKeepalive(core, "i-1", "keepalive", "draining"), qt.Equals, 200)
	c.Check(knows(first, "i-1", discovery.Draining), qt.IsTrue, qt.Commentf("the only home in its zone"))
	c.Check(callKeepalive(core, "i-1", "deregister", ""), qt.Equals, 200)
	c.Check(knows(first, "i-1", discovery.Deregistered), qt.IsTrue)

	h.closers[1]() // the zone of the first is cut off
	c.Check(callKeepalive(core, "i-3", "keepalive", "draining"), qt.Equals, 503)
	c.Check(knows(second, "i-3", discovery.Draining), qt.IsTrue)
}

// What an endpoint is told is taken is known to another machine first: the news outlives the process that took it.
func TestALeavingEndpointsOwnSidecarWaitsForAnOwner(t *testing.T) {
	c := qt.New(t)
	p := discovery.NewPublisher(discovery.Config{})
	e := discovery.Endpoint{ID: "x", Service: "s", AppAddress: "a:1", SidecarIncarnation: 1}
	c.Check(p.AcknowledgedElsewhere("x", "self"), qt.IsTrue, qt.Commentf("it is not published"))
	p.SetOwners(0, []string{"self"})
	p.Set(0, e)
	c.Check(p.AcknowledgedElsewhere("x", "self"), qt.IsTrue, qt.Commentf("there is no other home"))
	p.SetOwners(0, []string{"self", "one", "two"})
	e.State = discovery.Draining
	p.Set(time.Second, e)
	edition := uint64(0)
	for _, s := range p.Tick(time.Second) {
		edition = s.Endpoint.Revision
	}
	p.Acknowledged(time.Second, "self", "x", edition)
	c.Check(p.AcknowledgedElsewhere("x", "self"), qt.IsFalse)
	p.Acknowledged(time.Second, "two", "x", edition)
	c.Check(p.AcknowledgedElsewhere("x", "self"), qt.IsTrue)
	p.End(2*time.Second, "x", discovery.Deregistered)
	c.Check(p.AcknowledgedElsewhere("x", "self"), qt.IsFalse, qt.Commentf("its end is newer"))
}
