package booking

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Target is one endpoint in the discovery list, in the format of the platform's protocol.
type Target struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"` // network address as host:port
	Zone    string  `json:"az"`
	Model   string  `json:"model"` // machine type
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"`         // lifecycle state: Ready, Terminating or Gone
	Weight  float64 `json:"capacity_hint"` // capacity relative to a target of weight 1
	BootMS  int64   `json:"boot_ms"`       // boot time in milliseconds since 1970; 0 if unknown
}

// stateGone marks a target that Discovery omits from its list.
const stateGone = "Gone"

// list is the body of a discovery response. This server always sends complete lists, never deltas.
type list struct {
	Revision uint64   `json:"rev"`
	Complete bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// watchInterval is the interval at which a watch sends an empty line while the list is unchanged.
const watchInterval = 2 * time.Second

// Discovery is an HTTP server for the list of endpoints. Create one with StartDiscovery. Apart from Token, it is safe for concurrent use.
type Discovery struct {
	// Token is the bearer token that callers must send; if it is empty, no token is required. Set it before the first request.
	Token string

	mu       sync.Mutex
	revision uint64
	targets  map[string]Target
	order    []string      // UIDs in the order in which they were first added
	changed  chan struct{} // closed and replaced at each change
	server   *server
}

// StartDiscovery starts a discovery server with the given targets. It listens on address (host:port), or on a free loopback port if
// address is empty, and fails if it cannot listen.
func StartDiscovery(address string, targets ...Target) (*Discovery, error) {
	d := newDiscovery()
	for _, t := range targets {
		d.put(t)
	}
	var err error
	if d.server, err = start(address, d); err != nil {
		return nil, fmt.Errorf("start discovery server: %w", err)
	}
	return d, nil
}

// newDiscovery returns an empty Discovery that does not listen.
func newDiscovery() *Discovery {
	return &Discovery{targets: map[string]Target{}, changed: make(chan struct{}), revision: 1}
}

// Address returns the host:port that the discovery listens on.
func (d *Discovery) Address() string { return d.server.Address() }

// Close stops the discovery and ends all watches.
func (d *Discovery) Close() { d.server.Close() }

// put adds or replaces the target with the same UID. The caller holds d.mu, unless d is not shared yet.
func (d *Discovery) put(t Target) {
	if _, ok := d.targets[t.UID]; !ok {
		d.order = append(d.order, t.UID)
	}
	d.targets[t.UID] = t
}

// Set adds or replaces targets and notifies watches. Targets in state Gone are omitted from the list.
func (d *Discovery) Set(targets ...Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		d.put(t)
	}
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// snapshot returns the complete list and a channel that is closed at the next change.
func (d *Discovery) snapshot() (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := list{Revision: d.revision, Complete: true, Targets: []Target{}}
	for _, uid := range d.order {
		if t := d.targets[uid]; t.State != stateGone {
			current.Targets = append(current.Targets, t)
		}
	}
	return current, d.changed
}

// ServeHTTP answers GET /v1/endpoints with the list. If the follow parameter is not empty, the response is a watch: a stream of complete
// lists.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.Token != "" && r.Header.Get("Authorization") != "Bearer "+d.Token {
		http.Error(w, "who are you?", http.StatusUnauthorized)
		return
	}
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	current, changed := d.snapshot()
	encoder := json.NewEncoder(w)
	if encoder.Encode(current) != nil || r.URL.Query().Get("follow") == "" {
		return
	}
	d.watch(r.Context(), w, encoder, changed)
}

// watch sends the list after each change, and an empty line every watchInterval, until the client disconnects.
func (d *Discovery) watch(ctx context.Context, w http.ResponseWriter, encoder *json.Encoder, changed chan struct{}) {
	controller := http.NewResponseController(w)
	keepalive := time.NewTicker(watchInterval)
	defer keepalive.Stop()
	for {
		if controller.Flush() != nil {
			return
		}
		var err error
		select {
		case <-changed:
			var current list
			current, changed = d.snapshot()
			err = encoder.Encode(current)
		case <-keepalive.C:
			_, err = io.WriteString(w, "\n")
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}
