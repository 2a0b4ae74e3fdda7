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

// newTestProcess returns a process with the given settings that listens on no address.
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

// newTestSidecar returns a sidecar that has no peers, and listens on no address.
func newTestSidecar(t *testing.T) *sidecar {
	t.Helper()
	return newSidecar(newTestProcess(t, &settings.Settings{
		Name:               "n",
		IP:                 "127.9.1.1",
		Zone:               "z",
		InternalPorts:      [2]int{7401, 7401},
		ApplicationAddress: "127.9.1.1:8103",
		Service:            "s",
	}))
}

// A sidecar has acknowledged that its endpoint is draining, has lost power right afterwards, and has restarted. Other processes have either
// an older record or the newest one, and a keepalive may arrive late. The sidecar admits requests to the endpoint only after a keepalive
// with the state serving, and no longer after a record with the state draining or deregistered.
func TestRestartedSidecarAdmitsNothingToADrainingEndpoint(t *testing.T) {
	c := qt.New(t)
	record := func(state discovery.State) discovery.Endpoint {
		return discovery.Endpoint{
			ID:                 "x",
			Service:            "s",
			AppAddress:         "127.9.1.1:8103",
			SidecarAddress:     "127.9.1.1:7401",
			SidecarIncarnation: 1,
			State:              state,
			Slots:              4,
			Sequence:           5,
			Revision:           3,
			LeaseRemaining:     5 * time.Second,
		}
	}
	state := func(restarted *sidecar) admission.State {
		_, s := restarted.inbound.Endpoint()
		return s
	}

	restarted := newTestSidecar(t)
	restarted.agent.ApplyRecord(record(discovery.Serving))
	c.Check(state(restarted), qt.Equals, admission.Unknown, qt.Commentf("after another process's record with the state serving"))
	restarted.agent.ApplyRecord(record(discovery.Draining))
	c.Check(state(restarted), qt.Equals, admission.Draining)
	late := record(discovery.Serving)
	c.Assert(restarted.local.HandleReport(late), qt.IsTrue)
	c.Check(state(restarted), qt.Equals, admission.Draining, qt.Commentf("after a late keepalive"))

	restarted = newTestSidecar(t)
	restarted.agent.ApplyRecord(record(discovery.Deregistered))
	c.Assert(restarted.local.HandleReport(late), qt.IsTrue)
	c.Check(state(restarted), qt.Equals, admission.Unknown, qt.Commentf("after a keepalive of an ID that has ended"))

	restarted = newTestSidecar(t)
	c.Assert(restarted.local.HandleReport(discovery.Endpoint{ID: "x", State: discovery.Deregistered}), qt.IsTrue,
		qt.Commentf("a deregistration that a restarted sidecar receives"))
	c.Assert(restarted.local.HandleReport(late), qt.IsTrue)
	c.Check(state(restarted), qt.Equals, admission.Unknown)

	restarted = newTestSidecar(t)
	own := record(discovery.Serving)
	c.Assert(restarted.local.HandleReport(own), qt.IsTrue)
	c.Check(state(restarted), qt.Equals, admission.Serving, qt.Commentf("after a keepalive of the endpoint"))
	restarted.agent.ApplyRecord(record(discovery.Deregistered))
	c.Check(state(restarted), qt.Equals, admission.Terminated, qt.Commentf("after a deregistration at another process"))
}

// A sidecar that is a registry owner of its own endpoint's service has records of earlier IDs at the endpoint's address. When it publishes
// a new ID, its agent reports these records to the sidecar itself (OnEndpointLeaving). This must not block the sidecar: it continues to
// answer the endpoint and the platform.
func TestSidecarThatOwnsItsOwnServiceAcceptsTheNextEndpointID(t *testing.T) {
	c := qt.New(t)
	sidecar := newTestSidecar(t)
	sidecar.run(sidecar.agent.Run)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for sequence, keepalive := range []discovery.Endpoint{
			{ID: "first"},
			{ID: "first", State: discovery.Draining},
			{ID: "first", State: discovery.Deregistered},
			{ID: "second"},
			{ID: "second", State: discovery.Draining},
			{ID: "third"},
			{ID: "third"},
		} {
			keepalive.Service = "s"
			keepalive.AppAddress = sidecar.settings.ApplicationAddress
			keepalive.Slots = 4
			keepalive.Sequence = uint64(sequence)
			c.Check(sidecar.local.HandleReport(keepalive), qt.IsTrue)
		}
		sidecar.serveReadiness(httptest.NewRecorder(), nil)
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Fatal("a keepalive or the readiness probe was not answered within 5 s")
	}
	current, state := sidecar.inbound.Endpoint()
	c.Check(current.ID, qt.Equals, "third")
	c.Check(state, qt.Equals, admission.Serving)
}

// A record of an earlier ID at the endpoint's address never replaces the ID in the endpoint's own keepalives.
func TestAnEarlierEndpointIDDoesNotReplaceTheCurrentOne(t *testing.T) {
	c := qt.New(t)
	sidecar := newTestSidecar(t)
	own := discovery.Endpoint{
		ID:         "now",
		Service:    "s",
		AppAddress: sidecar.settings.ApplicationAddress,
		Slots:      4,
		Sequence:   1,
	}
	c.Assert(sidecar.local.HandleReport(own), qt.IsTrue)
	for _, state := range []discovery.State{discovery.Draining, discovery.Deregistered} {
		sidecar.agent.ApplyRecord(discovery.Endpoint{
			ID:                 "before",
			Service:            "s",
			AppAddress:         sidecar.settings.ApplicationAddress,
			SidecarAddress:     "127.9.1.1:7401",
			SidecarIncarnation: 1,
			State:              state,
			Slots:              4,
			Sequence:           50,
			Revision:           3,
			LeaseRemaining:     5 * time.Second,
		})
		current, admitted := sidecar.inbound.Endpoint()
		c.Check(current.ID, qt.Equals, "now", qt.Commentf("current ID after a record with state %v", state))
		c.Check(admitted, qt.Equals, admission.Serving, qt.Commentf("admission state after a record with state %v", state))
	}
	own.Sequence = 2
	c.Assert(sidecar.local.HandleReport(own), qt.IsTrue)
	current, _ := sidecar.inbound.Endpoint()
	c.Check(current.ID, qt.Equals, "now")
}
