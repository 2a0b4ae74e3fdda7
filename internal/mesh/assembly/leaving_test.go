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

// startSidecar is a sidecar that is alone, and not on any address.
func startSidecar(t *testing.T) *sidecar {
	log := logrus.New()
	log.SetOutput(io.Discard)
	own := &settings.Settings{Name: "n", IP: "127.9.1.1", Zone: "z", InternalPorts: [2]int{7401, 7401}, ApplicationAddress: "127.9.1.1:8103", Service: "s"}
	hub := transport.NewHub(transport.Hello{Incarnation: 2, Address: own.InternalAddress(), Zone: own.Zone}, time.Now(), 1<<20, log)
	t.Cleanup(hub.Close)
	return newSidecar(&process{settings: own, hub: hub, log: log})
}

// A sidecar acknowledged that its endpoint leaves, lost power at once, and is back. Others remember the endpoint as it was before, or
// as it is; a keepalive may come late. It lets nobody on to the endpoint but by that one's own word that it serves, and not after
// anybody's word that it leaves.
func TestRestartedSidecarAdmitsNothingToADrainingEndpoint(t *testing.T) {
	c := qt.New(t)
	start := func() *sidecar { return startSidecar(t) }
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
	told := func(a *sidecar, e discovery.Endpoint) { a.agent.ApplyRecord(e) }

	a := start()
	told(a, record(discovery.Serving))
	c.Check(state(a), qt.Equals, admission.Unknown, qt.Commentf("others remember that it serves"))
	told(a, record(discovery.Draining))
	c.Check(state(a), qt.Equals, admission.Draining)
	late := record(discovery.Serving)
	c.Assert(a.Keepalive(late), qt.IsTrue)
	c.Check(state(a), qt.Equals, admission.Draining, qt.Commentf("a keepalive that comes late"))

	a = start()
	told(a, record(discovery.Deregistered))
	c.Assert(a.Keepalive(late), qt.IsTrue)
	c.Check(state(a), qt.Equals, admission.Unknown, qt.Commentf("a keepalive of a life that is over"))

	a = start()
	c.Assert(a.Keepalive(discovery.Endpoint{ID: "x", State: discovery.Deregistered}), qt.IsTrue, qt.Commentf("it deregisters at a new process"))
	c.Assert(a.Keepalive(late), qt.IsTrue)
	c.Check(state(a), qt.Equals, admission.Unknown)

	a = start()
	own := record(discovery.Serving)
	c.Assert(a.Keepalive(own), qt.IsTrue)
	c.Check(state(a), qt.Equals, admission.Serving, qt.Commentf("its own word"))
	told(a, record(discovery.Deregistered))
	c.Check(state(a), qt.Equals, admission.Terminated, qt.Commentf("it has told another process that it leaves"))
}

// A sidecar that is a home of its own endpoint's service remembers a life that has ended at that endpoint's address when the next life
// begins there. What it remembers comes back to it while it publishes the new life: it goes on answering the endpoint and the platform.
func TestSidecarThatOwnsItsOwnServiceAcceptsTheNextEndpointID(t *testing.T) {
	c := qt.New(t)
	a := startSidecar(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.agent.Run(ctx)
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
			e.Service, e.AppAddress, e.Slots, e.Sequence = "s", a.settings.ApplicationAddress, 4, uint64(sequence)
			c.Check(a.Keepalive(e), qt.IsTrue)
		}
		a.serveReadiness(httptest.NewRecorder(), nil)
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Fatal("a keepalive has no answer")
	}
	life, state := a.inbound.Endpoint()
	c.Check(life.ID, qt.Equals, "third")
	c.Check(state, qt.Equals, admission.Serving)
}

// What others remember of an earlier life at the endpoint's address never takes the place of the life that the endpoint has told.
func TestAnEarlierEndpointIDDoesNotReplaceTheCurrentOne(t *testing.T) {
	c := qt.New(t)
	a := startSidecar(t)
	own := discovery.Endpoint{ID: "now", Service: "s", AppAddress: a.settings.ApplicationAddress, Slots: 4, Sequence: 1}
	c.Assert(a.Keepalive(own), qt.IsTrue)
	for _, state := range []discovery.State{discovery.Draining, discovery.Deregistered} {
		a.agent.ApplyRecord(discovery.Endpoint{
			ID: "before", Service: "s", AppAddress: a.settings.ApplicationAddress, SidecarAddress: "127.9.1.1:7401", SidecarIncarnation: 1, State: state, Slots: 4,
			Sequence: 50, Revision: 3, LeaseRemaining: 5 * time.Second,
		})
		life, is := a.inbound.Endpoint()
		c.Check(life.ID, qt.Equals, "now", qt.Commentf("%v", state))
		c.Check(is, qt.Equals, admission.Serving, qt.Commentf("%v", state))
	}
	own.Sequence = 2
	c.Assert(a.Keepalive(own), qt.IsTrue)
	life, _ := a.inbound.Endpoint()
	c.Check(life.ID, qt.Equals, "now")
}
