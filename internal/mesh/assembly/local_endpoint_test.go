package assembly

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// newTestProcess is a process without addresses that it listens on.
func newTestProcess(t *testing.T, own *settings.Settings) *process {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &process{settings: own, log: log}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	hello := transport.Hello{Incarnation: 2, Address: own.InternalAddress(), Zone: own.Zone}
	p.hub = transport.NewHub(hello, time.Now(), 1<<20, log)
	t.Cleanup(p.close)
	return p
}

// startSidecar is a sidecar that is alone, and not on any address.
func startSidecar(t *testing.T) *sidecar {
	t.Helper()
	return newSidecar(newTestProcess(t, &settings.Settings{
		Name: "n", IP: "127.9.1.1", Zone: "z", InternalPorts: [2]int{7401, 7401}, ApplicationAddress: "127.9.1.1:8103", Service: "s",
	}))
}

// A sidecar acknowledged that its endpoint is draining, lost power at once, and is back. Others remember the endpoint as it was before,
// or as it is; a keepalive may come late. It admits requests to the endpoint only after a keepalive that says so, and not after anyone
// has said that the endpoint is draining or has deregistered.
func TestRestartedSidecarAdmitsNothingToADrainingEndpoint(t *testing.T) {
	c := qt.New(t)
	record := func(state discovery.State) discovery.Endpoint {
		return discovery.Endpoint{
			ID: "x", Service: "s", AppAddress: "127.9.1.1:8103", SidecarAddress: "127.9.1.1:7401", SidecarIncarnation: 1, State: state, Slots: 4,
			Sequence: 5, Revision: 3, LeaseRemaining: 5 * time.Second,
		}
	}
	state := func(a *sidecar) admission.State {
		_, s := a.inbound.Endpoint()
		return s
	}

	a := startSidecar(t)
	a.agent.ApplyRecord(record(discovery.Serving))
	c.Check(state(a), qt.Equals, admission.Unknown, qt.Commentf("others remember that it serves"))
	a.agent.ApplyRecord(record(discovery.Draining))
	c.Check(state(a), qt.Equals, admission.Draining)
	late := record(discovery.Serving)
	c.Assert(a.local.Keepalive(late), qt.IsTrue)
	c.Check(state(a), qt.Equals, admission.Draining, qt.Commentf("a keepalive that comes late"))

	a = startSidecar(t)
	a.agent.ApplyRecord(record(discovery.Deregistered))
	c.Assert(a.local.Keepalive(late), qt.IsTrue)
	c.Check(state(a), qt.Equals, admission.Unknown, qt.Commentf("a keepalive of an ID that has ended"))

	a = startSidecar(t)
	c.Assert(a.local.Keepalive(discovery.Endpoint{ID: "x", State: discovery.Deregistered}), qt.IsTrue, qt.Commentf("it deregisters at a new process"))
	c.Assert(a.local.Keepalive(late), qt.IsTrue)
	c.Check(state(a), qt.Equals, admission.Unknown)

	a = startSidecar(t)
	own := record(discovery.Serving)
	c.Assert(a.local.Keepalive(own), qt.IsTrue)
	c.Check(state(a), qt.Equals, admission.Serving, qt.Commentf("its own keepalive"))
	a.agent.ApplyRecord(record(discovery.Deregistered))
	c.Check(state(a), qt.Equals, admission.Terminated, qt.Commentf("it has deregistered at another process"))
}

// A sidecar that is a registry owner of its own endpoint's service remembers an ID that has ended at that endpoint's address when the next
// one starts there. What it remembers comes back to it while it publishes the new ID: it goes on answering the endpoint and the platform.
func TestSidecarThatOwnsItsOwnServiceAcceptsTheNextEndpointID(t *testing.T) {
	c := qt.New(t)
	a := startSidecar(t)
	a.run(a.agent.Run)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for sequence, e := range []discovery.Endpoint{
			{ID: "first"},
			{ID: "first", State: discovery.Draining},
			{ID: "first", State: discovery.Deregistered},
			{ID: "second"},
			{ID: "second", State: discovery.Draining},
			{ID: "third"},
			{ID: "third"},
		} {
			e.Service = "s"
			e.AppAddress = a.settings.ApplicationAddress
			e.Slots = 4
			e.Sequence = uint64(sequence)
			c.Check(a.local.Keepalive(e), qt.IsTrue)
		}
		a.serveReadiness(httptest.NewRecorder(), nil)
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Fatal("a keepalive has no answer")
	}
	current, state := a.inbound.Endpoint()
	c.Check(current.ID, qt.Equals, "third")
	c.Check(state, qt.Equals, admission.Serving)
}

// What others remember of an earlier ID at the endpoint's address never replaces the ID that the endpoint itself has sent.
func TestAnEarlierEndpointIDDoesNotReplaceTheCurrentOne(t *testing.T) {
	c := qt.New(t)
	a := startSidecar(t)
	own := discovery.Endpoint{ID: "now", Service: "s", AppAddress: a.settings.ApplicationAddress, Slots: 4, Sequence: 1}
	c.Assert(a.local.Keepalive(own), qt.IsTrue)
	for _, state := range []discovery.State{discovery.Draining, discovery.Deregistered} {
		a.agent.ApplyRecord(discovery.Endpoint{
			ID: "before", Service: "s", AppAddress: a.settings.ApplicationAddress, SidecarAddress: "127.9.1.1:7401", SidecarIncarnation: 1, State: state, Slots: 4,
			Sequence: 50, Revision: 3, LeaseRemaining: 5 * time.Second,
		})
		current, is := a.inbound.Endpoint()
		c.Check(current.ID, qt.Equals, "now", qt.Commentf("%v", state))
		c.Check(is, qt.Equals, admission.Serving, qt.Commentf("%v", state))
	}
	own.Sequence = 2
	c.Assert(a.local.Keepalive(own), qt.IsTrue)
	current, _ := a.inbound.Endpoint()
	c.Check(current.ID, qt.Equals, "now")
}
