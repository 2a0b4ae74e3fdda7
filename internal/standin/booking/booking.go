// Package booking has small servers that stand in for an installation on
// loopback: a discovery that speaks the platform's protocol, and endpoints that
// serve bookings. They are for tests and for the demonstration.
package booking

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Target is one endpoint in discovery's list.
type Target struct {
	UID     string  `json:"uid"`
	Address string  `json:"endpoint"`
	Zone    string  `json:"az"`
	Model   string  `json:"model"`
	Cell    int     `json:"pod_group"`
	State   string  `json:"state"` // Ready, Terminating or Gone
	Weight  float64 `json:"capacity_hint"`
	BootMS  int64   `json:"boot_ms"`
}

type list struct {
	Revision uint64   `json:"rev"`
	Complete bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// watchInterval is how often a watch says that nothing has changed.
const watchInterval = 2 * time.Second

// Discovery serves the list of endpoints. Its zero value is not to be used.
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
	d := &Discovery{targets: map[string]Target{}, changed: make(chan struct{}), revision: 1}
	for _, t := range targets {
		d.put(t)
	}
	var err error
	d.server, err = start(address, d)
	return d, err
}

// Address is where it serves.
func (d *Discovery) Address() string { return d.server.Address() }

// Close ends it and all watches.
func (d *Discovery) Close() { d.server.Close() }

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

// snapshot is the whole list, and what closes when it changes.
func (d *Discovery) snapshot() (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Revision: d.revision, Complete: true, Targets: []Target{}}
	for _, uid := range d.order {
		if t := d.targets[uid]; t.State != "Gone" {
			l.Targets = append(l.Targets, t)
		}
	}
	return l, d.changed
}

// ServeHTTP answers GET /v1/endpoints, with follow=1 as a watch that sends whole lists.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.Token != "" && r.Header.Get("Authorization") != "Bearer "+d.Token {
		http.Error(w, "who are you?", http.StatusUnauthorized)
		return
	}
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	l, changed := d.snapshot()
	encoder := json.NewEncoder(w)
	encoder.Encode(l)
	if r.URL.Query().Get("follow") == "" {
		return
	}
	control := http.NewResponseController(w)
	still := time.NewTicker(watchInterval)
	defer still.Stop()
	for {
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
			l, changed = d.snapshot()
			encoder.Encode(l)
		case <-still.C:
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// Endpoint serves bookings.
type Endpoint struct {
	Name string
	// Serve answers a request; nil answers at once with what was asked.
	Serve http.HandlerFunc

	server *server
}

// StartEndpoint serves on a free loopback port.
func StartEndpoint(name string, serve http.HandlerFunc) (*Endpoint, error) {
	e := &Endpoint{Name: name, Serve: serve}
	var err error
	e.server, err = start("", e)
	return e, err
}

// Target is the endpoint's entry for a discovery.
func (e *Endpoint) Target() Target {
	return Target{UID: e.Name, Address: e.server.Address(), Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1}
}

// Close ends it and its connections.
func (e *Endpoint) Close() { e.server.Close() }

// ServeHTTP answers a booking.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.Serve != nil {
		e.Serve(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "%s served %s %s (%d bytes)\n", e.Name, r.Method, r.URL.Path, len(body))
}

// server is an HTTP server on a loopback address.
type server struct {
	listener net.Listener
	http     http.Server
	ended    chan struct{}
}

func start(address string, handler http.Handler) (*server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, ended: make(chan struct{})}
	s.http.Handler = handler
	go func() {
		defer close(s.ended)
		s.http.Serve(listener)
	}()
	return s, nil
}

func (s *server) Address() string { return s.listener.Addr().String() }

func (s *server) Close() {
	s.http.Close()
	<-s.ended
}
