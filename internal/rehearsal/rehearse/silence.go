package rehearse

import (
	"net"
	"syscall"
	"time"
)

// Parameters for filling the backlog of a silent machine. One connection that times out may be due to a slow test machine; two in a row
// mean that the backlog is full.
const (
	backlogDialTimeout = 60 * time.Millisecond
	maxBacklogDials    = 16
	fullAfterFailures  = 2
)

// silence makes the server's machine unresponsive: open connections stay open, requests are not answered, and no new connection is
// established. To prevent new connections, the listener's backlog is made as short as possible and filled with dummy connections, after
// which the kernel drops the first packet of any other connection.
func (s *server) silence() {
	s.mu.Lock()
	if s.model == nil || s.silent {
		s.mu.Unlock()
		return
	}
	s.silent, s.model = true, nil
	s.timer.Stop()
	clear(s.accepted)
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
	_ = listener.SetDeadline(time.Unix(1, 0)) // makes accept return; fails only if the listener is closed, and accept has returned then
	if raw, err := listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // errors are ignored: fillBacklog fills a longer backlog too
	}
	s.mu.Unlock()
	<-accepting // otherwise accept could remove connections from the backlog
	s.fillBacklog(listener, incarnation)
}

// fillBacklog opens connections to a listener that accepts none, until its backlog is full or the silence of that incarnation is over.
func (s *server) fillBacklog(listener net.Listener, incarnation int) {
	for dials, failures := 0, 0; dials < maxBacklogDials && failures < fullAfterFailures; dials++ {
		c, err := s.rehearsal.dial(listener.Addr().String(), backlogDialTimeout)
		if err != nil {
			failures++
			continue
		}
		failures = 0
		if !s.keepInBacklog(c, incarnation) {
			closeConn(c)
			return
		}
	}
}

// keepInBacklog stores a connection to be kept open until the server stops. It returns false if the silence of that incarnation is over.
func (s *server) keepInBacklog(c net.Conn, incarnation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation || !s.silent {
		return false
	}
	s.backlogFill = append(s.backlogFill, c)
	return true
}
