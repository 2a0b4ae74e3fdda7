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

// Members is the page /members.
type Members struct {
	Name      string               `json:"name"`
	Source    string               `json:"source"`
	Endpoints []endpointsource.Row `json:"endpoints"`
}

// Views returns the data of the pages. A page whose function is nil is not found.
type Views struct {
	Members func() (Members, bool)                   // false if the sidecar does not answer
	Peers   func(all bool) (peers.FleetReport, bool) // false if it looks for no peers
}

// Serve serves the views until stop is called; stop waits until the server has ended. The number of connections and their time are
// bounded, so that they can't exhaust the sidecar.
func Serve(address string, views Views) (stop func(), err error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: views.handler(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
	server.SetKeepAlivesEnabled(false)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(newBoundedListener(listener)) // ends with stop; after any other error the sidecar runs on without pages
	}()
	return func() {
		_ = server.Close() // its error is that of a connection that is closed anyway
		<-served
	}, nil
}

// listen opens an address. It replaces a socket that a killed process left.
func listen(address string) (net.Listener, error) {
	ctx := context.Background()
	network, target := splitAddress(address)
	if network == "unix" {
		if err := removeStale(ctx, target); err != nil {
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

// removeStale removes a socket that no process listens on. Anything else at the path is left for Listen to report.
func removeStale(ctx context.Context, path string) error {
	info, err := os.Lstat(path)
	if err != nil || info.Mode()&fs.ModeSocket == 0 {
		return nil // usually nothing is there; Listen reports what else is wrong with the path
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "unix", path)
	if err == nil {
		_ = c.Close() // nothing was sent on it
		return fmt.Errorf("admin: %s: another process listens there", path)
	}
	_ = os.Remove(path) // Listen reports it if the socket is still there
	return nil
}

// handler returns the handler of the pages that have a function.
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

func writeJSON(w http.ResponseWriter, page any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page) // fails only if the client is gone
}
