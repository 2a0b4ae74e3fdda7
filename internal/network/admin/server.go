package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"time"

	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/peers"
)

const (
	readTimeout    = 2 * time.Second
	writeTimeout   = 10 * time.Second
	maxHeaderBytes = 4 << 10
	socketMode     = 0o660
)

// Members is the content of the page /members.
type Members struct {
	Name      string               `json:"name"`
	Source    string               `json:"source"`
	Endpoints []endpointsource.Row `json:"endpoints"`
}

// Views has the functions that return the data of the pages. A page whose function is nil is answered with status 404.
type Views struct {
	Members func() (Members, bool)                   // returns false if the sidecar does not answer
	Peers   func(all bool) (peers.FleetReport, bool) // returns false if the view of peers is disabled
}

// Serve serves the views at an address until stop is called; stop waits until the server has ended. The number of connections and the time
// of each are bounded, so that clients can't exhaust the sidecar's resources. Serve fails if it can't listen on the address.
func Serve(address string, views Views) (stop func(), err error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: views.handler(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
	server.SetKeepAlivesEnabled(false)
	serverDone := make(chan struct{})
	go func() {
		defer close(serverDone)
		_ = server.Serve(newBoundedListener(listener)) // returns when stop is called; after any other error the sidecar continues without pages
	}()
	return func() {
		_ = server.Close() // an error concerns only the closing of a listener or a connection that is no longer used
		<-serverDone
	}, nil
}

// listen listens on an address. It replaces a Unix socket that a killed process has left behind, and fails if the address is in use or
// can't be opened.
func listen(address string) (net.Listener, error) {
	ctx := context.Background()
	network, target := splitAddress(address)
	if network == "unix" {
		if err := removeStaleSocket(ctx, target); err != nil {
			return nil, err
		}
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, network, target)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	if network == "unix" {
		if err := os.Chmod(target, socketMode); err != nil {
			return nil, fmt.Errorf("admin: %w", errors.Join(err, listener.Close()))
		}
	}
	return listener, nil
}

// removeStaleSocket removes a Unix socket that no process listens on. It fails if a process listens on it. Anything else at the path is left
// unchanged, so that Listen fails.
func removeStaleSocket(ctx context.Context, path string) error {
	info, err := os.Lstat(path)
	if err != nil || info.Mode()&fs.ModeSocket == 0 {
		return nil // the path usually does not exist; Listen reports any other problem with it
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "unix", path)
	if err == nil {
		_ = c.Close() // nothing was sent on it
		return fmt.Errorf("admin: %s: another process listens on this socket", path)
	}
	_ = os.Remove(path) // if the socket still exists, Listen fails
	return nil
}

// handler returns the HTTP handler of the pages whose function is set.
func (v Views) handler() http.Handler {
	mux := http.NewServeMux()
	if v.Members != nil {
		mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
			members, ok := v.Members()
			if !ok {
				http.Error(w, "the sidecar does not answer", http.StatusServiceUnavailable)
				return
			}
			writeJSON(w, members)
		})
	}
	if v.Peers != nil {
		mux.HandleFunc("GET /peers", func(w http.ResponseWriter, r *http.Request) {
			fleet, ok := v.Peers(r.URL.Query().Get("all") == "1")
			if !ok {
				http.Error(w, "this sidecar looks for no others: peers.peers_listen is not set", http.StatusNotFound)
				return
			}
			writeJSON(w, fleet)
		})
	}
	return mux
}

// writeJSON answers a request with a page as JSON.
func writeJSON(w http.ResponseWriter, page any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page) // fails only if the client has closed the connection
}
