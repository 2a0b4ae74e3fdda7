// Package application simulates an application endpoint that runs beside a sidecar, for tests. It serves requests in a limited number
// of slots, sends heartbeats to the sidecar's control address, drains and deregisters, and counts the executions of each attempt.
//
//	Start ── in_service ── Drain ── draining ── Deregister ── stopped
//	             └──────────── Crash ────────────────────────────┘
//
// It stores no configuration and verifies no certificates: all communication is plain HTTP on loopback.
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

// outboundCallTimeout is the timeout of a call that an endpoint makes through its sidecar.
const outboundCallTimeout = 2 * time.Second

// Options configures an endpoint. HeartbeatInterval must be above 0.
type Options struct {
	ID, Service, Zone string        // identity reported in heartbeats
	Address           string        // host:port to listen on, also reported in heartbeats
	Control           []string      // addresses that accept heartbeats, in the order of attempts: the endpoint's own sidecar first
	Outbound          string        // address of the sidecar for calls by the endpoint; empty if it makes none
	Slots             int           // maximum number of concurrent requests, above which requests are rejected
	ServiceTime       time.Duration // time that each request takes
	HeartbeatInterval time.Duration // interval between heartbeats
}

// Endpoint is one process of an application, from its start to its end.
type Endpoint struct {
	options      Options
	server       *http.Server
	slots        chan struct{} // holds a value for each request being served
	acknowledged chan struct{} // receives a value when a heartbeat has been acknowledged
	context      context.Context
	cancel       context.CancelFunc
	running      sync.WaitGroup // goroutines of the server and the heartbeats

	mu         sync.Mutex
	executions map[string]int // number of executions by attempt ID
	sequence   uint64         // sequence number of the latest heartbeat
	draining   bool
	gate       chan struct{} // channel on whose close requests wait; nil if requests are not held
	abandoned  int           // number of requests whose connections were closed while they waited for gate
}

// Start starts an endpoint that serves requests and sends heartbeats. It fails if the endpoint cannot listen. Stop the endpoint with
// Deregister or Crash.
func Start(options Options) (*Endpoint, error) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", options.Address)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start endpoint %s: %w", options.ID, err)
	}
	e := newEndpoint(ctx, cancel, options)
	e.running.Go(func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("endpoint %s: serve: %v", options.ID, err))
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

// serve handles one request. It rejects requests for other endpoints, and requests that arrive while all slots are occupied.
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
	if path := r.URL.Query().Get("call"); path != "" && !e.callOutbound(r.Context(), r.Host, path, attempt) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Endpoint-Seal", e.options.ID+"."+attempt)
	defer writePadding(w, r.URL.Query().Get("bytes"))
	_, _ = fmt.Fprintf(w, "%s %s %s %s from %s for %q: %d bytes", e.options.ID, e.options.Service, r.Method, r.RequestURI,
		r.Header.Get("Calling-Service"), r.Header.Get("Subscriber-Id"), len(body)) // fails if the client has disconnected; the execution counts
}

// execute counts an execution of an attempt, and takes the service time for it. It returns false if the connection was closed while the
// request waited for gate.
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

// callOutbound makes a call through the sidecar while the endpoint serves a request. The call carries no tenant key. callOutbound
// reports whether the call succeeded with status 200.
func (e *Endpoint) callOutbound(ctx context.Context, host, path, attempt string) bool {
	// The call continues if the request that caused it is canceled, as in a server that ignores cancellation.
	ctx = context.WithoutCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.options.Outbound+path, nil)
	if err != nil {
		return false
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt+"-call")
	request.Header.Set("Time-Remaining", "1000")
	client := http.Client{Timeout: outboundCallTimeout}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	return answer.Body.Close() == nil && answer.StatusCode == http.StatusOK
}

// writePadding appends zero bytes to a response. Their number is the decimal text bytes, a query parameter; invalid text counts as 0.
func writePadding(w io.Writer, bytes string) {
	if n, err := strconv.Atoi(bytes); err == nil && n > 0 {
		_, _ = w.Write(make([]byte, n)) // fails if the client has disconnected
	}
}

// Hold makes requests that arrive from now on wait until release is called.
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

// Abandoned returns the number of requests that ended while Hold made them wait, because their connections were closed.
func (e *Endpoint) Abandoned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abandoned
}

// Executions returns the number of executions of each attempt, by attempt ID.
func (e *Endpoint) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.executions)
}

// Crash stops the endpoint without notifying the control addresses: it closes the listener and all connections.
func (e *Endpoint) Crash() {
	e.cancel()
	_ = e.server.Close() // fails if the listener is closed already
	e.running.Wait()
}
