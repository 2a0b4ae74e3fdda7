package rehearse

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"quincegap/internal/rehearsal/audit"
)

// watchInterval is how often a watch sends an empty line if nothing has changed.
const watchInterval = 2 * time.Second

// discoveryAgent serves the list of a tier to one sidecar.
type discoveryAgent struct {
	discovery *tierDiscovery
	sidecar   int
	delay     time.Duration // from an update to its notification
	server    http.Server
	served    chan struct{} // closed when nothing is accepted any more
}

// close ends the agent and all watches.
func (d *discoveryAgent) close() {
	_ = d.server.Close() // of the listener and its connections, which have no data that could be lost
	<-d.served
}

// startDiscoveryAgent starts the agent of a sidecar, at the address that the sidecar is given.
func startDiscoveryAgent(tier *tierDiscovery, sidecar int, delay time.Duration) (*discoveryAgent, error) {
	listener, err := tier.rehearsal.listen(tier.rehearsal.discoveryAddress(sidecar))
	if err != nil {
		return nil, err
	}
	a := &discoveryAgent{served: make(chan struct{}), discovery: tier, sidecar: sidecar, delay: delay}
	a.server.Handler = a
	go func() {
		defer close(a.served)
		_ = a.server.Serve(listener) // ends with http.ErrServerClosed, for nothing else closes the listener
	}()
	return a, nil
}

// ServeHTTP answers GET /v1/endpoints, with follow=1 as a watch. While discovery is silent it sends nothing.
func (d *discoveryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	watch := &discoveryWatch{agent: d, control: http.NewResponseController(w), encoder: json.NewEncoder(w), writer: w}
	if since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64); err == nil {
		watch.since = since
	}
	follow := r.URL.Query().Get("follow") != ""
	unchanged := time.NewTicker(watchInterval)
	defer unchanged.Stop()
	for {
		silent, changed, err := watch.sendChanges()
		if err != nil || watch.sent && !follow {
			return
		}
		select {
		case <-changed:
			select { // what changes meanwhile is sent with it, after a shorter delay
			case <-time.After(d.delay):
			case <-r.Context().Done():
				return
			}
		case <-unchanged.C:
			if !silent && watch.sendUnchanged() != nil {
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
	since   uint64      // the newest revision that was sent
	looped  bool        // it has looked at the list before
	sent    bool        // a list was sent
	before  listMessage // the list that was sent last
}

// sendChanges sends what has changed, the whole list at first, unless discovery is silent. changed is closed at the next update.
func (d *discoveryWatch) sendChanges() (silent bool, changed <-chan struct{}, err error) {
	tier := d.agent.discovery
	tier.mu.Lock()
	silent, changed = tier.silent, tier.changed
	repeats := tier.repeats
	if d.since > tier.revision {
		d.since = 0 // of another discovery
	}
	list, states := tier.changesSince(d.since)
	tier.mu.Unlock()
	if silent || d.looped && len(states) == 0 {
		d.looped = true
		return silent, changed, nil
	}
	if err := d.send(list, repeats && d.looped); err != nil {
		return silent, changed, err
	}
	d.looped = true
	d.sent = true
	d.before = list
	d.since = list.Rev
	d.agent.recordNotifications(states)
	return silent, changed, nil
}

// send writes a list; with repeat the list before it and the same list again.
func (d *discoveryWatch) send(list listMessage, repeat bool) error {
	lists := []listMessage{list}
	if repeat {
		lists = append(lists, d.before, list)
	}
	for _, l := range lists {
		if err := d.encoder.Encode(l); err != nil {
			return err
		}
	}
	return d.control.Flush()
}

// sendUnchanged writes an empty line.
func (d *discoveryWatch) sendUnchanged() error {
	if _, err := io.WriteString(d.writer, "\n"); err != nil {
		return err
	}
	return d.control.Flush()
}

// recordNotifications records what the sidecar was notified of; where Consul has the list, what the platform sends does not count.
func (d *discoveryAgent) recordNotifications(states map[int]string) {
	r := d.discovery.rehearsal
	if r.plan.Discovery.Consul {
		return
	}
	now := r.now()
	for server, state := range states {
		r.record(audit.Event{
			At: now, Kind: audit.SidecarNotified, Sidecar: d.sidecar, Server: server, Text: state, Origin: -1,
		})
	}
}
