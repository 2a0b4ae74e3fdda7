package rehearse

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/booking"
)

// tierDiscovery is what discovery knows of the servers of one tier.
type tierDiscovery struct {
	rehearsal *rehearsal
	tier      int

	mu           sync.Mutex
	revision     uint64
	entries      map[int]listEntry // by server
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

// newTierDiscovery returns what discovery knows at the start.
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

// update has discovery know of a server's state.
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

// setWeight has discovery know of a server's weight.
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

// changesSince is what changed after a revision, or all for 0, with the servers and states that it tells of. n.mu is held.
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
		target := booking.Target{UID: b.UID, Address: t.rehearsal.serverAddress(b.Slot), Zone: scenario.Zone, Model: t.rehearsal.plan.Tiers[b.Tier].Name, Cell: b.Cell, State: e.state, Weight: 1 - e.weightDeficit}
		switch boot := t.rehearsal.plan.Discovery.BootTime; {
		case e.boot == 0, boot == scenario.BootTimeNone:
		case boot == scenario.BootTimeAhead:
			target.BootMS = t.rehearsal.wall(e.boot + scenario.BootTimeSkew).UnixMilli()
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
	served    chan struct{} // closed when nothing is accepted any more
}

// close ends the agent and all watches.
func (d *discoveryAgent) close() {
	_ = d.server.Close() // of the listener and its connections, which have no data that could be lost
	<-d.served
}

// startDiscoveryAgent serves at the address that a sidecar is given.
func startDiscoveryAgent(n *tierDiscovery, sidecar int, late time.Duration) (*discoveryAgent, error) {
	l, err := n.rehearsal.listen(n.rehearsal.discoveryAddress(sidecar))
	if err != nil {
		return nil, err
	}
	a := &discoveryAgent{served: make(chan struct{}), discovery: n, sidecar: sidecar, late: late}
	a.server.Handler = a
	go func() {
		defer close(a.served)
		_ = a.server.Serve(l) // ends with http.ErrServerClosed, for nothing else closes the listener
	}()
	return a, nil
}

// ServeHTTP answers GET /v1/endpoints, with follow=1 as a watch. While discovery is silent it says nothing.
func (d *discoveryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	s := &discoveryWatch{agent: d, control: http.NewResponseController(w), encoder: json.NewEncoder(w), writer: w}
	if since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64); err == nil {
		s.since = since
	}
	watch := r.URL.Query().Get("follow") != ""
	unchanged := time.NewTicker(watchInterval)
	defer unchanged.Stop()
	for {
		silent, changed, err := s.sendChanges()
		if err != nil || s.sent && !watch {
			return
		}
		select {
		case <-changed:
			select { // what changes meanwhile is sent with it, less late
			case <-time.After(d.late):
			case <-r.Context().Done():
				return
			}
		case <-unchanged.C:
			if !silent && s.sendUnchanged() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// discoveryWatch is one answer of an agent, which goes on as long as its caller follows.
type discoveryWatch struct {
	agent   *discoveryAgent
	writer  io.Writer
	encoder *json.Encoder
	control *http.ResponseController
	since   uint64 // the newest revision that was sent
	looped  bool   // it has looked at the list before
	sent    bool   // a list was
	before  listMessage
}

// sendChanges sends what has changed, the whole list at first, unless discovery is silent. changed is closed at the next change.
func (s *discoveryWatch) sendChanges() (silent bool, changed <-chan struct{}, err error) {
	tier := s.agent.discovery
	tier.mu.Lock()
	silent, changed = tier.silent, tier.changed
	repeats := tier.repeats
	if s.since > tier.revision {
		s.since = 0 // of another discovery
	}
	list, states := tier.changesSince(s.since)
	tier.mu.Unlock()
	if silent || s.looped && len(states) == 0 {
		s.looped = true
		return silent, changed, nil
	}
	if err := s.send(list, repeats && s.looped); err != nil {
		return silent, changed, err
	}
	s.looped = true
	s.sent = true
	s.before = list
	s.since = list.Rev
	s.agent.recordNotifications(states)
	return silent, changed, nil
}

// send writes a list; with repeat the one before and the same one once more after it.
func (s *discoveryWatch) send(list listMessage, repeat bool) error {
	lists := []listMessage{list}
	if repeat {
		lists = append(lists, s.before, list)
	}
	for _, l := range lists {
		if err := s.encoder.Encode(l); err != nil {
			return err
		}
	}
	return s.control.Flush()
}

// sendUnchanged writes an empty line.
func (s *discoveryWatch) sendUnchanged() error {
	if _, err := io.WriteString(s.writer, "\n"); err != nil {
		return err
	}
	return s.control.Flush()
}

// recordNotifications notes what the sidecar was notified of; where Consul has the list, what the platform says does not count.
func (d *discoveryAgent) recordNotifications(states map[int]string) {
	r := d.discovery.rehearsal
	if r.plan.Discovery.Consul {
		return
	}
	now := r.now()
	for server, state := range states {
		r.record(audit.Event{At: now, Kind: audit.SidecarNotified, Sidecar: d.sidecar, Server: server, Text: state, Origin: -1})
	}
}
