package rehearse

import (
	"sync"
	"time"

	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/booking"
)

// tierDiscovery is the server list of one tier in service discovery. Agents send it to sidecars.
type tierDiscovery struct {
	rehearsal *rehearsal
	tier      int

	mu           sync.Mutex
	revision     uint64            // revision of the last update
	entries      map[int]listEntry // entries by server index
	order        []int             // server indexes in the order in which they were added
	silent       bool              // whether agents send nothing
	repeats      bool              // whether agents send each update twice, with the previous one in between
	consulAgents []*consulAgent    // Consul agents that receive all updates, if the scenario uses Consul
	changed      chan struct{}     // closed at the next update
}

// listEntry is the entry of one server.
type listEntry struct {
	state         string
	boot          time.Duration // boot time on the rehearsal's clock; 0 for long before the start
	revision      uint64        // revision of the entry's last update
	weightDeficit float64       // 1 minus the server's weight, so that the zero value is the default weight
}

// listMessage is the complete list, or the changed entries, in the platform's wire format.
type listMessage struct {
	Rev     uint64           `json:"rev"`
	All     bool             `json:"all"`
	Targets []booking.Target `json:"targets"`
}

// newTierDiscovery returns a tier's list at the start of the rehearsal.
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

// update sets the state and boot time of a server, and adds the server if it is not listed.
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

// setWeight sets the weight of a listed server; it ignores other servers.
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

// addConsulAgent adds a Consul agent that receives all further updates.
func (t *tierDiscovery) addConsulAgent(agent *consulAgent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consulAgents = append(t.consulAgents, agent)
}

// wakeWatches wakes all watches. The caller holds t.mu.
func (t *tierDiscovery) wakeWatches() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// changesSince returns the entries that changed after a revision, or the complete list for revision 0, and the states by server that the
// message announces. The states include servers that are gone; the complete list does not. The caller holds t.mu.
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

// target returns a server in the platform's format. The scenario decides whether the boot time is included, and whether it is ahead of
// the actual one.
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
