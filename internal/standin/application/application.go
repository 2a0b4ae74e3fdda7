// Package application stands in for an application endpoint beside a sidecar: it works on requests in slots, tells the sidecar
// that it is there, drains and leaves in order, and remembers which attempts it ran.
package application

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Options are what an endpoint is made of.
type Options struct {
	ID, Service, Zone string
	Address           string   // to listen on
	Control           []string // where its beats go: its own sidecar first
	Outbound          string   // where its own calls go: its sidecar's address for requests
	Slots             int
	ServiceTime       time.Duration // of a request
	HeartbeatInterval time.Duration // between two beats
}

// Endpoint is one life.
type Endpoint struct {
	options      Options
	server       *http.Server
	mu           sync.Mutex
	executions   map[string]int // by attempt
	sequence     uint64
	draining     bool
	slots        chan struct{}
	stopped      chan struct{}
	stopOnce     sync.Once
	acknowledged chan struct{} // gets one when a beat was acknowledged
	gate         chan struct{} // requests wait here while it is not nil
	abandoned    int           // requests whose connections were closed while they waited
}

// Start begins a life.
func Start(o Options) (*Endpoint, error) {
	l, err := net.Listen("tcp4", o.Address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		options: o, executions: map[string]int{}, slots: make(chan struct{}, o.Slots), stopped: make(chan struct{}),
		acknowledged: make(chan struct{}, 1),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(l)
	go e.sendHeartbeats()
	return e, nil
}

// serve works on one request.
func (e *Endpoint) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if t := q.Header.Get("Target-Endpoint"); t != "" && t != e.options.ID {
		w.Header().Set("Answering-Endpoint", e.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
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
	e.mu.Lock()
	e.executions[id]++
	hold := e.gate
	e.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-q.Context().Done(): // its connection was closed
			e.mu.Lock()
			e.abandoned++
			e.mu.Unlock()
			return
		}
	}
	if e.options.ServiceTime > 0 {
		time.Sleep(e.options.ServiceTime)
	}
	if path := q.URL.Query().Get("call"); path != "" && !e.ownCall(q.Host, path, id) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Endpoint-Seal", e.options.ID+"."+id)
	defer writePadding(w, q.URL.Query().Get("bytes"))
	fmt.Fprintf(w, "%s %s %s %s from %s for %q: %d bytes", e.options.ID, e.options.Service, q.Method, q.RequestURI,
		q.Header.Get("Calling-Service"), q.Header.Get("Subscriber-Id"), len(body))
}

// ownCall makes a call of the endpoint's own, without a tenant's key, amid a request; it tells whether it was served.
func (e *Endpoint) ownCall(host, path, id string) bool {
	q, err := http.NewRequest(http.MethodGet, "http://"+e.options.Outbound+path, nil)
	if err != nil {
		return false
	}
	q.Host = host
	q.Header.Set("Attempt-Id", id+"-call")
	q.Header.Set("Time-Remaining", "1000")
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Do(q)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// writePadding makes an answer longer by as many bytes as a request's query asks for.
func writePadding(w io.Writer, bytes string) {
	if n, err := strconv.Atoi(bytes); err == nil && n > 0 {
		_, _ = w.Write(make([]byte, n))
	}
}

// Hold has requests that come from now on wait until the function that it returns is called.
func (e *Endpoint) Hold() (release func()) {
	hold := make(chan struct{})
	e.mu.Lock()
	e.gate = hold
	e.mu.Unlock()
	return sync.OnceFunc(func() {
		e.mu.Lock()
		e.gate = nil
		e.mu.Unlock()
		close(hold)
	})
}

// Abandoned is how many requests were given up while they were held: their connections were closed.
func (e *Endpoint) Abandoned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abandoned
}

// Executions is how often each attempt ran.
func (e *Endpoint) Executions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for id, n := range e.executions {
		out[id] = n
	}
	return out
}

func (e *Endpoint) sendHeartbeats() {
	t := time.NewTicker(e.options.HeartbeatInterval)
	defer t.Stop()
	for {
		if e.sendHeartbeat() {
			select {
			case e.acknowledged <- struct{}{}:
			default:
			}
		}
		select {
		case <-t.C:
		case <-e.stopped:
			return
		}
	}
}

// sendHeartbeat sends one beat to whoever takes it.
func (e *Endpoint) sendHeartbeat() bool {
	e.mu.Lock()
	e.sequence++
	state := "in_service"
	if e.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"serviceName": e.options.Service, "address": e.options.Address, "zone": e.options.Zone,
		"configVersion": "v1", "slotCount": e.options.Slots, "state": state, "coldRemaining": "0ms", "callSequence": e.sequence,
	})
	e.mu.Unlock()
	return e.postControl("keepalive", body)
}

func (e *Endpoint) postControl(what string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	for _, address := range e.options.Control {
		r, err := client.Post("http://"+address+"/endpoints/"+e.options.ID+"/"+what, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// Acknowledged gets a value when a beat has been acknowledged.
func (e *Endpoint) Acknowledged() <-chan struct{} { return e.acknowledged }

// Drain says that it is about to leave, and returns when that is acknowledged; false if nobody took it.
func (e *Endpoint) Drain() bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.sendHeartbeat()
}

// Deregister ends it in order: it deregisters, and is gone.
func (e *Endpoint) Deregister() bool {
	ok := e.postControl("deregister", nil)
	e.Crash()
	return ok
}

// Crash ends it without a word.
func (e *Endpoint) Crash() {
	e.stopOnce.Do(func() { close(e.stopped) })
	e.server.Close()
}
