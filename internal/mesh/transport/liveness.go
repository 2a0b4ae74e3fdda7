package transport

import "time"

const (
	checkInterval    = 100 * time.Millisecond  // between two checks of all links
	pendingPingDelay = 300 * time.Millisecond  // since the last frame, after which a ping is sent while calls are pending
	idlePingDelay    = 2 * time.Second         // the same while none are
	helloTimeout     = 1000 * time.Millisecond // from the connection to the peer's hello
	pongTimeout      = 1000 * time.Millisecond // from a ping to any frame of the peer
	suspendThreshold = 500 * time.Millisecond  // between two checks, above which this process counts as having been suspended
)

// liveness determines whether a peer that sends nothing is idle or lost. Its link's lock guards it; times are on this process's clock.
type liveness struct {
	lastReceivedAt time.Duration // when the last frame was received
	pingSentAt     time.Duration // when a ping was sent, if no frame was received since; 0 for none
	lastCheckAt    time.Duration
}

// received records a frame of the peer.
func (v *liveness) received(now time.Duration) {
	v.lastReceivedAt = now
	v.pingSentAt = 0
}

// resumed reports whether this process was suspended since the last check. If so, it resets the time-outs, as the frames that the peer has
// sent meanwhile are not read yet.
func (v *liveness) resumed(now time.Duration) bool {
	suspended := now-v.lastCheckAt > suspendThreshold
	v.lastCheckAt = now
	if suspended {
		v.received(now)
	}
	return suspended
}

func (v *liveness) pongOverdue(now time.Duration) bool {
	return v.pingSentAt != 0 && now-v.pingSentAt > pongTimeout
}

// pingDue reports whether a ping is to be sent: no pong is outstanding, and the peer has sent nothing for longer than delay.
func (v *liveness) pingDue(now, delay time.Duration) bool {
	return v.pingSentAt == 0 && now-v.lastReceivedAt > delay
}

// peerClock translates times on a peer's clock to this process's. Its link's lock guards it.
type peerClock struct {
	offset time.Duration // smallest difference seen between this clock, when a frame was received, and the frame's sentAt
	known  bool
}

func (c *peerClock) observe(now, sentAt time.Duration) {
	if d := now - sentAt; !c.known || d < c.offset {
		c.offset = d
		c.known = true
	}
}

func (c *peerClock) toLocal(peerTime time.Duration) time.Duration { return peerTime + c.offset }

// checkLiveness pings a peer that has sent nothing for a while, and ends the link if the peer does not respond. It is called every
// checkInterval.
func (l *Link) checkLiveness(now time.Duration) {
	l.endIfRetired()
	pinged, failure := l.pingIfDue(now)
	if pinged {
		l.wakeWriter()
	}
	if failure != "" {
		l.fail(failure)
	}
}

// pingIfDue queues a ping if one is due. failure is the reason why the peer counts as lost; empty if it does not.
func (l *Link) pingIfDue(now time.Duration) (pinged bool, failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	suspended := l.liveness.resumed(now)
	delay := idlePingDelay
	if len(l.pending) > 0 {
		delay = pendingPingDelay
	}
	switch {
	case l.closed || l.conn == nil:
		return false, ""
	case !l.mayCall() && !suspended && now-l.connectedAt > helloTimeout:
		return false, reasonNoHello
	case l.liveness.pongOverdue(now):
		return false, reasonNoPong
	case l.liveness.pingDue(now, delay):
		l.liveness.pingSentAt = now
		l.queue.control.PushBack(envelope{kind: uint64(pingFrame)})
		return true, ""
	default:
		return false, ""
	}
}
