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
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// goldenEndpoint returns an endpoint record whose fields all have values other than their zero values.
func goldenEndpoint() discovery.Endpoint {
	return discovery.Endpoint{
		ID:                 "ep-1",
		Service:            "orders",
		SidecarAddress:     "10.1.0.40:7640",
		SidecarIncarnation: 0x0102030405060708,
		AppAddress:         "10.1.0.40:8103",
		Zone:               "north-a",
		Slots:              12,
		State:              discovery.Draining,
		WarmupRemaining:    1500 * time.Millisecond,
		Sequence:           77,
		Revision:           5,
		LeaseRemaining:     9 * time.Second,
	}
}

// testGoldenMessage checks that a message whose fields are all set is marshaled to the bytes in its golden file, and that these bytes are
// unmarshaled to the same message.
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
	testGoldenMessage(t, "subscription", subscribeRequest{
		Subscriber:       "10.1.0.41:7640",
		Service:          "orders",
		Since:            300,
		OwnerIncarnation: 0xfffefdfcfbfaf9f8,
	})
	testGoldenMessage(t, "listing", endpointList{
		Service:          "orders",
		Version:          301,
		Endpoints:        []discovery.Endpoint{goldenEndpoint(), second},
		OwnerIncarnation: 0x1122334455667788,
	})
	testGoldenMessage(t, "notice", versionNotice{Version: 1 << 40})
	testGoldenMessage(t, "configuration", configurationText{Version: 12, Text: []byte(`{"configVersion":"r12"}`)})
	testGoldenMessage(t, "opaque", opaqueMessage{Body: []byte{0, 1, 0xfe, 0xff}})
	testGoldenMessage(t, "acknowledgement", acknowledgement{Accepted: true})
}

// goldenLocalEndpoint is a LocalEndpoint for the endpoint with the ID own.
type goldenLocalEndpoint struct{}

// HandleReport implements LocalEndpoint.
func (goldenLocalEndpoint) HandleReport(e discovery.Endpoint) bool { return e.ID == "own" }

// goldenCoreIP is the IP address that golden files contain for a core process. The process accepts no links at that address.
const goldenCoreIP = "127.9.31.1"

// goldenCore returns the agent of a core process with the given IP address. The process does not accept links yet.
func goldenCore(t *testing.T, ip string) *Agent {
	t.Helper()
	own := &settings.Settings{
		Name:           "core-1",
		IP:             ip,
		Zone:           "z",
		Region:         "r",
		InternalPorts:  [2]int{7401, 7401},
		ControlAddress: ip + ":7402",
	}
	hub := newTestHub(t, 7, own.InternalAddress())
	return New(Config{Settings: own, Hub: hub, Role: membership.RoleCore, Log: discardLog(), Seed: 1})
}

// goldenRoles returns the singleton roles of a core process, which is the only voter.
func goldenRoles(core *Agent) *SingletonRoles {
	voters := consensus.VoterSet{Voters: []string{core.settings.ControlAddress}}
	return core.NewSingletonRoles(&fakeRegister{known: voters, accepted: 3}, true)
}

// serveGoldenCore serves all methods of a core process until the test ends. The process knows another process as the allocator.
func serveGoldenCore(t *testing.T, core *Agent) {
	t.Helper()
	core.ApplyCommitted(1, []byte(`{"configVersion":"r1","routeTable":[]}`))
	roles := goldenRoles(core)
	requested := core.now() + time.Minute
	qt.Assert(t, roles.allocatorLease.Tick(requested, 1, 0), qt.IsNotNil)
	roles.handleLeaseReply(requested, 0, core.settings.ControlAddress, &lease.Reply{Grants: []lease.RoleReply{{
		Role:         "allocator",
		FencingToken: 4,
		Holder:       "127.9.30.3:7401",
		Remaining:    time.Hour,
	}}})
	core.ServeConsensus(func(_ context.Context, request []byte) ([]byte, error) { return append([]byte("re:"), request...), nil })
	core.KeepaliveHandler(goldenLocalEndpoint{})
	serveHub(t, core.hub)
}

// goldenRequests returns a request for each method except methodShuffle, by method number.
func goldenRequests() map[uint64]codec.Message {
	record := goldenEndpoint()
	record.LeaseRemaining = 0 // a remaining lease in a reply would depend on the time
	return map[uint64]codec.Message{
		11: &publishRequest{Endpoint: record},
		12: &subscribeRequest{Subscriber: "127.9.30.2:7401", Service: "none"},
		13: &endpointList{Service: "orders", Endpoints: []discovery.Endpoint{record}},
		14: &versionNotice{Version: 1},
		15: &configurationText{},
		16: &opaqueMessage{Body: []byte("ballot")},
		17: &publishRequest{Endpoint: discovery.Endpoint{ID: "own"}},
		18: &lease.Request{
			Holder:      "127.9.30.2:7401",
			Incarnation: 8,
			Roles:       []lease.RoleRequest{{Role: "allocator", FencingToken: 4}},
		},
		19: &ratelimit.AllocationRequest{
			Sidecar:     "127.9.30.2:7401",
			Incarnation: 8,
			Requests:    []ratelimit.TokenRequest{{Tenant: "t", Tokens: 1}},
		},
	}
}

// A core process replies to each method with the bytes in the golden file. It serves no other methods between 9 and 20.
func TestGoldenMethods(t *testing.T) {
	core := goldenCore(t, testNetwork+".201.1")
	serveGoldenCore(t, core)
	caller := newTestHub(t, 8, "127.9.30.2:7401")
	requests := goldenRequests()
	var lines strings.Builder
	for method := uint64(9); method <= 20; method++ {
		var body []byte
		if m := requests[method]; m != nil {
			body = codec.MarshalAppend(nil, m)
		}
		answer, err := callMethod(t, caller, core.address(), method, body)
		switch {
		case err != nil:
			fmt.Fprintf(&lines, "%d: no such method\n", method)
		case method == methodShuffle:
			fmt.Fprintf(&lines, "%d: %t\n", method, len(answer) > 0) // the bytes of a shuffle depend on the ages of heartbeats
		default:
			fmt.Fprintf(&lines, "%d: %x\n", method, answer)
		}
	}
	golden.Text(t, "methods.txt", []byte(lines.String()))
}

// callMethod calls a method of the process at an address, and returns the encoded reply or the error of the call.
func callMethod(t *testing.T, caller *transport.Hub, address string, method uint64, body []byte) ([]byte, error) {
	t.Helper()
	type answer struct {
		body []byte
		err  error
	}
	answered := make(chan answer, 1)
	caller.Send(address, method, codec.BuffersOf(body), 0, func(body codec.Buffers, err error) { answered <- answer{body.Join(), err} })
	select {
	case a := <-answered:
		return a.body, a.err
	case <-time.After(maxWaitInTests):
		t.Fatalf("no reply to method %d within maxWaitInTests", method)
		return nil, nil
	}
}

// goldenState returns a State in which each field has a value other than its zero value in at least one element.
func goldenState() State {
	return State{
		Node:      "core-1",
		Version:   "r12",
		Confirmed: true,
		Voters:    []string{"10.1.0.44:8105", "10.2.0.35:8105"},
		Ready:     true,
		Roles: []RoleState{{
			Name:         roleAllocator,
			Holder:       "10.1.0.44:7640",
			FencingToken: 9,
			RemainingMs:  1500,
		}, {Name: "other"}},
		Members: []MemberState{{
			Address: "10.1.0.40:7640",
			Zone:    "north-a",
			Role:    "access",
			Service: "orders",
			AgeMs:   40,
		}, {Role: "core"}},
		Endpoints: []EndpointState{{
			ID:      "ep-1",
			Service: "orders",
			Zone:    "north-a",
			State:   stateNames[discovery.Serving],
			Address: "10.1.0.40:8103",
			Sidecar: "10.1.0.40:7640",
			Slots:   12,
			LeaseMs: 9000,
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
	names := []string{roleAllocator, StatePath, roleNameAccess, roleNameCore}
	c.Assert(names, qt.DeepEquals, []string{"allocator", "/mesh/state", "access", "core"})
}

// A core process responds to GET /mesh/state with its state, and to other calls with an error. Ages of heartbeats and remaining leases,
// which depend on the time, are set to 0 in the golden file.
func TestGoldenStateAnswers(t *testing.T) {
	core := goldenCore(t, goldenCoreIP)
	core.directory.apply(goldenEndpoint())
	handler := goldenRoles(core).Handler()
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

// goldenKeepalives holds bodies of keepalives. The first three are valid, the others are not.
var goldenKeepalives = []string{
	`{"serviceName":"orders","address":"10.0.0.4:8080","zone":"z","slotCount":4,"state":"in_service","callSequence":7}`,
	`{"serviceName":"orders","address":"10.0.0.4:8080","zone":"z","slotCount":4,"state":"draining","callSequence":8,` +
		`"coldRemaining":"1500ms"}`,
	`{"serviceName":"orders","address":"10.0.0.4:8080","slotCount":4000000000,"state":"in_service","callSequence":9,` +
		`"coldRemaining":"9h","more":1}`,
	`not JSON`,
	`{}`,
	`{"serviceName":"","address":"10.0.0.4","zone":3,"slotCount":-1,"state":"asleep","callSequence":"7","coldRemaining":"-1s"}`,
	`{"serviceName":7,"address":":8080","slotCount":1.5,"state":true,"callSequence":1,"coldRemaining":"soon"}`,
}

func TestGoldenKeepalives(t *testing.T) {
	var lines strings.Builder
	handler := goldenCore(t, goldenCoreIP).KeepaliveHandler(goldenLocalEndpoint{})
	for _, body := range goldenKeepalives {
		e, err := ParseKeepalive("own", []byte(body))
		fmt.Fprintf(&lines, "%s\n", body)
		if err != nil {
			fmt.Fprintf(&lines, "error: %v\n", err)
		} else {
			fmt.Fprintf(&lines, "service %q app %q zone %q slots %d state %d cold %v sequence %d\n",
				e.Service, e.AppAddress, e.Zone, e.Slots, e.State, e.WarmupRemaining, e.Sequence)
		}
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/endpoints/own/keepalive", strings.NewReader(body))
		handler.ServeHTTP(w, r)
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

// A core process records the events in the golden file, and its feed encodes them in that form.
func TestGoldenEvents(t *testing.T) {
	core := goldenCore(t, goldenCoreIP)
	core.events.recordMembers([]membership.Member{{
		Incarnation: 1,
		Address:     "10.1.0.40:7640",
		Zone:        "north-a",
		Service:     "orders",
	}})
	core.events.recordMembers([]membership.Member{{Incarnation: 2, Address: "10.1.0.41:7640", Zone: "south-b"}})
	states := []discovery.State{
		discovery.Serving, discovery.Serving, discovery.Draining, discovery.Crashed, discovery.Deregistered,
	}
	for _, state := range states {
		e := goldenEndpoint()
		e.State = state
		core.events.recordEndpoints([]discovery.Endpoint{e})
	}
	unseen := goldenEndpoint()
	unseen.ID, unseen.State = "ep-2", discovery.Deregistered
	core.events.recordEndpoints([]discovery.Endpoint{unseen}) // not recorded: the endpoint was never observed as running
	core.events.recordQuotaExhausted(0, "north")
	core.events.recordQuotaExhausted(quotaExhaustedInterval-1, "north")
	core.events.recordQuotaExhausted(quotaExhaustedInterval, "north")
	core.ApplyCommitted(3, []byte(`{"configVersion":"r3","routeTable":[]}`))
	roles := core.NewSingletonRoles(&fakeRegister{}, true)
	roles.mu.Lock()
	roles.startAllocatorLocked(0)
	roles.stopAllocatorLocked()
	roles.mu.Unlock()
	w := httptest.NewRecorder()
	core.EventsHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/events", nil))
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
