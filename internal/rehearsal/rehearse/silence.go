package rehearse

import (
	"net"
	"syscall"
	"time"
)

// How the backlog of a silent machine is filled. A connection that does not come up in time may be this machine's slowness; two in a
// row mean that the backlog is full.
const (
	backlogDialTimeout = 60 * time.Millisecond
	maxBacklogDials    = 16
	fullAfterFailures  = 2
)

// silence makes the server's machine unresponsive: open connections stay open, nothing that comes is answered, and no new connection
// comes up. For the last, its backlog is made as short as can be and filled with connections of our own, after which the kernel drops
// the first packet of others.
func (s *server) silence() {
	s.mu.Lock()
	if s.model == nil || s.silent {
		s.mu.Unlock()
		return
	}
	s.silent, s.model = true, nil
	s.timer.Stop()
	clear(s.calls)
	for c := range s.connections {
		if c.current != nil {
			c.current.muted = true
		}
	}
	for _, attempt := range s.streams {
		attempt.muted = true
	}
	s.muted.Store(true)
	listener, incarnation, accepting := s.listener, s.incarnation, s.accepting
	_ = listener.SetDeadline(time.Unix(1, 0)) // accept returns; it has where the listener is closed
	if raw, err := listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // the backlog is filled below, whatever its length
	}
	s.mu.Unlock()
	<-accepting // accept would take connections out of the backlog
	s.fillBacklog(listener, incarnation)
}

// fillBacklog connects to a listener that accepts nothing until it is full, or the silence of that incarnation is over.
func (s *server) fillBacklog(listener net.Listener, incarnation int) {
	for dials, failed := 0, 0; dials < maxBacklogDials && failed < fullAfterFailures; dials++ {
		c, err := s.rehearsal.dial(listener.Addr().String(), backlogDialTimeout)
		if err != nil {
			failed++
			continue
		}
		failed = 0
		if !s.keepInBacklog(c, incarnation) {
			closeConn(c)
			return
		}
	}
}

// keepInBacklog keeps a connection open until the server stops; false if the silence of that incarnation is over.
func (s *server) keepInBacklog(c net.Conn, incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation || !s.silent {
		return false
	}
	s.backlogFill = append(s.backlogFill, c)
	return true
}
