package transport

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// ConnectionError says that a link ended before the reply. Sent tells whether the whole of the call may have reached the peer, which
// begins nothing before.
type ConnectionError struct {
	Peer string
	Why  string
	Sent bool
}

func (e *ConnectionError) Error() string { return "link to " + e.Peer + " lost: " + e.Why }

// PendingCall is a call of this process that has no reply yet. Its end is told once.
type PendingCall struct {
	link   *Link
	stream uint64
	method uint64
	body   []byte
	expire time.Duration
	done   func(body []byte, err error)
	off    int    // bytes of the body that were handed to the connection
	sent   bool   // all of them
	in     []byte // what has come of the reply
	held   int    // bytes of it, counted in the hub
	quit   bool   // withdrawn
	turn   *turn
}

// IncomingCall is a call of a peer that this process has to answer.
type IncomingCall struct {
	link    *Link
	stream  uint64
	From    *Hello
	Body    []byte
	Expires time.Duration // on this process's clock; 0 for never
	method  uint64
	quit    func() // OnWithdrawn
	over    bool   // the caller has given up or is gone
	held    int    // bytes of its body, counted in the hub
	// there is no room for it: it is answered by nothing, and not handed over
	overLimit bool
}

// release gives back what is counted for its body.
func (c *IncomingCall) release() {
	c.link.hub.held.Add(-int64(c.held))
	c.held = 0
}

// OnWithdrawn has f called, once, when the caller has given up or is gone; at once if that is so already.
func (c *IncomingCall) OnWithdrawn(f func()) {
	c.link.mu.Lock()
	c.quit = f
	over := c.over
	c.link.mu.Unlock()
	if over {
		f()
	}
}

// withdrawn notes that the caller has given up or is gone. It is called without the lock.
func (c *IncomingCall) withdrawn() {
	c.link.mu.Lock()
	f, again := c.quit, c.over
	c.over = true
	c.link.mu.Unlock()
	if f != nil && !again {
		f()
	}
}

// reply is an answer on its way out.
type reply struct {
	stream uint64
	body   []byte
	off    int
	turn   *turn
}

// call queues a call; false if the link takes none any more. It is called without the lock.
func (l *Link) call(a *PendingCall) bool {
	l.mu.Lock()
	if l.retired {
		l.mu.Unlock()
		return false
	}
	l.used = l.hub.Now()
	if l.dead || len(l.pending) >= callsMost {
		why := l.why
		if !l.dead {
			why = "too many calls at once"
		}
		l.mu.Unlock()
		go a.done(nil, &ConnectionError{Peer: l.peer, Why: why})
		return true
	}
	l.next++
	a.link, a.stream = l, l.next
	l.pending[a.stream] = a
	l.enqueue(a, len(a.body))
	if len(l.pending) == 1 {
		l.heard = l.hub.Now() // silence counts from when something is awaited
	}
	l.mu.Unlock()
	l.wakeWriter()
	return true
}

// Withdraw gives a call up: one that has not gone out whole never will, and ends so at once; of one that has, the peer's reply says how
// far it came.
func (a *PendingCall) Withdraw() {
	l := a.link
	if l == nil {
		return
	}
	l.mu.Lock()
	if a.quit || l.pending[a.stream] != a {
		l.mu.Unlock()
		return
	}
	a.quit = true
	if a.off > 0 || a.sent {
		l.urgent.PushBack(envelope{kind: uint64(withdrawFrame), stream: a.stream})
	}
	if !a.sent {
		delete(l.pending, a.stream)
		l.mu.Unlock()
		l.wakeWriter()
		go a.done(nil, &ConnectionError{Peer: l.peer, Why: "withdrawn"})
		return
	}
	l.mu.Unlock()
	l.wakeWriter()
}

// Answer answers a call. The second answer to a call, and one to a caller that is gone, goes nowhere.
func (c *IncomingCall) Answer(m codec.Message) { c.AnswerBytes(codec.Write(nil, m)) }

// AnswerBytes is Answer for what is written already.
func (c *IncomingCall) AnswerBytes(body []byte) {
	l := c.link
	l.mu.Lock()
	if l.dead || l.incoming[c.stream] != c {
		l.mu.Unlock()
		return
	}
	delete(l.incoming, c.stream)
	c.release()
	l.enqueue(&reply{stream: c.stream, body: body}, len(body))
	l.mu.Unlock()
	l.wakeWriter()
}
