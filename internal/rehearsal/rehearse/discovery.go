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

// news is what discovery knows of the boxes of one tier.
type news struct {
	w    *world
	tier int

	mu       sync.Mutex
	rev      uint64
	entries  map[int]entry // by box
	order    []int
	quiet    bool
	again    bool          // everything is said twice, and what was said before it once more in between
	agencies []*agency     // that tell of it, where Consul does
	changed  chan struct{} // closed at the next change
}

type entry struct {
	state string
	boot  time.Duration // 0 for long ago
	rev   uint64
	light float64 // how much less than 1 it weighs, so that 0 is the usual
}

func newNews(w *world, tier int) *news {
	n := &news{w: w, tier: tier, rev: 1, entries: map[int]entry{}, changed: make(chan struct{})}
	for i, b := range w.plan.Boxes {
		if b.Tier == tier && b.From == 0 {
			n.entries[i] = entry{state: "Ready", rev: 1}
			n.order = append(n.order, i)
		}
	}
	return n
}

// tell has discovery know of a box's state.
func (n *news) tell(box int, state string, boot time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rev++
	if _, ok := n.entries[box]; !ok {
		n.order = append(n.order, box)
	}
	n.entries[box] = entry{state, boot, n.rev, n.entries[box].light}
	for _, a := range n.agencies {
		a.tell(box, n.entries[box])
	}
	n.wake()
}

// weigh has discovery know of a box's weight.
func (n *news) weigh(box int, weight float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, ok := n.entries[box]
	if !ok {
		return
	}
	n.rev++
	e.rev, e.light = n.rev, 1-weight
	n.entries[box] = e
	n.wake()
}

// repeat makes discovery say everything twice, or once again.
func (n *news) repeat(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.again = on
}

func (n *news) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// silent makes discovery say nothing, or speak again.
func (n *news) silent(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quiet = on
	for _, a := range n.agencies {
		a.silent(on)
	}
	n.wake()
}

type message struct {
	Rev     uint64           `json:"rev"`
	All     bool             `json:"all"`
	Targets []booking.Target `json:"targets"`
}

// since is what changed after a revision, or all for 0, with the boxes and states that it tells of. n.mu is held.
func (n *news) since(rev uint64) (m message, told map[int]string) {
	m, told = message{Rev: n.rev, All: rev == 0, Targets: []booking.Target{}}, map[int]string{}
	for _, i := range n.order {
		e := n.entries[i]
		if e.rev <= rev {
			continue
		}
		told[i] = e.state
		if m.All && e.state == "Gone" {
			continue
		}
		b := &n.w.plan.Boxes[i]
		t := booking.Target{UID: b.UID, Address: n.w.boxAddress(b.Slot), Zone: morning.Zone, Model: n.w.plan.Tiers[b.Tier].Name, Cell: b.Cell, State: e.state, Weight: 1 - e.light}
		switch boot := n.w.plan.Discovery.Boot; {
		case e.boot == 0, boot == morning.BootNone:
		case boot == morning.BootAhead:
			t.BootMS = n.w.wall(e.boot + morning.Ahead).UnixMilli()
		default:
			t.BootMS = n.w.wall(e.boot).UnixMilli()
		}
		m.Targets = append(m.Targets, t)
	}
	return m, told
}

// still is how often a watch says that nothing has changed.
const still = 2 * time.Second

// agent is discovery as one sidecar has it.
type agent struct {
	news    *news
	sidecar int
	late    time.Duration
	server  http.Server
}

func startAgent(n *news, sidecar int, late time.Duration) (*agent, error) {
	l, err := listen(n.w.discoveryAddress(sidecar))
	if err != nil {
		return nil, err
	}
	a := &agent{news: n, sidecar: sidecar, late: late}
	a.server.Handler = a
	go a.server.Serve(l)
	return a, nil
}

// ServeHTTP answers GET /v1/endpoints, with follow=1 as a watch. While discovery is silent it says nothing.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	n := a.news
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watch := r.URL.Query().Get("follow") != ""
	control, encoder := http.NewResponseController(w), json.NewEncoder(w)
	tick := time.NewTicker(still)
	defer tick.Stop()
	var before message
	for first := true; ; first = false {
		n.mu.Lock()
		quiet, changed, again := n.quiet, n.changed, n.again
		if since > n.rev {
			since = 0 // of another discovery
		}
		m, told := n.since(since)
		n.mu.Unlock()
		if !quiet && (first || len(told) > 0) {
			if encoder.Encode(m) != nil || again && !first && (encoder.Encode(before) != nil || encoder.Encode(m) != nil) || control.Flush() != nil {
				return
			}
			before = m
			now := n.w.now()
			if n.w.plan.Discovery.Consul {
				told = nil // what the platform says does not count
			}
			for box, state := range told {
				n.w.add(audit.Event{At: now, Kind: audit.Told, Sidecar: a.sidecar, Box: box, Text: state, Origin: -1})
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
			case <-time.After(a.late):
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
