package rehearse

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/h3"
)

// server is an emulated server on a socket: connections and streams carry attempts to its model, which decides when each is answered.
type server struct {
	rehearsal *rehearsal
	index     int
	spec      *scenario.Server

	mu          sync.Mutex
	model       *emulator.Server // nil while it is down or silent
	listener    *net.TCPListener
	connections map[*connection]bool
	calls       map[uint64]*attempt // attempts that the model has, by id
	timer       *time.Timer         // runs handleTimer when the model changes by itself
	incarnation int                 // counts starts and stops: what belongs to an earlier one is void
	silent      bool                // its machine does not respond
	accepting   chan struct{}       // closed when accept has returned
	backlogFill []net.Conn          // connections that fill the backlog of a silent machine
	faults      map[string]float64  // by the name in the script: the share of attempts that it happens to
	random      *rand.Rand          // draws which attempts the faults happen to

	http3Endpoint *h3.Endpoint         // nil where its tier speaks HTTP/1.1 alone
	streams       map[*stream]*attempt // the open streams of http3Endpoint
	previousEnded chan struct{}        // closed when an earlier incarnation has released its UDP socket
	muted         atomic.Bool          // its UDP socket neither receives nor sends
}

// newServer returns a server that is down.
func newServer(r *rehearsal, index int) *server {
	s := &server{
		rehearsal:   r,
		index:       index,
		spec:        &r.plan.Servers[index],
		connections: map[*connection]bool{},
		streams:     map[*stream]*attempt{},
		calls:       map[uint64]*attempt{},
		faults:      map[string]float64{},
		random:      rand.New(emulator.RandomSource(r.plan.Seed, fmt.Sprint("faults ", index))),
	}
	s.timer = time.AfterFunc(time.Hour, s.handleTimer)
	s.timer.Stop()
	return s
}

// start starts the server. One that is cold is warming up from now on; otherwise it has been up for long.
func (s *server) start(cold bool) error {
	s.awaitPreviousEnd(s.rehearsal.ctx)
	address, err := net.ResolveTCPAddr("tcp", s.rehearsal.serverAddress(s.spec.Slot))
	if err != nil {
		return err
	}
	listener, err := net.ListenTCP("tcp", address)
	if err != nil {
		return err
	}
	accepting := make(chan struct{})
	s.mu.Lock()
	s.incarnation++
	s.silent = false
	s.model = emulator.NewServer(s.spec.Spec, max(0, s.rehearsal.now()), cold)
	s.listener = listener
	s.accepting = accepting
	incarnation := s.incarnation
	if cold {
		s.record(audit.ServerStarted)
	}
	s.mu.Unlock()
	go func() {
		defer close(accepting)
		s.accept(listener, incarnation)
	}()
	return s.startHTTP3(incarnation)
}

// stop ends the server: it closes the listener and resets the connections. Attempts in flight are dropped.
func (s *server) stop() {
	s.mu.Lock()
	s.stopLocked()
	s.mu.Unlock()
}

// stopLocked is stop with s.mu held.
func (s *server) stopLocked() {
	s.incarnation++
	s.model = nil
	s.timer.Stop()
	if s.listener != nil {
		_ = s.listener.Close() // open, or closed with nothing to lose
		s.listener = nil
	}
	for _, c := range s.backlogFill {
		closeConn(c)
	}
	s.backlogFill = nil
	for c := range s.connections {
		if c.current != nil {
			s.finish(c.current, audit.Dropped)
		}
		reset(c.Conn)
		delete(s.connections, c)
	}
	s.stopHTTP3()
	clear(s.calls)
}

// setFault sets the share of attempts that a fault happens to.
func (s *server) setFault(name string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[name] = share
}

// record records an event of the server now.
func (s *server) record(kind audit.Kind) {
	s.rehearsal.record(audit.Event{At: s.rehearsal.now(), Kind: kind, Server: s.index, Sidecar: -1, Origin: -1})
}

// tier returns the tier that the server belongs to.
func (s *server) tier() *scenario.Tier { return s.rehearsal.plan.Tiers[s.spec.Tier] }
