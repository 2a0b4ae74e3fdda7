// Package admin lets people look into a running sidecar: a read-only listener
// on loopback or on a Unix socket, off by default.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"quincegap/internal/config/schema"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/peers"
)

// Settings says where it listens.
type Settings struct{ Listen string }

// Table is [admin].
var Table = schema.NewTable("admin", "A read-only view for people; it is off unless it is set.",
	schema.String("admin_listen", func(s *Settings) *string { return &s.Listen },
		schema.StringOptions{Example: "unix:/run/quincegap/front.sock", Type: "address", Bounds: "unix:PATH, or host:port on loopback", Fault: badAddress}, schema.AtStart,
		"Where quincegapctl members asks. A Unix socket is open to this user and group only; on loopback everybody on the machine can read it."),
)

// badAddress refuses addresses that others than this machine could reach.
func badAddress(text string) string {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		if path == "" || len(path) > 100 {
			return "names no path of a socket, or one of over 100 characters"
		}
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	ip := net.ParseIP(host)
	switch {
	case err != nil || port == "" || strings.Trim(port, "0123456789") != "":
		return "is neither unix:PATH nor host:port"
	case ip == nil || !ip.IsLoopback():
		return "is not on loopback; others could read it"
	}
	return ""
}

// Members is what the view shows.
type Members struct {
	Name      string               `json:"name"`
	Source    string               `json:"source"`
	Endpoints []endpointsource.Row `json:"endpoints"`
}

// Views are what is served. Those that are nil are not found.
type Views struct {
	Members func() (Members, bool)                   // false where the sidecar does not answer
	Peers   func(all bool) (peers.FleetReport, bool) // false where it looks for no others
}

// Serve serves the views until stop is called. It holds few connections, each for a short time: nobody can use
// it up.
func Serve(address string, views Views) (stop func(), err error) {
	network, at := "tcp", address
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		network, at = "unix", path
		// A socket that a killed process left is in the way; anything else at that path is not ours to remove.
		if info, err := os.Lstat(path); err == nil && info.Mode()&fs.ModeSocket != 0 {
			if c, err := net.Dial("unix", path); err == nil {
				c.Close()
				return nil, fmt.Errorf("admin: %s: another process listens there", path)
			}
			os.Remove(path)
		}
	}
	listener, err := net.Listen(network, at)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	if network == "unix" {
		if err := os.Chmod(at, 0o660); err != nil {
			listener.Close()
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	mux := http.NewServeMux()
	give := func(w http.ResponseWriter, what any, fault string, status int) {
		if fault != "" {
			http.Error(w, fault, status)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(what)
	}
	if views.Members != nil {
		mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
			m, ok := views.Members()
			fault := ""
			if !ok {
				fault = "the sidecar does not answer"
			}
			give(w, m, fault, http.StatusServiceUnavailable)
		})
	}
	if views.Peers != nil {
		mux.HandleFunc("GET /peers", func(w http.ResponseWriter, r *http.Request) {
			f, ok := views.Peers(r.URL.Query().Get("all") == "1")
			fault := ""
			if !ok {
				fault = "this sidecar looks for no others: peers.peers_listen is not set"
			}
			give(w, f, fault, http.StatusNotFound)
		})
	}
	s := &http.Server{Handler: mux, ReadTimeout: 2 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 4 << 10}
	s.SetKeepAlivesEnabled(false)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Serve(&boundedListener{Listener: listener, slots: make(chan struct{}, maxConns)})
	}()
	return func() {
		s.Close()
		<-ended
	}, nil
}

// maxConns bounds the connections to the view, which come out of the reserved sockets.
const maxConns = 4

// boundedListener is a listener that holds few connections at once; further ones wait in the backlog.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

func (f *boundedListener) Accept() (net.Conn, error) {
	f.slots <- struct{}{}
	c, err := f.Listener.Accept()
	if err != nil {
		<-f.slots
		return nil, err
	}
	return &boundedConn{Conn: c, release: func() { <-f.slots }}, nil
}

type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

func (o *boundedConn) Close() error {
	defer o.once.Do(o.release) // net/http may close twice
	return o.Conn.Close()
}

const maxAnswerBytes = 64 << 20

// AskMembers asks a sidecar's view.
func AskMembers(address string) (m Members, err error) {
	err = get(address, "members", &m)
	return m, err
}

// AskPeers asks a sidecar for its view of the others; with all, for theirs too.
func AskPeers(address string, all bool) (f peers.FleetReport, err error) {
	what := "peers"
	if all {
		what = "peers?all=1"
	}
	err = get(address, what, &f)
	return f, err
}

func get(address, what string, into any) error {
	dial := (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	network, at := "tcp", address
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		network, at = "unix", path
	}
	c := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialTo(dial, network, at)}}
	res, err := c.Get("http://sidecar/" + what)
	if err != nil {
		return errors.Unwrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(res.Body, 300))
		return fmt.Errorf("%s answered %s: %s", address, res.Status, strings.TrimSpace(string(why)))
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(into)
}

type dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// dialTo dials one address, whatever is asked for.
func dialTo(dial dialer, network, address string) dialer {
	return func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx, network, address) }
}
