package booking

import (
	"fmt"
	"io"
	"net/http"
)

// Endpoint is an HTTP server for booking requests on loopback.
type Endpoint struct {
	// Name appears in the endpoint's responses and is the UID of its Target.
	Name string
	// Serve handles a request; if it is nil, the endpoint responds at once with a summary of the request.
	Serve http.HandlerFunc

	server *server
}

// StartEndpoint starts an endpoint on a free loopback port. It fails if it cannot listen.
func StartEndpoint(name string, serve http.HandlerFunc) (*Endpoint, error) {
	e := &Endpoint{Name: name, Serve: serve}
	var err error
	if e.server, err = start("", e); err != nil {
		return nil, fmt.Errorf("start endpoint %s: %w", name, err)
	}
	return e, nil
}

// Target returns the endpoint's entry for a Discovery list.
func (e *Endpoint) Target() Target {
	return Target{UID: e.Name, Address: e.server.Address(), Zone: "z", Model: "m", Cell: 1, State: "Ready", Weight: 1}
}

// Close stops the endpoint and closes its connections.
func (e *Endpoint) Close() { e.server.Close() }

// ServeHTTP handles a request with Serve, or responds with a summary of the request if Serve is nil.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.Serve != nil {
		e.Serve(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "%s served %s %s (%d bytes)\n", e.Name, r.Method, r.URL.Path, len(body)) // fails if the client has disconnected
}
