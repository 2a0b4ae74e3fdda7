//go:build review

package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is a stand-in of an application's endpoint. It works as PROTOCOL.md says: it runs each request that reaches it for its own ID,
// and sends a beat to its own sidecar, or to the next machine that serves control if that one gives no answer.
type Endpoint struct {
	ID      string
	Slots   int
	machine *Machine
	server  *http.Server
	// Work is called for each request that runs, and returns the status and the body.
	Work func(r *http.Request, body []byte) (status int, answer []byte)
	// ReadBody is whether the body is kept for Work; without it the body is read and counted only.
	ReadBody bool

	mu       sync.Mutex
	runs     map[string]int // by Attempt-Id
	sequence int
	state    string
	stop     chan struct{}
	stopped  sync.Once
}

// NewEndpoint starts an endpoint on a machine. It begins to send beats.
func (m *Machine) NewEndpoint(id string, slots int, work func(r *http.Request, body []byte) (int, []byte)) (*Endpoint, error) {
	e := &Endpoint{ID: id, Slots: slots, machine: m, Work: work, runs: map[string]int{}, state: "in_service", stop: make(chan struct{})}
	listener, err := net.Listen("tcp4", m.App())
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	go e.beats()
	return e, nil
}

// Runs returns how often a request has run.
func (e *Endpoint) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// TotalRuns returns how many runs there were.
func (e *Endpoint) TotalRuns() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range e.runs {
		n += k
	}
	return n
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Endpoint"); target != "" && target != e.ID {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body []byte
	var err error
	var n int64
	if e.ReadBody {
		body, err = io.ReadAll(r.Body)
		n = int64(len(body))
	} else {
		n, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		return // the request has not arrived whole
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.machine.lab.Note("%s: runs %s (%s %s%s, body of %d bytes, from service %q, tenant %q)", e.ID, id, r.Method, r.Host, r.URL.Path, n,
		r.Header.Get("Calling-Service"), r.Header.Get("Subscriber-Id"))
	status, answer := e.Work(r, body)
	w.Header().Set("Endpoint-Seal", "seal-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// Beat sends one beat with a given sequence and state to an address, and reports whether it was acknowledged.
func (e *Endpoint) Beat(address string, sequence int, state string) bool {
	body, _ := json.Marshal(map[string]any{"serviceName": e.machine.Service, "address": e.machine.App(), "zone": e.machine.Zone,
		"configVersion": "v1", "slotCount": e.Slots, "state": state, "coldRemaining": "0ms", "callSequence": sequence})
	return e.post(address, "keepalive", body)
}

// Deregister sends the call that says that the endpoint is gone.
func (e *Endpoint) Deregister(address string) bool { return e.post(address, "deregister", nil) }

func (e *Endpoint) post(address, verb string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/endpoints/%s/%s", address, e.ID, verb), bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := beatClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

var beatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// NextSequence returns the next callSequence.
func (e *Endpoint) NextSequence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.sequence
}

// SetState changes the state in later beats.
func (e *Endpoint) SetState(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

// beats sends a beat about every keepalive.
func (e *Endpoint) beats() {
	for {
		e.mu.Lock()
		state := e.state
		e.mu.Unlock()
		sequence := e.NextSequence()
		if !e.Beat(e.machine.Control(), sequence, state) {
			for _, core := range e.machine.lab.Cores {
				if e.Beat(core.Control(), sequence, state) {
					break
				}
			}
		}
		select {
		case <-e.stop:
			return
		case <-time.After(1400 * time.Millisecond):
		}
	}
}

// StopBeats ends the beats; the endpoint serves on.
func (e *Endpoint) StopBeats() { e.stopped.Do(func() { close(e.stop) }) }

// Close ends the endpoint.
func (e *Endpoint) Close() {
	e.StopBeats()
	_ = e.server.Close()
}
