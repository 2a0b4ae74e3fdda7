package rehearse

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/morning"
	"quincegap/internal/standin/booking"
)

// tierDiscovery is what discovery knows of the boxes of one tier.
type tierDiscovery struct {
	rehearsal *rehearsal
	tier      int

	mu           sync.Mutex
	revision     uint64
	entries      map[int]listEntry // by box
	order        []int
	silent       bool
	repeats      bool           // everything is said twice, and what was said before it once more in between
	consulAgents []*consulAgent // that tell of it, where Consul does
	changed      chan struct{}  // closed at the next change
}

type listEntry struct {
	state         string
	boot          time.Duration // 0 for long ago
	revision      uint64
	weightDeficit float64 // how much less than 1 it weighs, so that 0 is the usual
}

func newTierDiscovery(w *rehearsal, tier int) *tierDiscovery {
	n := &tierDiscovery{rehearsal: w, tier: tier, revision: 1, entries: map[int]listEntry{}, changed: make(chan struct{})}
	for i, b := range w.plan.Servers {
		if b.Tier == tier && b.StartsAt == 0 {
			n.entries[i] = listEntry{state: "Ready", revision: 1}
			n.order = append(n.order, i)
		}
	}
	return n
}

// update has discovery know of a box's state.
func (t *tierDiscovery) update(box int, state string, boot time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	if _, ok := t.entries[box]; !ok {
		t.order = append(t.order, box)
	}
	t.entries[box] = listEntry{state, boot, t.revision, t.entries[box].weightDeficit}
	for _, a := range t.consulAgents {
		a.update(box, t.entries[box])
	}
	t.wakeWatchers()
}

// setWeight has discovery know of a box's weight.
func (t *tierDiscovery) setWeight(box int, weight float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[box]
	if !ok {
		return
	}
	t.revision++
	e.revision, e.weightDeficit = t.revision, 1-weight
	t.entries[box] = e
	t.wakeWatchers()
}

// setRepeats makes discovery say everything twice, or once again.
func (t *tierDiscovery) setRepeats(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repeats = on
}

func (t *tierDiscovery) wakeWatchers() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// setSilent makes discovery say nothing, or speak again.
func (t *tierDiscovery) setSilent(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = on
	for _, a := range t.consulAgents {
		a.setSilent(on)
	}
	t.wakeWatchers()
}

type listMessage struct {
	Rev     uint64           `json:"rev"`
	All     bool             `json:"all"`
	Targets []booking.Target `json:"targets"`
}

// changesSince is what changed after a revision, or all for 0, with the boxes and states that it tells of. n.mu is held.
func (t *tierDiscovery) changesSince(rev uint64) (m listMessage, told map[int]string) {
	m, told = listMessage{Rev: t.revision, All: rev == 0, Targets: []booking.Target{}}, map[int]string{}
	for _, i := range t.order {
		e := t.entries[i]
		if e.revision <= rev {
			continue
		}
		told[i] = e.state
		if m.All && e.state == "Gone" {
			continue
		}
		b := &t.rehearsal.plan.Servers[i]
		target := booking.Target{UID: b.UID, Address: t.rehearsal.serverAddress(b.Slot), Zone: morning.Zone, Model: t.rehearsal.plan.Tiers[b.Tier].Name, Cell: b.Cell, State: e.state, Weight: 1 - e.weightDeficit}
		switch boot := t.rehearsal.plan.Discovery.BootTime; {
		case e.boot == 0, boot == morning.BootTimeNone:
		case boot == morning.BootTimeAhead:
			target.BootMS = t.rehearsal.wall(e.boot + morning.BootTimeSkew).UnixMilli()
		default:
			target.BootMS = t.rehearsal.wall(e.boot).UnixMilli()
		}
		m.Targets = append(m.Targets, target)
	}
	return m, told
}

// watchInterval is how often a watch says that nothing has changed.
const watchInterval = 2 * time.Second

// discovery is discovery as one sidecar has it.
type discoveryAgent struct {
	discovery *tierDiscovery
	sidecar   int
	late      time.Duration
	server    http.Server
}

func startDiscoveryAgent(n *tierDiscovery, sidecar int, late time.Duration) (*discoveryAgent, error) {
	l, err := listen(n.rehearsal.discoveryAddress(sidecar))
	if err != nil {
		return nil, err
	}
	a := &discoveryAgent{discovery: n, sidecar: sidecar, late: late}
	a.server.Handler = a
	go a.server.Serve(l)
	return a, nil
}

// ServeHTTP answers GET /v1/endpoints, with follow=1 as a watch. While discovery is silent it says nothing.
func (d *discoveryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	n := d.discovery
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watch := r.URL.Query().Get("follow") != ""
	control, encoder := http.NewResponseController(w), json.NewEncoder(w)
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	var before listMessage
	for first := true; ; first = false {
		n.mu.Lock()
		quiet, changed, again := n.silent, n.changed, n.repeats
		if since > n.revision {
			since = 0 // of another discovery
		}
		m, told := n.changesSince(since)
		n.mu.Unlock()
		if !quiet && (first || len(told) > 0) {
			if encoder.Encode(m) != nil || again && !first && (encoder.Encode(before) != nil || encoder.Encode(m) != nil) || control.Flush() != nil {
				return
			}
			before = m
			now := n.rehearsal.now()
			if n.rehearsal.plan.Discovery.Consul {
				told = nil // what the platform says does not count
			}
			for box, state := range told {
				n.rehearsal.record(audit.Event{At: now, Kind: audit.SidecarNotified, Sidecar: d.sidecar, Server: box, Text: state, Origin: -1})
			}
			since = m.Rev
			if !watch {
				return
			}
		} else if first {
			first = false // nothing has been said yet: the first word is still owed
		}
		select {
		case <-changed:
			select { // what changes meanwhile is told with it, less late
			case <-time.After(d.late):
			case <-r.Context().Done():
				return
			}
		case <-tick.C:
			if !quiet {
				io.WriteString(w, "\n")
				if control.Flush() != nil {
					return
				}
			}
		case <-r.Context().Done():
			return
		}
	}
}
