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
	Work              time.Duration // of a request
	Every             time.Duration // between two beats
}

// Endpoint is one life.
type Endpoint struct {
	o         Options
	server    *http.Server
	mu        sync.Mutex
	runs      map[string]int // by attempt
	seq       uint64
	draining  bool
	slots     chan struct{}
	stop      chan struct{}
	once      sync.Once
	acked     chan struct{} // gets one when a beat was acknowledged
	hold      chan struct{} // requests wait here while it is not nil
	abandoned int           // requests whose connections were closed while they waited
}

// Start begins a life.
func Start(o Options) (*Endpoint, error) {
	l, err := net.Listen("tcp4", o.Address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		o: o, runs: map[string]int{}, slots: make(chan struct{}, o.Slots), stop: make(chan struct{}),
		acked: make(chan struct{}, 1),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(l)
	go e.beat()
	return e, nil
}

// serve works on one request.
func (e *Endpoint) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if t := q.Header.Get("Target-Endpoint"); t != "" && t != e.o.ID {
		w.Header().Set("Answering-Endpoint", e.o.ID)
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
	e.runs[id]++
	hold := e.hold
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
	if e.o.Work > 0 {
		time.Sleep(e.o.Work)
	}
	if path := q.URL.Query().Get("call"); path != "" && !e.ownCall(q.Host, path, id) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Endpoint-Seal", e.o.ID+"."+id)
	defer writePadding(w, q.URL.Query().Get("bytes"))
	fmt.Fprintf(w, "%s %s %s %s from %s for %q: %d bytes", e.o.ID, e.o.Service, q.Method, q.RequestURI,
		q.Header.Get("Calling-Service"), q.Header.Get("Subscriber-Id"), len(body))
}

// ownCall makes a call of the endpoint's own, without a tenant's key, amid a request; it tells whether it was served.
func (e *Endpoint) ownCall(host, path, id string) bool {
	q, err := http.NewRequest(http.MethodGet, "http://"+e.o.Outbound+path, nil)
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
	e.hold = hold
	e.mu.Unlock()
	return sync.OnceFunc(func() {
		e.mu.Lock()
		e.hold = nil
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

// Runs is how often each attempt ran.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

func (e *Endpoint) beat() {
	t := time.NewTicker(e.o.Every)
	defer t.Stop()
	for {
		if e.tell() {
			select {
			case e.acked <- struct{}{}:
			default:
			}
		}
		select {
		case <-t.C:
		case <-e.stop:
			return
		}
	}
}

// tell sends one beat to whoever takes it.
func (e *Endpoint) tell() bool {
	e.mu.Lock()
	e.seq++
	state := "in_service"
	if e.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"serviceName": e.o.Service, "address": e.o.Address, "zone": e.o.Zone,
		"configVersion": "v1", "slotCount": e.o.Slots, "state": state, "coldRemaining": "0ms", "callSequence": e.seq,
	})
	e.mu.Unlock()
	return e.call("keepalive", body)
}

func (e *Endpoint) call(what string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	for _, address := range e.o.Control {
		r, err := client.Post("http://"+address+"/endpoints/"+e.o.ID+"/"+what, "application/json", bytes.NewReader(body))
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

// Acked gets a value when a beat has been acknowledged.
func (e *Endpoint) Acked() <-chan struct{} { return e.acked }

// Drain says that it is about to leave, and returns when that is acknowledged; false if nobody took it.
func (e *Endpoint) Drain() bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.tell()
}

// Leave ends it in order: it deregisters, and is gone.
func (e *Endpoint) Leave() bool {
	ok := e.call("deregister", nil)
	e.Crash()
	return ok
}

// Crash ends it without a word.
func (e *Endpoint) Crash() {
	e.once.Do(func() { close(e.stop) })
	e.server.Close()
}
