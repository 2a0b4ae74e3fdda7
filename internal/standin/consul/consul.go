// Package consul is a stand-in for a Consul agent, written from the public
// pages of Consul's HTTP API (Health, Catalog, Blocking Queries, Consistency
// Modes). It serves two reads over loopback, and does wrong on demand. It is
// for tests and for people to try; no Consul is involved.
package consul

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Check is a health check's result.
type Check struct {
	CheckID string
	Name    string
	Status  string // passing, warning or critical
}

// Instance is one instance of a service, on a node.
type Instance struct {
	Service       string // of one service alone; of all if empty
	Node          string
	ID            string
	Address       string
	Port          int
	Meta          map[string]string
	Tags          []string
	PassingWeight int // weights; 1 if 0
	WarningWeight int
	Checks        []Check

	createIndex uint64
}

// WithAddress fills in where an instance is from a host:port.
func (i Instance) WithAddress(hostPort string) Instance {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil {
		panic(err)
	}
	i.Address = host
	i.Port, _ = strconv.Atoi(port)
	return i
}

// Fault is a way of doing wrong.
type Fault struct {
	Hang        bool          // answer nothing, until the fault is gone
	Refuse      bool          // close the connection at once
	Status      int           // answer with this status
	Reset       bool          // reset in the middle of the body
	Truncate    bool          // end the body in the middle, as if it were whole
	Empty       bool          // an empty list with 200, from health and, unless CatalogUnaffected, from the catalogue
	FirstHalf   bool          // the first half of the list, likewise
	NoLeader    bool          // X-Consul-KnownLeader: false
	NoIndex     bool          // no X-Consul-Index
	ContentHash bool          // X-Consul-ContentHash in place of it, to block on
	LastContact time.Duration // X-Consul-LastContact of stale reads
	Lag         time.Duration // changes are seen so late
	IndexBack   uint64        // the index is so much lower than it was
	Body        string        // this instead of the list
	// CatalogUnaffected says that the catalogue is right all the same, CatalogHangs that it answers nothing.
	CatalogUnaffected bool
	CatalogHangs      bool
}

// Server is the stand-in.
type Server struct {
	Token string // that questions must carry; none if empty. Guarded by Set

	mu           sync.Mutex
	index        uint64
	instances    []Instance
	visible      []Instance // as of Lag ago
	visibleIndex uint64     // and the index then
	fault        Fault
	changed      chan struct{}
	queries      map[string]int  // questions by path's second part: health, catalog
	answered     []answeredIndex // answers with ever higher indexes
	closing      chan struct{}
	closed       bool

	listener   net.Listener
	httpServer http.Server
	served     chan struct{}
}

// Start serves on a loopback address, or on a free port if it is empty.
func Start(address string, instances ...Instance) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{index: 10, changed: make(chan struct{}), closing: make(chan struct{}), listener: listener, served: make(chan struct{}), queries: map[string]int{}}
	s.Update(func(all []Instance) []Instance { return instances })
	s.httpServer.Handler = s
	go func() {
		defer close(s.served)
		s.httpServer.Serve(listener)
	}()
	return s, nil
}

// Address is where it serves.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends it.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	s.httpServer.Close()
	<-s.served
}

// wakeWatchers lets all held questions look again. The lock is held.
func (s *Server) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Update changes the instances, and returns the index that tells of it. A new instance, or one that was
// registered anew, gets that index as its CreateIndex; one that only changed keeps its own.
func (s *Server) Update(change func([]Instance) []Instance) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	before := map[string]uint64{}
	for _, i := range s.instances {
		before[i.Node+"/"+i.ID] = i.createIndex
	}
	next := change(slices.Clone(s.instances))
	for n := range next {
		if next[n].createIndex == 0 {
			if next[n].createIndex = before[next[n].Node+"/"+next[n].ID]; next[n].createIndex == 0 {
				next[n].createIndex = s.index
			}
		}
	}
	s.instances = next
	index := s.index
	if s.fault.Lag == 0 {
		s.visible, s.visibleIndex = next, index
		s.wakeWatchers()
		return index
	}
	time.AfterFunc(s.fault.Lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if index > s.visibleIndex {
			s.visible, s.visibleIndex = next, index
		}
		s.wakeWatchers()
	})
	return index
}

// SetStatus sets the check of an instance, by its ID.
func (s *Server) SetStatus(id, status string) uint64 {
	return s.Update(func(all []Instance) []Instance {
		for n := range all {
			if all[n].ID == id {
				all[n].Checks = []Check{{CheckID: "service:" + id, Name: "up", Status: status}}
			}
		}
		return all
	})
}

// SetFault changes how it does wrong; the zero Fault does right.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.index++
	if f.Lag == 0 {
		s.visible, s.visibleIndex = s.instances, s.index
	}
	s.wakeWatchers()
}

// SetToken changes the token that questions must carry. Questions that are held are answered as before.
func (s *Server) SetToken(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Token = token
	s.index++
	s.visibleIndex = s.index
	s.wakeWatchers()
}

// Queries is how many questions came, for health and for the catalogue.
func (s *Server) Queries() (health, catalog int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries["health"], s.queries["catalog"]
}

// answeredIndex is when an answer went out.
type answeredIndex struct {
	index uint64
	at    time.Time
}

// maxAnswered bounds what is kept of answers.
const maxAnswered = 100000

// AnsweredAt is when the first answer went out that told of an index; false if none has.
func (s *Server) AnsweredAt(index uint64) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.answered {
		if t.index >= index {
			return t.at, true
		}
	}
	return at, false
}

// view is what a question sees now.
func (s *Server) view() (index uint64, all []Instance, f Fault, changed chan struct{}, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.visibleIndex - min(s.fault.IndexBack, s.visibleIndex-1), s.visible, s.fault, s.changed, s.Token
}

// ServeHTTP answers GET /v1/health/service/:service and /v1/catalog/service/:service.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) != 4 || parts[0] != "v1" || parts[2] != "service" || parts[1] != "health" && parts[1] != "catalog" {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	s.queries[parts[1]]++
	s.mu.Unlock()
	q := r.URL.Query()
	last, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait <= 0 {
		wait = 5 * time.Minute
	}
	wait = min(wait, 10*time.Minute)
	deadline := time.NewTimer(wait + rand.N(wait/16+1))
	defer deadline.Stop()
	for {
		index, all, fault, changed, token := s.view()
		if token != "" && r.Header.Get("X-Consul-Token") != token {
			http.Error(w, "Permission denied: token lacks permission 'service:read'", http.StatusForbidden)
			return
		}
		same := last > 0 && index <= last && fault.IndexBack == 0 || q.Get("hash") != "" && q.Get("hash") == contentHash(index)
		hangs := fault.Hang || fault.CatalogHangs && parts[1] == "catalog"
		if same || hangs {
			limit := deadline.C
			if hangs {
				limit = nil
			}
			select {
			case <-changed:
				continue
			case <-limit:
			case <-r.Context().Done():
				return
			case <-s.closing:
				return
			}
		}
		all = slices.DeleteFunc(slices.Clone(all), func(i Instance) bool { return i.Service != "" && i.Service != parts[3] })
		s.answer(w, r, parts[1], index, all, fault)
		return
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, sort string, index uint64, all []Instance, f Fault) {
	if f.Refuse {
		panic(http.ErrAbortHandler)
	}
	if f.Status != 0 {
		http.Error(w, "as the script says", f.Status)
		return
	}
	if sort == "health" || !f.CatalogUnaffected {
		if f.Empty {
			all = nil
		}
		if f.FirstHalf {
			all = all[:len(all)/2]
		}
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	switch {
	case f.ContentHash:
		h.Set("X-Consul-ContentHash", contentHash(index))
	case !f.NoIndex:
		h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	}
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(!f.NoLeader))
	contact := f.LastContact
	if !r.URL.Query().Has("stale") {
		contact = 0
	}
	h.Set("X-Consul-LastContact", strconv.FormatInt(contact.Milliseconds(), 10))
	body := []byte(f.Body)
	if f.Body == "" || sort == "catalog" && f.CatalogUnaffected {
		body = encode(sort, all)
	}
	if f.Reset || f.Truncate {
		if f.Reset {
			h.Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.Write(body[:len(body)/2])
		if f.Reset {
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		return
	}
	w.Write(body)
	if sort == "health" {
		s.mu.Lock()
		if n := len(s.answered); n < maxAnswered && (n == 0 || index > s.answered[n-1].index) {
			s.answered = append(s.answered, answeredIndex{index, time.Now()})
		}
		s.mu.Unlock()
	}
}

// contentHash stands for the hash of what an index has: all that matters is that it changes with it.
func contentHash(index uint64) string { return fmt.Sprintf("%016x", index*0x9e3779b97f4a7c15) }

func encode(sort string, all []Instance) []byte {
	type m = map[string]any
	list := []m{}
	for _, i := range all {
		if sort == "catalog" {
			list = append(list, m{
				"Node": i.Node, "Address": i.Address, "Datacenter": "dc1", "ServiceID": i.ID, "ServiceAddress": i.Address,
				"ServicePort": i.Port, "ServiceMeta": i.Meta, "ServiceTags": i.Tags, "CreateIndex": i.createIndex,
			})
			continue
		}
		checks := []m{{"Node": i.Node, "CheckID": "serfHealth", "Name": "Serf Health Status", "Status": "passing", "Output": "Agent alive and reachable"}}
		for _, c := range i.Checks {
			checks = append(checks, m{"Node": i.Node, "CheckID": c.CheckID, "Name": c.Name, "Status": c.Status, "ServiceID": i.ID})
		}
		list = append(list, m{
			"Node": m{"ID": "", "Node": i.Node, "Address": i.Address, "Datacenter": "dc1"},
			"Service": m{
				"ID": i.ID, "Service": "service", "Address": i.Address, "Port": i.Port, "Meta": i.Meta, "Tags": i.Tags,
				"Weights": m{"Passing": max(i.PassingWeight, 1), "Warning": i.WarningWeight}, "CreateIndex": i.createIndex, "ModifyIndex": i.createIndex,
			},
			"Checks": checks,
		})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprint(err))
	}
	return text
}
