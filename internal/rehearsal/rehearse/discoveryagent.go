package rehearse

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"quincegap/internal/rehearsal/audit"
)

// watchInterval is the interval at which a watch sends an empty line while nothing changes.
const watchInterval = 2 * time.Second

// discoveryAgent serves the server list of a tier to one sidecar.
type discoveryAgent struct {
	discovery *tierDiscovery
	sidecar   int           // index of the sidecar
	delay     time.Duration // delay from an update to its notification
	server    http.Server
	served    chan struct{} // closed when the agent no longer accepts connections
}

// close stops the agent and all watches.
func (d *discoveryAgent) close() {
	_ = d.server.Close() // closing the listener and connections loses no data
	<-d.served
}

// startDiscoveryAgent starts the agent of a sidecar at the discovery address in the sidecar's settings. It fails if the address is not
// available.
func startDiscoveryAgent(tier *tierDiscovery, sidecar int, delay time.Duration) (*discoveryAgent, error) {
	listener, err := tier.rehearsal.listen(tier.rehearsal.discoveryAddress(sidecar))
	if err != nil {
		return nil, err
	}
	agent := &discoveryAgent{served: make(chan struct{}), discovery: tier, sidecar: sidecar, delay: delay}
	agent.server.Handler = agent
	go func() {
		defer close(agent.served)
		_ = agent.server.Serve(listener) // returns http.ErrServerClosed: only Close closes the listener
	}()
	return agent, nil
}

// ServeHTTP serves GET /v1/endpoints, as a watch if the query has follow. It sends nothing while discovery is silent.
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
			select { // changes during the delay are sent with this one, and so earlier than their own delay
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

// discoveryWatch is one response of an agent: a single list, or a stream of changes while the client follows.
type discoveryWatch struct {
	agent   *discoveryAgent
	writer  io.Writer
	encoder *json.Encoder
	control *http.ResponseController
	since   uint64      // newest revision sent, or the one requested at first
	polled  bool        // whether the list was examined before
	sent    bool        // whether a list was sent
	last    listMessage // the last list sent
}

// sendChanges sends the changes since the last revision sent, or the complete list if there is none, unless discovery is silent. The
// channel changed is closed at the next update.
func (d *discoveryWatch) sendChanges() (silent bool, changed <-chan struct{}, err error) {
	tier := d.agent.discovery
	tier.mu.Lock()
	silent, changed = tier.silent, tier.changed
	repeats := tier.repeats
	if d.since > tier.revision {
		d.since = 0 // a revision of another discovery instance
	}
	list, states := tier.changesSince(d.since)
	tier.mu.Unlock()
	if silent || d.polled && len(states) == 0 {
		d.polled = true
		return silent, changed, nil
	}
	if err := d.send(list, repeats && d.polled); err != nil {
		return silent, changed, err
	}
	d.polled = true
	d.sent = true
	d.last = list
	d.since = list.Rev
	d.agent.recordNotifications(states)
	return silent, changed, nil
}

// send writes a list; with repeat, the previous list and the same list again follow.
func (d *discoveryWatch) send(list listMessage, repeat bool) error {
	lists := []listMessage{list}
	if repeat {
		lists = append(lists, d.last, list)
	}
	for _, l := range lists {
		if err := d.encoder.Encode(l); err != nil {
			return err
		}
	}
	return d.control.Flush()
}

// sendUnchanged writes an empty line, which tells the client that nothing has changed.
func (d *discoveryWatch) sendUnchanged() error {
	if _, err := io.WriteString(d.writer, "\n"); err != nil {
		return err
	}
	return d.control.Flush()
}

// recordNotifications records the states that the sidecar was notified of. It records nothing if the scenario uses Consul, because
// sidecars then get the list from Consul and not from the platform.
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
