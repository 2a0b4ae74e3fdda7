package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
)

// StatePath is the path of State over HTTP.
const StatePath = "/mesh/state"

// confirmationReadTimeout is how long SingletonRoles.State waits for a majority of the voters.
const confirmationReadTimeout = 500 * time.Millisecond

// State is the state of the mesh as one core process knows it, for operators. The keys of its JSON are part of the interface to tools
// (meshctl).
type State struct {
	Node      string          `json:"node"`          // name of the process, as in its settings
	Version   string          `json:"configVersion"` // newest committed version that is known, like "r12"; "0" for none
	Confirmed bool            `json:"confirmed"`     // a majority of the voters was reached: there is no newer committed version
	Voters    []string        `json:"voters"`        // control addresses
	Ready     bool            `json:"ready"`         // this process has its consensus record, and votes if it is a voter
	Roles     []RoleState     `json:"duties"`
	Members   []MemberState   `json:"members"`
	Endpoints []EndpointState `json:"endpoints"`
}

// RoleState says which process has a singleton role.
type RoleState struct {
	Name         string `json:"name"`
	Holder       string `json:"holder"`           // internal address of the lease holder; empty if it is not known
	FencingToken uint64 `json:"epoch,omitempty"`  // known to the holder alone
	RemainingMs  int64  `json:"leftMs,omitempty"` // milliseconds until the lease expires if it isn't renewed; known to the holder alone
}

// MemberState is a process that runs.
type MemberState struct {
	Address string `json:"address"` // internal address
	Zone    string `json:"zone"`
	Role    string `json:"role"`              // "access" for a sidecar, or "core"
	Service string `json:"service,omitempty"` // of the endpoint beside it
	AgeMs   int64  `json:"ageMs"`             // milliseconds since its newest heartbeat that the core process knows
}

// EndpointState is an endpoint's record.
type EndpointState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // one of the State constants
	Address string `json:"address"`
	Sidecar string `json:"witness"` // internal address of the sidecar that publishes the record
	Slots   int    `json:"slots"`   // requests that the endpoint serves at once
	LeaseMs int64  `json:"leaseMs"` // milliseconds until the record's lease expires
}

// Names of the states of endpoints, in keepalives (the first two) and in State.
const (
	StateInService    = "in_service"
	StateDraining     = "draining"
	StateCrashed      = "crashed"
	StateDeregistered = "gone"
)

// Names of the roles of processes in State.
const (
	roleNameAccess = "access"
	roleNameCore   = "core"
)

// stateNames holds the names of the states of endpoints.
var stateNames = map[discovery.State]string{
	discovery.Serving:      StateInService,
	discovery.Draining:     StateDraining,
	discovery.Crashed:      StateCrashed,
	discovery.Deregistered: StateDeregistered,
}

// State collects the state of the mesh as this core process knows it. It reads the register from a majority of the voters first, for half
// a second at most. Confirmed is false if that fails: a newer version may then be committed that this process doesn't know.
func (s *SingletonRoles) State(ctx context.Context) State {
	ctx, cancel := context.WithTimeout(ctx, confirmationReadTimeout)
	defer cancel()
	newest, err := s.register.ReadLatest(ctx)
	_, ready := s.register.Accepted()
	known := s.agent.snapshot()
	return State{
		Node:      s.agent.settings.Name,
		Version:   max(known.version, newest.Version).String(),
		Confirmed: err == nil,
		Voters:    s.register.VoterSet().Voters,
		Ready:     ready,
		Roles:     []RoleState{s.allocatorState()},
		Members:   memberStates(known.members),
		Endpoints: endpointStates(known.endpoints),
	}
}

// snapshot is the state of an agent at one moment.
type snapshot struct {
	version   configuration.Version // the applied one
	members   []membership.Member
	endpoints []discovery.Endpoint
}

// snapshot returns the present state of the agent. It is read under one lock, so that its parts are consistent with each other.
func (a *Agent) snapshot() snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return snapshot{
		version:   configuration.Version(a.configuration.versionLocked()),
		members:   a.members.allLocked(),
		endpoints: a.directory.allLocked(),
	}
}

// allocatorState returns the state of the allocator's lease as this process knows it.
func (s *SingletonRoles) allocatorState() RoleState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.agent.now()
	token, _ := s.allocatorLease.Holds(now)
	return RoleState{
		Name:         roleAllocator,
		Holder:       s.allocatorLease.Holder(now),
		FencingToken: token,
		RemainingMs:  s.allocatorLease.Remaining(now).Milliseconds(),
	}
}

// memberStates returns members as State shows them; nil for none.
func memberStates(members []membership.Member) []MemberState {
	var states []MemberState
	for _, m := range members {
		role := roleNameAccess
		if m.Role == membership.RoleCore {
			role = roleNameCore
		}
		states = append(states, MemberState{
			Address: m.Address,
			Zone:    m.Zone,
			Role:    role,
			Service: m.Service,
			AgeMs:   m.HeartbeatAge.Milliseconds(),
		})
	}
	return states
}

// endpointStates returns endpoint records as State shows them; nil for none.
func endpointStates(endpoints []discovery.Endpoint) []EndpointState {
	var states []EndpointState
	for _, e := range endpoints {
		states = append(states, EndpointState{
			ID:      e.ID,
			Service: e.Service,
			Zone:    e.Zone,
			State:   stateNames[e.State],
			Address: e.AppAddress,
			Sidecar: e.SidecarAddress,
			Slots:   e.Slots,
			LeaseMs: e.LeaseRemaining.Round(time.Millisecond).Milliseconds(),
		})
	}
	return states
}

// Handler returns the handler of GET StatePath, which answers with State as JSON.
func (s *SingletonRoles) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != StatePath {
			http.Error(w, "GET "+StatePath+" only", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.State(r.Context())) // the client may have closed the connection
	})
}
