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

// confirmTimeout is how long a page of state waits for a majority of the voters.
const confirmTimeout = 500 * time.Millisecond

// State is what a core process holds of the mesh, for operators: with ages, and the process that each fact comes from.
type State struct {
	Node      string          `json:"node"`
	Version   string          `json:"configVersion"`
	Confirmed bool            `json:"confirmed"` // a majority of the voters was reached: the version is the newest there is
	Voters    []string        `json:"voters"`
	Ready     bool            `json:"ready"` // this process has its record, and votes if it is in the list
	Roles     []RoleState     `json:"duties"`
	Members   []MemberState   `json:"members"`
	Endpoints []EndpointState `json:"endpoints"`
}

// RoleState says who does a duty.
type RoleState struct {
	Name        string `json:"name"`
	Holder      string `json:"holder"`
	Epoch       uint64 `json:"epoch,omitempty"`  // fencing number; known to the holder alone
	RemainingMs int64  `json:"leftMs,omitempty"` // of the lease, if it isn't renewed; known to the holder alone
}

// MemberState is a process that is there.
type MemberState struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Service string `json:"service,omitempty"`
	AgeMs   int64  `json:"ageMs"`
}

// EndpointState is one life of an endpoint.
type EndpointState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Address string `json:"address"`
	Sidecar string `json:"witness"` // the sidecar that it comes from
	Slots   int    `json:"slots"`
	LeaseMs int64  `json:"leaseMs"`
}

// StatePath is the path of State over HTTP.
const StatePath = "/mesh/state"

// Names of the states of endpoints, in keepalives and in State.
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

var stateNames = map[discovery.State]string{
	discovery.Serving: StateInService, discovery.Draining: StateDraining,
	discovery.Crashed: StateCrashed, discovery.Deregistered: StateDeregistered,
}

// State gathers what this core process holds. It asks a majority of the voters first: a process that is cut off can't tell whether
// what it holds is the newest, and says so.
func (s *SingletonRoles) State(ctx context.Context) State {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	newest, err := s.voters.ReadLatest(ctx)
	a := s.agent
	now := a.config.Hub.Now()
	state := State{Node: a.config.Settings.Name, Voters: s.voters.VoterSet().Voters, Confirmed: err == nil}
	_, state.Ready = s.voters.Accepted()
	s.mu.Lock()
	duty := RoleState{Name: roleAllocator, Holder: s.allocatorLease.Holder(now)}
	duty.Epoch, _ = s.allocatorLease.Holds(now)
	duty.RemainingMs = s.allocatorLease.Remaining(now).Milliseconds()
	s.mu.Unlock()
	state.Roles = []RoleState{duty}
	a.mu.Lock()
	defer a.mu.Unlock()
	state.Version = max(configuration.Version(a.current.Version), newest.Version).String()
	for _, m := range a.view.Members() {
		role := roleNameAccess
		if m.Role == membership.RoleCore {
			role = roleNameCore
		}
		state.Members = append(state.Members, MemberState{m.Address, m.Zone, role, m.Service, m.HeartbeatAge.Milliseconds()})
	}
	for _, e := range a.registry.All(now) {
		state.Endpoints = append(state.Endpoints, EndpointState{
			e.ID, e.Service, e.Zone, stateNames[e.State], e.AppAddress, e.SidecarAddress, e.Slots,
			e.LeaseRemaining.Round(time.Millisecond).Milliseconds(),
		})
	}
	return state
}

// Handler serves GET /mesh/state to operators.
func (s *SingletonRoles) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method != http.MethodGet || q.URL.Path != StatePath {
			http.Error(w, "GET "+StatePath+" only", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.State(q.Context()))
	})
}
