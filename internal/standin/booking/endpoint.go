package booking

import (
	"fmt"
	"io"
	"net/http"
)

// Endpoint serves bookings on loopback.
type Endpoint struct {
	// Name is in its answers, and the UID of its target.
	Name string
	// Serve answers a request; nil answers at once with what was asked.
	Serve http.HandlerFunc

	server *server
}

// StartEndpoint serves on a free loopback port.
func StartEndpoint(name string, serve http.HandlerFunc) (*Endpoint, error) {
	e := &Endpoint{Name: name, Serve: serve}
	var err error
	if e.server, err = start("", e); err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", name, err)
	}
	return e, nil
}

// Target returns the endpoint's entry for a discovery.
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
	_, _ = fmt.Fprintf(w, "%s served %s %s (%d bytes)\n", e.Name, r.Method, r.URL.Path, len(body)) // the client may be gone
}
