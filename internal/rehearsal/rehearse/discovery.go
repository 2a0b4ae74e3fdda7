package rehearse

import (
	"sync"
	"time"

	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/booking"
)

// tierDiscovery is the list of the servers of one tier, as discovery has it. Agents send it to sidecars.
type tierDiscovery struct {
	rehearsal *rehearsal
	tier      int

	mu           sync.Mutex
	revision     uint64            // of the last update
	entries      map[int]listEntry // by server
	order        []int             // the servers as they were added
	silent       bool              // agents send nothing
	repeats      bool              // agents send each update twice, with the one before in between
	consulAgents []*consulAgent    // that have the list too, where Consul does
	changed      chan struct{}     // closed at the next update
}

// listEntry is what discovery has of one server.
type listEntry struct {
	state         string
	boot          time.Duration // 0 for long ago
	revision      uint64        // of its last update
	weightDeficit float64       // 1 less its weight, so that 0 is the usual weight
}

// listMessage is the whole list, or what has changed of it, on the platform's wire.
type listMessage struct {
	Rev     uint64           `json:"rev"`
	All     bool             `json:"all"`
	Targets []booking.Target `json:"targets"`
}

// newTierDiscovery returns the list at the start.
func newTierDiscovery(r *rehearsal, tier int) *tierDiscovery {
	t := &tierDiscovery{rehearsal: r, tier: tier, revision: 1, entries: map[int]listEntry{}, changed: make(chan struct{})}
	for server := range r.plan.Servers {
		if spec := &r.plan.Servers[server]; spec.Tier == tier && spec.StartsAt == 0 {
			t.entries[server] = listEntry{state: "Ready", revision: 1}
			t.order = append(t.order, server)
		}
	}
	return t
}

// update sets the state of a server.
func (t *tierDiscovery) update(server int, state string, boot time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	entry, known := t.entries[server]
	if !known {
		t.order = append(t.order, server)
	}
	entry.state, entry.boot, entry.revision = state, boot, t.revision
	t.entries[server] = entry
	for _, agent := range t.consulAgents {
		agent.update(server, entry)
	}
	t.wakeWatches()
}

// setWeight sets the weight of a server that is on the list.
func (t *tierDiscovery) setWeight(server int, weight float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.entries[server]
	if !ok {
		return
	}
	t.revision++
	entry.revision, entry.weightDeficit = t.revision, 1-weight
	t.entries[server] = entry
	t.wakeWatches()
}

// setRepeats sets whether agents send each update twice.
func (t *tierDiscovery) setRepeats(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repeats = on
}

// setSilent sets whether agents send nothing.
func (t *tierDiscovery) setSilent(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = on
	for _, agent := range t.consulAgents {
		agent.setSilent(on)
	}
	t.wakeWatches()
}

// addConsulAgent adds an agent that is to have all updates from now on.
func (t *tierDiscovery) addConsulAgent(agent *consulAgent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consulAgents = append(t.consulAgents, agent)
}

// wakeWatches wakes all watches. t.mu is held.
func (t *tierDiscovery) wakeWatches() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// changesSince returns what has changed since a revision, or the whole list for 0, and the states by server that the message notifies
// of: servers that have gone are among these, and not on the whole list. t.mu is held.
func (t *tierDiscovery) changesSince(revision uint64) (list listMessage, states map[int]string) {
	list = listMessage{Rev: t.revision, All: revision == 0, Targets: []booking.Target{}}
	states = map[int]string{}
	for _, server := range t.order {
		entry := t.entries[server]
		if entry.revision <= revision {
			continue
		}
		states[server] = entry.state
		if list.All && entry.state == "Gone" {
			continue
		}
		list.Targets = append(list.Targets, t.target(server, entry))
	}
	return list, states
}

// target returns a server as the platform sends it, with the boot time as far as the scenario has one.
func (t *tierDiscovery) target(server int, entry listEntry) booking.Target {
	r := t.rehearsal
	spec := &r.plan.Servers[server]
	target := booking.Target{
		UID: spec.UID, Address: r.serverAddress(spec.Slot), Zone: scenario.Zone, Model: r.plan.Tiers[spec.Tier].Name, Cell: spec.Cell,
		State: entry.state, Weight: 1 - entry.weightDeficit,
	}
	switch known := r.plan.Discovery.BootTime; {
	case entry.boot == 0, known == scenario.BootTimeNone:
	case known == scenario.BootTimeAhead:
		target.BootMS = r.wall(entry.boot + scenario.BootTimeSkew).UnixMilli()
	default:
		target.BootMS = r.wall(entry.boot).UnixMilli()
	}
	return target
}
