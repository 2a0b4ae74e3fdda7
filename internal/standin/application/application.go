// Package application stands in for an application endpoint beside a sidecar, for tests. It works on requests in slots, sends
// heartbeats to the sidecar's control address, drains and deregisters, and counts how often each attempt ran.
//
//	Start ── in_service ── Drain ── draining ── Deregister ── stopped
//	             └──────────── Crash ────────────────────────────┘
//
// It keeps no configuration and checks no certificate: all of it is plain HTTP on loopback.
package application

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ownCallTimeout bounds a call that an endpoint makes itself.
const ownCallTimeout = 2 * time.Second

// Options are the options of an endpoint. HeartbeatInterval must be above 0.
type Options struct {
	ID, Service, Zone string        // as its heartbeats have them
	Address           string        // host:port to listen on
	Control           []string      // addresses that take heartbeats, in the order in which they are tried: its own sidecar first
	Outbound          string        // address of its sidecar for its own calls; empty if it makes none
	Slots             int           // requests that it works on at once; further ones are rejected
	ServiceTime       time.Duration // of a request
	HeartbeatInterval time.Duration
}

// Endpoint is one process of an application, from its start to its end.
type Endpoint struct {
	options      Options
	server       *http.Server
	slots        chan struct{}
	acknowledged chan struct{} // gets a value when a heartbeat was acknowledged
	context      context.Context
	cancel       context.CancelFunc
	running      sync.WaitGroup // the server and the heartbeats

	mu         sync.Mutex
	executions map[string]int // by attempt
	sequence   uint64         // of heartbeats
	draining   bool
	gate       chan struct{} // requests wait for it to be closed; nil for none
	abandoned  int           // requests whose connections were closed while they waited at the gate
}

// Start listens, and begins to serve and to send heartbeats. Deregister or Crash ends it.
func Start(options Options) (*Endpoint, error) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", options.Address)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("endpoint %s: %w", options.ID, err)
	}
	e := newEndpoint(ctx, cancel, options)
	e.running.Go(func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("endpoint %s: %v", options.ID, err))
		}
	})
	e.running.Go(e.sendHeartbeats)
	return e, nil
}

// newEndpoint returns an endpoint that neither listens nor sends heartbeats.
func newEndpoint(ctx context.Context, cancel context.CancelFunc, options Options) *Endpoint {
	e := &Endpoint{
		options: options, slots: make(chan struct{}, options.Slots), acknowledged: make(chan struct{}, 1),
		context: ctx, cancel: cancel, executions: map[string]int{},
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	return e
}

// serve works on one request.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if target := r.Header.Get("Target-Endpoint"); target != "" && target != e.options.ID {
		w.Header().Set("Answering-Endpoint", e.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case e.slots <- struct{}{}:
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	if !e.execute(r.Context(), attempt) {
		return
	}
	if path := r.URL.Query().Get("call"); path != "" && !e.ownCall(r.Context(), r.Host, path, attempt) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Endpoint-Seal", e.options.ID+"."+attempt)
	defer writePadding(w, r.URL.Query().Get("bytes"))
	_, _ = fmt.Fprintf(w, "%s %s %s %s from %s for %q: %d bytes", e.options.ID, e.options.Service, r.Method, r.RequestURI,
		r.Header.Get("Calling-Service"), r.Header.Get("Subscriber-Id"), len(body)) // the client may be gone: the run counts
}

// execute counts an attempt and works on it; false if its connection was closed while it waited at the gate.
func (e *Endpoint) execute(ctx context.Context, attempt string) bool {
	e.mu.Lock()
	e.executions[attempt]++
	gate := e.gate
	e.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			e.mu.Lock()
			e.abandoned++
			e.mu.Unlock()
			return false
		}
	}
	if e.options.ServiceTime > 0 {
		time.Sleep(e.options.ServiceTime)
	}
	return true
}

// ownCall makes a call of the endpoint's own, without a tenant's key, amid a request; it reports whether the call was served.
func (e *Endpoint) ownCall(ctx context.Context, host, path, attempt string) bool {
	// The call goes on if the request that it belongs to is canceled, as in a server that ignores cancellation.
	ctx = context.WithoutCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.options.Outbound+path, nil)
	if err != nil {
		return false
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt+"-call")
	request.Header.Set("Time-Remaining", "1000")
	client := http.Client{Timeout: ownCallTimeout}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	return answer.Body.Close() == nil && answer.StatusCode == http.StatusOK
}

// writePadding appends the number of bytes to an answer that a request's query asks for.
func writePadding(w io.Writer, bytes string) {
	if n, err := strconv.Atoi(bytes); err == nil && n > 0 {
		_, _ = w.Write(make([]byte, n)) // the client may be gone
	}
}

// Hold makes requests that come from now on wait until the function that it returns is called.
func (e *Endpoint) Hold() (release func()) {
	gate := make(chan struct{})
	e.mu.Lock()
	e.gate = gate
	e.mu.Unlock()
	return sync.OnceFunc(func() {
		e.mu.Lock()
		e.gate = nil
		e.mu.Unlock()
		close(gate)
	})
}

// Abandoned returns how many requests were given up while Hold kept them: their connections were closed.
func (e *Endpoint) Abandoned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abandoned
}

// Executions returns how often each attempt ran.
func (e *Endpoint) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.executions)
}

// Crash ends the endpoint without a message to anybody: its listener and connections are closed.
func (e *Endpoint) Crash() {
	e.cancel()
	_ = e.server.Close() // a listener that can't be closed again has been closed before
	e.running.Wait()
}
