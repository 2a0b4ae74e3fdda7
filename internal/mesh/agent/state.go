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

// StatePath is the HTTP path at which Handler serves State.
const StatePath = "/mesh/state"

// confirmationReadTimeout is the time that SingletonRoles.State waits at most for a majority of the voters.
const confirmationReadTimeout = 500 * time.Millisecond

// maxStateReaders is the number of concurrent requests for State. Each holds the whole answer until its client has read it.
const maxStateReaders = 16

// State is the state of the mesh as known to one core process, for operators. Its JSON keys are part of the interface to tools such as
// meshctl.
type State struct {
	Node      string          `json:"node"`          // name of the process, as in its settings
	Version   string          `json:"configVersion"` // newest known committed version, such as "r12", or "0" if there is none
	Confirmed bool            `json:"confirmed"`     // true if a majority of the voters was reached: there is no newer committed version
	Voters    []string        `json:"voters"`        // control addresses of the voters
	Ready     bool            `json:"ready"`         // true if this process has its consensus record, and so votes if it is a voter
	Roles     []RoleState     `json:"duties"`
	Members   []MemberState   `json:"members"`
	Endpoints []EndpointState `json:"endpoints"`
}

// RoleState describes a singleton role and its holder.
type RoleState struct {
	Name         string `json:"name"`
	Holder       string `json:"holder"`           // internal address of the lease holder; empty if unknown
	FencingToken uint64 `json:"epoch,omitempty"`  // fencing token of the lease; 0 except in the holder's own State
	RemainingMs  int64  `json:"leftMs,omitempty"` // milliseconds until the lease expires if not renewed; 0 except in the holder's own State
}

// MemberState describes a running process.
type MemberState struct {
	Address string `json:"address"` // internal address
	Zone    string `json:"zone"`
	Role    string `json:"role"`              // "access" for a sidecar, or "core"
	Service string `json:"service,omitempty"` // service of the local endpoint of a sidecar
	AgeMs   int64  `json:"ageMs"`             // milliseconds since the core process last knew that the process runs; 0 for itself
}

// EndpointState describes an endpoint record. Address is the application address of the endpoint.
type EndpointState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // StateInService, StateDraining, StateCrashed or StateDeregistered
	Address string `json:"address"`
	Sidecar string `json:"witness"` // internal address of the sidecar that publishes the record
	Slots   int    `json:"slots"`   // number of requests that the endpoint serves concurrently
	LeaseMs int64  `json:"leaseMs"` // milliseconds until the record's lease expires
}

// Names of endpoint states in EndpointState. Keepalives use the first two as well.
const (
	StateInService    = "in_service"
	StateDraining     = "draining"
	StateCrashed      = "crashed"
	StateDeregistered = "gone"
)

// Names of the roles of processes in MemberState.
const (
	roleNameAccess = "access"
	roleNameCore   = "core"
)

// stateNames maps endpoint states to their names in EndpointState.
var stateNames = map[discovery.State]string{
	discovery.Serving:      StateInService,
	discovery.Draining:     StateDraining,
	discovery.Crashed:      StateCrashed,
	discovery.Deregistered: StateDeregistered,
}

// State returns the state of the mesh as known to this core process. It first reads the register from a majority of the voters, for at most
// confirmationReadTimeout (half a second). If that fails, Confirmed is false: there may be a newer committed version that this process
// doesn't know.
func (s *SingletonRoles) State(ctx context.Context) State {
	ctx, cancel := context.WithTimeout(ctx, confirmationReadTimeout)
	defer cancel()
	newest, err := s.register.ReadLatest(ctx)
	known := s.agent.snapshot()
	return State{
		Node:      s.agent.settings.Name,
		Version:   max(known.version, newest.Version).String(),
		Confirmed: err == nil,
		Voters:    s.register.VoterSet().Voters,
		Ready:     s.register.Ready(),
		Roles:     []RoleState{s.allocatorState()},
		Members:   memberStates(known.members),
		Endpoints: endpointStates(known.endpoints),
	}
}

// snapshot is the state of an agent at one point in time.
type snapshot struct {
	version   configuration.Version // applied version; 0 if none is applied
	members   []membership.Member
	endpoints []discovery.Endpoint
}

// snapshot returns the current state of the agent. All of it is read in one critical section, so that its parts are consistent.
func (a *Agent) snapshot() snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return snapshot{
		version:   configuration.Version(a.configuration.versionLocked()),
		members:   a.members.allWithAgesLocked(),
		endpoints: a.directory.allLocked(),
	}
}

// allocatorState returns the state of the allocator's lease as known to this process.
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

// memberStates converts members to the form used in State. It returns nil if there are none.
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

// endpointStates converts endpoint records to the form used in State. It returns nil if there are none.
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

// Handler returns the HTTP handler of GET StatePath, which responds with State as JSON. It responds with 503 to a request in excess of
// maxStateReaders (16) concurrent ones, and to all other requests with 404.
func (s *SingletonRoles) Handler() http.Handler {
	readers := make(chan struct{}, maxStateReaders)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != StatePath {
			http.Error(w, "GET "+StatePath+" only", http.StatusNotFound)
			return
		}
		select {
		case readers <- struct{}{}:
			defer func() { <-readers }()
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many readers", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.State(r.Context())) // the client may have closed the connection
	})
}
