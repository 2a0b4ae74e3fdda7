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

// Server is the simulated Consul agent. Its methods are safe for concurrent use.
type Server struct {
	// Token is the token that queries must carry; if it is empty, none is required. After the first query, change it only with SetToken.
	Token string

	mu           sync.Mutex
	index        uint64
	instances    []Instance // instances as of the latest change
	visible      []Instance // instances that queries return: those of Fault.Lag ago
	visibleIndex uint64     // index of visible
	fault        Fault
	changed      chan struct{}  // closed and replaced to wake blocked queries
	queries      map[string]int // number of queries received, by resource
	answerTimes  []answerTime   // times of the first health response for each index, by rising index
	closing      chan struct{}  // closed by Close
	closed       bool

	listener   net.Listener
	httpServer http.Server
	served     chan struct{} // closed when the server has stopped accepting connections
}

// firstIndex is the index before the first change.
const firstIndex = 10

// Start starts a server with the given instances. It listens on address (host:port), or on a free loopback port if address is empty, and
// fails if it cannot listen.
func Start(address string, instances ...Instance) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start consul stand-in: %w", err)
	}
	s := &Server{
		index: firstIndex, changed: make(chan struct{}), closing: make(chan struct{}), listener: listener,
		served: make(chan struct{}), queries: map[string]int{},
	}
	s.Update(func([]Instance) []Instance { return instances })
	s.httpServer.Handler = s
	go func() {
		defer close(s.served)
		_ = s.httpServer.Serve(listener) // always http.ErrServerClosed: only Close closes the listener
	}()
	return s, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and ends all blocked queries. It may be called more than once.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	_ = s.httpServer.Close() // an error is harmless: the listener and connections hold no data to lose
	<-s.served
}

// wakeBlockedQueries wakes all blocked queries. The caller holds s.mu.
func (s *Server) wakeBlockedQueries() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Update replaces the instances with the result of change, and returns the index from which responses include the change. An instance that
// is new or was registered again gets that index as its CreateIndex; one that was only modified keeps its CreateIndex.
func (s *Server) Update(change func([]Instance) []Instance) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	createIndexes := map[string]uint64{}
	for _, i := range s.instances {
		createIndexes[i.key()] = i.createIndex
	}
	next := change(slices.Clone(s.instances))
	for n := range next {
		instance := &next[n]
		if instance.createIndex == 0 {
			instance.createIndex = cmp.Or(createIndexes[instance.key()], s.index)
		}
	}
	s.instances = next
	index := s.index
	if s.fault.Lag == 0 {
		s.visible, s.visibleIndex = next, index
		s.wakeBlockedQueries()
		return index
	}
	time.AfterFunc(s.fault.Lag, func() { s.makeVisible(next, index) })
	return index
}

// makeVisible makes a change visible to queries, unless a later change is visible already.
func (s *Server) makeVisible(instances []Instance, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > s.visibleIndex {
		s.visible, s.visibleIndex = instances, index
	}
	s.wakeBlockedQueries()
}

// SetStatus replaces the checks of the instance with the given ID by one check with a status. It returns the index of the change, like
// Update.
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

// SetFault replaces the faults of the server and wakes blocked queries; the zero Fault removes all faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.index++
	if f.Lag == 0 {
		s.visible, s.visibleIndex = s.instances, s.index
	}
	s.wakeBlockedQueries()
}

// SetToken changes the token that queries must carry, and wakes blocked queries.
func (s *Server) SetToken(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Token = token
	s.index++
	s.visibleIndex = s.index
	s.wakeBlockedQueries()
}

// Queries returns the numbers of health and catalog queries received so far.
func (s *Server) Queries() (health, catalog int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[resourceHealth], s.queries[resourceCatalog]
}

// answerTime is the time at which a response with an index was sent.
type answerTime struct {
	index uint64
	at    time.Time
}

// maxAnswerTimes is the maximum length of Server.answerTimes.
const maxAnswerTimes = 100000

// AnsweredAt returns the time at which the first health response with the given index or a later one was sent. It returns false if there
// was none.
func (s *Server) AnsweredAt(index uint64) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, answer := range s.answerTimes {
		if answer.index >= index {
			return answer.at, true
		}
	}
	return at, false
}

// recordAnswer records the current time for the first health response with an index. Later ones with that index are ignored.
func (s *Server) recordAnswer(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.answerTimes); n < maxAnswerTimes && (n == 0 || index > s.answerTimes[n-1].index) {
		s.answerTimes = append(s.answerTimes, answerTime{index, time.Now()})
	}
}

// serverView is the state of the server for one query, with the lag and index faults applied.
type serverView struct {
	index     uint64
	instances []Instance
	fault     Fault
	changed   <-chan struct{}
	token     string
}

// currentView returns the state of the server as queries see it now.
func (s *Server) currentView() serverView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return serverView{
		index:     s.visibleIndex - min(s.fault.IndexBack, s.visibleIndex-1),
		instances: s.visible, fault: s.fault, changed: s.changed, token: s.Token,
	}
}
