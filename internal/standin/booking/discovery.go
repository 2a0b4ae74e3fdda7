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

// Target is one endpoint in discovery's list, as the platform's protocol has it.
type Target struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"` // host:port
	Zone    string  `json:"az"`
	Model   string  `json:"model"` // kind of machine
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"`         // Ready, Terminating or Gone
	Weight  float64 `json:"capacity_hint"` // relative to 1
	BootMS  int64   `json:"boot_ms"`       // milliseconds since 1970; 0 for not known
}

// stateGone is the state of a target that has left the list.
const stateGone = "Gone"

// list is an answer of discovery: always complete here, never only a change.
type list struct {
	Revision uint64   `json:"rev"`
	Complete bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// watchInterval is how often a watch sends an empty line if nothing has changed.
const watchInterval = 2 * time.Second

// Discovery serves the list of endpoints. Use StartDiscovery to get one.
type Discovery struct {
	// Token is the bearer token that callers must show; none if empty.
	Token string

	mu       sync.Mutex
	revision uint64
	targets  map[string]Target
	order    []string
	changed  chan struct{} // closed at the next change
	server   *server
}

// StartDiscovery serves on a loopback address, or on a free port if it is empty.
func StartDiscovery(address string, targets ...Target) (*Discovery, error) {
	d := newDiscovery()
	for _, t := range targets {
		d.put(t)
	}
	var err error
	if d.server, err = start(address, d); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return d, nil
}

func newDiscovery() *Discovery {
	return &Discovery{targets: map[string]Target{}, changed: make(chan struct{}), revision: 1}
}

// Address returns the host:port where it serves.
func (d *Discovery) Address() string { return d.server.Address() }

// Close ends the discovery and all watches.
func (d *Discovery) Close() { d.server.Close() }

// put adds or replaces an entry. The caller holds d.mu, or is alone.
func (d *Discovery) put(t Target) {
	if _, ok := d.targets[t.UID]; !ok {
		d.order = append(d.order, t.UID)
	}
	d.targets[t.UID] = t
}

// Set changes entries; one that is Gone leaves the list.
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

// snapshot returns the complete list, and a channel that is closed at the next change.
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

// ServeHTTP answers GET /v1/endpoints, with follow=1 as a watch that sends complete lists.
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

// watch sends the list after each change, and an empty line each watchInterval, until the caller has gone.
func (d *Discovery) watch(ctx context.Context, w http.ResponseWriter, encoder *json.Encoder, changed chan struct{}) {
	control := http.NewResponseController(w)
	unchanged := time.NewTicker(watchInterval)
	defer unchanged.Stop()
	for {
		if control.Flush() != nil {
			return
		}
		var err error
		select {
		case <-changed:
			var current list
			current, changed = d.snapshot()
			err = encoder.Encode(current)
		case <-unchanged.C:
			_, err = io.WriteString(w, "\n")
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}
