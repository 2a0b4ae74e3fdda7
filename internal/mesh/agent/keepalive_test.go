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

// callKeepalive makes an endpoint's call, keepalive or deregister, to a process, and returns the HTTP status of the response.
func callKeepalive(t *testing.T, a *Agent, id, call, state string) int {
	t.Helper()
	body := fmt.Sprintf(`{"serviceName":"service-0","address":"127.7.9.9:8080","zone":"zone-0","slotCount":4,"state":%q,`+
		`"callSequence":7}`, state)
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/endpoints/"+id+"/"+call, strings.NewReader(body))
	w := httptest.NewRecorder()
	a.KeepaliveHandler(nil).ServeHTTP(w, r)
	return w.Code
}

// hasRecord reports whether a process has a record of an endpoint with the given state.
func hasRecord(a *Agent, id string, state discovery.State) bool {
	for _, e := range a.snapshot().endpoints {
		if e.ID == id {
			return e.State == state
		}
	}
	return false
}

// An endpoint that can't reach its own sidecar reports draining or deregistration to a core process. The call is acknowledged only if a
// registry owner in every zone has the record. A core process that is partitioned from a zone, or doesn't know the endpoint, responds with
// status 503, and the endpoint calls another process.
func TestALeavingEndpointIsAcknowledgedOnlyIfItIsKnown(t *testing.T) {
	c := qt.New(t)
	mesh := newIdleMesh(t, idleMeshSize{core: 1, zones: 2, services: 1})
	core := mesh.start(0)
	c.Check(callKeepalive(t, core, "i-1", "keepalive", "in_service"), qt.Equals, 200)
	c.Check(callKeepalive(t, core, "i-1", "keepalive", "draining"), qt.Equals, 503, qt.Commentf("no other process has the record"))
	c.Check(callKeepalive(t, core, "i-2", "deregister", ""), qt.Equals, 503, qt.Commentf("no process has a record of the endpoint"))

	first, second := mesh.start(1), mesh.start(2)
	eventually(t, "the core process knows all members", func() bool { return len(core.Members()) == 3 })
	c.Check(callKeepalive(t, core, "i-1", "keepalive", "draining"), qt.Equals, 200)
	c.Check(hasRecord(first, "i-1", discovery.Draining), qt.IsTrue, qt.Commentf("record at the only registry owner in its zone"))
	c.Check(callKeepalive(t, core, "i-1", "deregister", ""), qt.Equals, 200)
	c.Check(hasRecord(first, "i-1", discovery.Deregistered), qt.IsTrue)

	mesh.stop(1) // the only registry owner in its zone is now unreachable
	c.Check(callKeepalive(t, core, "i-3", "keepalive", "draining"), qt.Equals, 503)
	c.Check(hasRecord(second, "i-3", discovery.Draining), qt.IsTrue)
}

// A record counts as acknowledged elsewhere only after an owner on another machine has acknowledged its newest revision. Otherwise the
// update could be lost with the process that received it.
func TestALeavingEndpointsOwnSidecarWaitsForAnOwner(t *testing.T) {
	c := qt.New(t)
	publisher := discovery.NewPublisher(discovery.Config{})
	endpoint := discovery.Endpoint{ID: "x", Service: "s", AppAddress: "a:1", SidecarIncarnation: 1}
	c.Check(publisher.AcknowledgedElsewhere("x", "self"), qt.IsTrue, qt.Commentf("endpoint x is not published"))
	publisher.SetOwners([]string{"self"})
	publisher.Set(0, endpoint)
	c.Check(publisher.AcknowledgedElsewhere("x", "self"), qt.IsTrue, qt.Commentf("this process is the only owner"))
	publisher.SetOwners([]string{"self", "one", "two"})
	endpoint.State = discovery.Draining
	publisher.Set(time.Second, endpoint)
	revision := uint64(0)
	for _, announcement := range publisher.Tick(time.Second) {
		revision = announcement.Endpoint.Revision
	}
	publisher.Acknowledged("self", "x", revision)
	c.Check(publisher.AcknowledgedElsewhere("x", "self"), qt.IsFalse)
	publisher.Acknowledged("two", "x", revision)
	c.Check(publisher.AcknowledgedElsewhere("x", "self"), qt.IsTrue)
	publisher.End(2*time.Second, "x", discovery.Deregistered)
	c.Check(publisher.AcknowledgedElsewhere("x", "self"), qt.IsFalse, qt.Commentf("no other owner has acknowledged the record of its end"))
}
