package consul

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Server is the stand-in. Its methods may be called by several goroutines.
type Server struct {
	// Token is what queries must carry; empty for none. It is set before the first query, and by SetToken after it.
	Token string

	mu           sync.Mutex
	index        uint64
	instances    []Instance // as of the latest change
	visible      []Instance // what queries see: instances, as of Fault.Lag ago
	visibleIndex uint64     // and the index then
	fault        Fault
	changed      chan struct{}   // closed to wake blocked queries
	queries      map[string]int  // how many have come, by resource
	answered     []answeredIndex // first answers of health with an index, which rises
	closing      chan struct{}   // closed by Close
	closed       bool

	listener   net.Listener
	httpServer http.Server
	served     chan struct{} // closed when nothing is accepted any more
}

// firstIndex is the index before the first change.
const firstIndex = 10

// Start serves on a loopback address, or on a free port if it is empty.
func Start(address string, instances ...Instance) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("consul stand-in: %w", err)
	}
	s := &Server{
		index: firstIndex, changed: make(chan struct{}), closing: make(chan struct{}), listener: listener,
		served: make(chan struct{}), queries: map[string]int{},
	}
	s.Update(func([]Instance) []Instance { return instances })
	s.httpServer.Handler = s
	go func() {
		defer close(s.served)
		_ = s.httpServer.Serve(listener) // ends with http.ErrServerClosed, for nothing else closes the listener
	}()
	return s, nil
}

// Address returns the host:port where it serves.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and all blocked queries.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	_ = s.httpServer.Close() // of the listener and its connections, which have no data that could be lost
	<-s.served
}

// wakeWatchers wakes all blocked queries. The caller holds s.mu.
func (s *Server) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Update changes the instances, and returns the index from which on answers have the change. A new instance, or one that was
// registered anew, gets that index as its CreateIndex; one that only changed keeps its own.
func (s *Server) Update(change func([]Instance) []Instance) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	before := map[string]uint64{}
	for _, i := range s.instances {
		before[i.key()] = i.createIndex
	}
	next := change(slices.Clone(s.instances))
	for n := range next {
		instance := &next[n]
		if instance.createIndex == 0 {
			instance.createIndex = cmp.Or(before[instance.key()], s.index)
		}
	}
	s.instances = next
	index := s.index
	if s.fault.Lag == 0 {
		s.visible, s.visibleIndex = next, index
		s.wakeWatchers()
		return index
	}
	time.AfterFunc(s.fault.Lag, func() { s.show(next, index) })
	return index
}

// show makes a change visible to queries, unless a later one is.
func (s *Server) show(instances []Instance, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > s.visibleIndex {
		s.visible, s.visibleIndex = instances, index
	}
	s.wakeWatchers()
}

// SetStatus sets the check of an instance, by its ID, and returns the index of the change as Update does.
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

// SetFault sets the faults of the server; the zero Fault ends all.
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

// SetToken changes the token that queries must carry, and wakes blocked queries.
func (s *Server) SetToken(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Token = token
	s.index++
	s.visibleIndex = s.index
	s.wakeWatchers()
}

// Queries returns how many queries have come, for health and for the catalogue.
func (s *Server) Queries() (health, catalog int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[resourceHealth], s.queries[resourceCatalog]
}

// answeredIndex is when an answer with an index went out.
type answeredIndex struct {
	index uint64
	at    time.Time
}

// maxAnswered bounds Server.answered.
const maxAnswered = 100000

// AnsweredAt returns when the first answer with an index, or a later one, went out; false if none has.
func (s *Server) AnsweredAt(index uint64) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, answer := range s.answered {
		if answer.index >= index {
			return answer.at, true
		}
	}
	return at, false
}

// recordAnswer records that an answer of health with an index goes out now.
func (s *Server) recordAnswer(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.answered); n < maxAnswered && (n == 0 || index > s.answered[n-1].index) {
		s.answered = append(s.answered, answeredIndex{index, time.Now()})
	}
}

// view is the state of the server for one query, with its lag and index faults applied.
type view struct {
	index     uint64
	instances []Instance
	fault     Fault
	changed   <-chan struct{}
	token     string
}

// view returns the present view.
func (s *Server) view() view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view{
		index:     s.visibleIndex - min(s.fault.IndexBack, s.visibleIndex-1),
		instances: s.visible, fault: s.fault, changed: s.changed, token: s.Token,
	}
}
