package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/lease"
	"quincegap/internal/mesh/control/ratelimit"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/events"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport/codec"
)

// goldenEndpoint is an endpoint with a value in each field.
func goldenEndpoint() discovery.Endpoint {
	return discovery.Endpoint{
		ID: "ep-1", Service: "orders", SidecarAddress: "10.1.0.40:7640", SidecarIncarnation: 0x0102030405060708, AppAddress: "10.1.0.40:8103",
		Zone: "north-a", Slots: 12, State: discovery.Draining, WarmupRemaining: 1500 * time.Millisecond, Sequence: 77, Revision: 5, LeaseRemaining: 9 * time.Second,
	}
}

// testGoldenMessage checks that full, which has a value in each field, is written as the file has it, and that the file is read as full.
func testGoldenMessage[T any, P interface {
	*T
	codec.Message
}](t *testing.T, name string, full T) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		golden.Hex(t, name+".hex", codec.MarshalAppend(nil, P(&full)))
		var read T
		qt.Assert(t, codec.Unmarshal(golden.Read(t, name+".hex"), P(&read)), qt.IsNil)
		qt.Assert(t, read, qt.DeepEquals, full)
	})
}

func TestGoldenMessages(t *testing.T) {
	second := goldenEndpoint()
	second.ID, second.State = "ep-2", discovery.Deregistered
	testGoldenMessage(t, "published", publishRequest{Endpoint: goldenEndpoint(), Accepted: true})
	testGoldenMessage(t, "subscription", subscribeRequest{Subscriber: "10.1.0.41:7640", Service: "orders", Since: 300, OwnerIncarnation: 0xfffefdfcfbfaf9f8})
	testGoldenMessage(t, "listing", endpointList{
		Service: "orders", Version: 301, Endpoints: []discovery.Endpoint{goldenEndpoint(), second},
		OwnerIncarnation: 0x1122334455667788,
	})
	testGoldenMessage(t, "notice", versionNotice{Version: 1 << 40})
	testGoldenMessage(t, "configuration", configurationText{Version: 12, Text: []byte(`{"configVersion":"r12"}`)})
	testGoldenMessage(t, "opaque", opaqueMessage{Body: []byte{0, 1, 0xfe, 0xff}})
	testGoldenMessage(t, "acknowledgement", acknowledgement{Accepted: true})
}

// goldenLocal is an endpoint beside a process that takes what has its id.
type goldenLocal struct{}

// Keepalive implements LocalEndpoint.
func (goldenLocal) Keepalive(e discovery.Endpoint) bool { return e.ID == "own" }

// A process answers the methods of these numbers with these bytes, and no others.
func TestGoldenMethods(t *testing.T) {
	c := qt.New(t)
	ip := testNetwork + ".201.1"
	own := &settings.Settings{Name: "core-1", IP: ip, Zone: "z", Region: "r", InternalPorts: [2]int{7401, 7401}, ControlAddress: ip + ":7402"}
	hub := newTestHub(t, 7, own.InternalAddress())
	a := New(Config{Settings: own, Hub: hub, Role: membership.RoleCore, Log: discardLog(), Seed: 1})
	a.ApplyCommitted(1, []byte(`{"configVersion":"r1","routeTable":[]}`))
	roles := a.NewSingletonRoles(&fakeRegister{known: consensus.VoterSet{Voters: []string{own.ControlAddress}}, accepted: 3}, true)
	asked := hub.Now() + time.Minute // another process holds the lease that is asked for
	c.Assert(roles.allocatorLease.Tick(asked, 1, 0), qt.IsNotNil)
	roles.handleReply(asked, 0, own.ControlAddress, &lease.Reply{Grants: []lease.Grant{{Role: "allocator", FencingToken: 4, Holder: "127.9.30.3:7401", Remaining: time.Hour}}})
	a.ServeConsensus(func(_ context.Context, request []byte) ([]byte, error) { return append([]byte("re:"), request...), nil })
	a.KeepaliveHandler(goldenLocal{})
	serveHub(t, hub)
	caller := newTestHub(t, 8, "127.9.30.2:7401")

	elsewhere := goldenEndpoint()
	elsewhere.LeaseRemaining = 0 // what is left of a lease is of the time of the answer
	requests := map[uint64]codec.Message{
		11: &publishRequest{Endpoint: elsewhere},
		12: &subscribeRequest{Subscriber: "127.9.30.2:7401", Service: "none"},
		13: &endpointList{Service: "orders", Endpoints: []discovery.Endpoint{elsewhere}},
		14: &versionNotice{Version: 1},
		15: &configurationText{},
		16: &opaqueMessage{Body: []byte("ballot")},
		17: &publishRequest{Endpoint: discovery.Endpoint{ID: "own"}},
		18: &lease.Request{Holder: "127.9.30.2:7401", Incarnation: 8, Roles: []lease.RoleRequest{{Role: "allocator", FencingToken: 4}}},
		19: &ratelimit.AllocationRequest{Sidecar: "127.9.30.2:7401", Incarnation: 8, Requests: []ratelimit.TokenRequest{{Tenant: "t", Tokens: 1}}},
	}
	var lines strings.Builder
	for method := uint64(9); method <= 20; method++ {
		var body []byte
		if m := requests[method]; m != nil {
			body = codec.MarshalAppend(nil, m)
		}
		type answer struct {
			body []byte
			err  error
		}
		answered := make(chan answer, 1)
		caller.Send(own.InternalAddress(), method, body, 0, func(body []byte, err error) { answered <- answer{body, err} })
		select {
		case x := <-answered:
			switch {
			case x.err != nil:
				fmt.Fprintf(&lines, "%d: no such method\n", method)
			case method == methodShuffle:
				fmt.Fprintf(&lines, "%d: %t\n", method, len(x.body) > 0) // the members as they are, with their ages
			default:
				fmt.Fprintf(&lines, "%d: %x\n", method, x.body)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("no answer to method %d", method)
		}
	}
	golden.Text(t, "methods.txt", []byte(lines.String()))
}

// goldenState is a core process's state with a value in each field.
func goldenState() State {
	return State{
		Node: "core-1", Version: "r12", Confirmed: true, Voters: []string{"10.1.0.44:8105", "10.2.0.35:8105"}, Ready: true,
		Roles:   []RoleState{{Name: roleAllocator, Holder: "10.1.0.44:7640", FencingToken: 9, RemainingMs: 1500}, {Name: "other"}},
		Members: []MemberState{{Address: "10.1.0.40:7640", Zone: "north-a", Role: "access", Service: "orders", AgeMs: 40}, {Role: "core"}},
		Endpoints: []EndpointState{{
			ID: "ep-1", Service: "orders", Zone: "north-a", State: stateNames[discovery.Serving], Address: "10.1.0.40:8103",
			Sidecar: "10.1.0.40:7640", Slots: 12, LeaseMs: 9000,
		}},
	}
}

func TestGoldenState(t *testing.T) {
	c := qt.New(t)
	full := goldenState()
	text, err := json.MarshalIndent(full, "", "  ")
	c.Assert(err, qt.IsNil)
	golden.Text(t, "state.json", append(text, '\n'))
	var read State
	c.Assert(json.Unmarshal(text, &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, full)
	c.Assert(stateNames, qt.DeepEquals, map[discovery.State]string{
		discovery.Serving: "in_service", discovery.Draining: "draining",
		discovery.Crashed: "crashed", discovery.Deregistered: "gone",
	})
	c.Assert([]string{roleAllocator, StatePath, roleNameAccess, roleNameCore}, qt.DeepEquals, []string{"allocator", "/mesh/state", "access", "core"})
}

// goldenCore is a core process without links, whose sidecars and endpoints are known to it.
func goldenCore(t *testing.T) *Agent {
	t.Helper()
	own := &settings.Settings{Name: "core-1", IP: "127.9.31.1", Zone: "z", Region: "r", InternalPorts: [2]int{7401, 7401}, ControlAddress: "127.9.31.1:7402"}
	hub := newTestHub(t, 7, own.InternalAddress())
	return New(Config{Settings: own, Hub: hub, Role: membership.RoleCore, Log: discardLog(), Seed: 1})
}

// What a core process says of itself over HTTP, and to calls that it does not serve. Ages and what is left of leases are left out.
func TestGoldenStateAnswers(t *testing.T) {
	a := goldenCore(t)
	e := goldenEndpoint()
	a.directory.apply(e)
	handler := a.NewSingletonRoles(&fakeRegister{known: consensus.VoterSet{Voters: []string{"127.9.31.1:7402"}}, accepted: 3}, true).Handler()
	var lines strings.Builder
	for _, call := range []string{"GET /mesh/state", "POST /mesh/state", "GET /mesh/other"} {
		method, path, _ := strings.Cut(call, " ")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, nil))
		body := w.Body.String()
		var s State
		if json.Unmarshal(w.Body.Bytes(), &s) == nil {
			for i := range s.Endpoints {
				s.Endpoints[i].LeaseMs = 0
			}
			for i := range s.Members {
				s.Members[i].AgeMs = 0
			}
			text, err := json.Marshal(s)
			qt.Assert(t, err, qt.IsNil)
			body = string(text) + "\n"
		}
		fmt.Fprintf(&lines, "%s\n%d %s\n%s", call, w.Code, w.Header().Get("Content-Type"), body)
	}
	golden.Text(t, "state_answers.txt", []byte(lines.String()))
}

// goldenKeepalives are bodies of keepalives, the first ones good.
var goldenKeepalives = []string{
	`{"serviceName":"orders","address":"10.0.0.4:8080","zone":"z","slotCount":4,"state":"in_service","callSequence":7}`,
	`{"serviceName":"orders","address":"10.0.0.4:8080","zone":"z","slotCount":4,"state":"draining","callSequence":8,"coldRemaining":"1500ms"}`,
	`{"serviceName":"orders","address":"10.0.0.4:8080","slotCount":4000000000,"state":"in_service","callSequence":9,"coldRemaining":"9h","more":1}`,
	`not JSON`,
	`{}`,
	`{"serviceName":"","address":"10.0.0.4","zone":3,"slotCount":-1,"state":"asleep","callSequence":"7","coldRemaining":"-1s"}`,
	`{"serviceName":7,"address":":8080","slotCount":1.5,"state":true,"callSequence":1,"coldRemaining":"soon"}`,
}

func TestGoldenKeepalives(t *testing.T) {
	var lines strings.Builder
	handler := goldenCore(t).KeepaliveHandler(goldenLocal{})
	for _, body := range goldenKeepalives {
		e, err := ParseKeepalive("own", []byte(body))
		fmt.Fprintf(&lines, "%s\n", body)
		if err != nil {
			fmt.Fprintf(&lines, "error: %v\n", err)
		} else {
			fmt.Fprintf(&lines, "service %q app %q zone %q slots %d state %d cold %v sequence %d\n", e.Service, e.AppAddress, e.Zone, e.Slots, e.State, e.WarmupRemaining,
				e.Sequence)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/endpoints/own/keepalive", strings.NewReader(body)))
		fmt.Fprintf(&lines, "%d %s %s\n", w.Code, w.Header().Get("Content-Type"), strings.TrimSpace(w.Body.String()))
	}
	for _, call := range []string{
		"POST /endpoints/own/deregister", "POST /endpoints/other/deregister", "GET /endpoints/own/keepalive",
		"POST /endpoints/own/renew", "POST /endpoints/own/keepalive " + strings.Repeat("x", 20<<10),
	} {
		fields := strings.Fields(call + " -")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), fields[0], fields[1], strings.NewReader(fields[2])))
		fmt.Fprintf(&lines, "%s %s of %d bytes\n%d %s %s\n", fields[0], fields[1], len(fields[2]), w.Code, w.Header().Get("Content-Type"),
			strings.TrimSpace(w.Body.String()))
	}
	golden.Text(t, "keepalives.txt", []byte(lines.String()))
}

func TestGoldenKeepaliveFields(t *testing.T) {
	fields := []string{fieldService, fieldAddress, fieldZone, fieldSlots, fieldSequence, fieldState, fieldSlowStart, fieldKeepaliveTarget}
	qt.Assert(t, fields, qt.DeepEquals, []string{
		"serviceName", "address", "zone", "slotCount", "callSequence", "state", "coldRemaining",
		"keepaliveTarget",
	})
}

// What a core process records as events, and how its feed gives them.
func TestGoldenEvents(t *testing.T) {
	a := goldenCore(t)
	a.events.recordMembers([]membership.Member{{Incarnation: 1, Address: "10.1.0.40:7640", Zone: "north-a", Service: "orders"}})
	a.events.recordMembers([]membership.Member{{Incarnation: 2, Address: "10.1.0.41:7640", Zone: "south-b"}})
	for _, state := range []discovery.State{discovery.Serving, discovery.Serving, discovery.Draining, discovery.Crashed, discovery.Deregistered} {
		e := goldenEndpoint()
		e.State = state
		a.events.recordEndpoints([]discovery.Endpoint{e})
	}
	late := goldenEndpoint()
	late.ID, late.State = "ep-2", discovery.Deregistered
	a.events.recordEndpoints([]discovery.Endpoint{late}) // nobody knew of it while it served
	a.events.recordQuotaExhausted(0, "north")
	a.events.recordQuotaExhausted(quotaExhaustedInterval-1, "north")
	a.events.recordQuotaExhausted(quotaExhaustedInterval, "north")
	a.ApplyCommitted(3, []byte(`{"configVersion":"r3","routeTable":[]}`))
	d := a.NewSingletonRoles(&fakeRegister{}, true)
	d.mu.Lock()
	d.startAllocatorLocked(0)
	d.stopAllocatorLocked()
	d.mu.Unlock()
	w := httptest.NewRecorder()
	a.EventsHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/events", nil))
	var lines strings.Builder
	for line := range strings.Lines(w.Body.String()) {
		var e events.Event
		qt.Assert(t, json.Unmarshal([]byte(line), &e), qt.IsNil)
		_, err := time.Parse(time.RFC3339Nano, e.Time)
		qt.Assert(t, err, qt.IsNil)
		lines.WriteString(strings.Replace(line, e.Time, "TIME", 1))
	}
	golden.Text(t, "events.txt", []byte(lines.String()))
}
