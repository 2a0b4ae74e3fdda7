package transport

import "time"

const (
	checkInterval    = 100 * time.Millisecond  // time between two checks of all links
	pendingPingDelay = 300 * time.Millisecond  // time since the last frame after which a ping is sent, while calls are pending
	idlePingDelay    = 2 * time.Second         // time since the last frame after which a ping is sent, while no calls are pending
	helloTimeout     = 1000 * time.Millisecond // time that a peer has for its hello, from when the connection is established
	pongTimeout      = 1000 * time.Millisecond // time that a peer has to send any frame after a ping
	suspendThreshold = 500 * time.Millisecond  // time between two checks above which this process is presumed to have been suspended
)

// liveness determines whether a peer that sends nothing is idle or lost. The lock of its link guards it. Times are on this process's clock.
type liveness struct {
	lastReceivedAt time.Duration // when the last frame was received
	pingSentAt     time.Duration // when the outstanding ping was sent; 0 if a frame was received since
	lastCheckAt    time.Duration // when resumed was last called
}

// frameReceived records that a frame of the peer was received.
func (v *liveness) frameReceived(now time.Duration) {
	v.lastReceivedAt = now
	v.pingSentAt = 0
}

// resumed reports whether this process was suspended since the last check. If so, it restarts the timeouts, because frames that the peer
// has sent in the meantime may not have been read yet.
func (v *liveness) resumed(now time.Duration) bool {
	suspended := now-v.lastCheckAt > suspendThreshold
	v.lastCheckAt = now
	if suspended {
		v.frameReceived(now)
	}
	return suspended
}

func (v *liveness) pongOverdue(now time.Duration) bool {
	return v.pingSentAt != 0 && now-v.pingSentAt > pongTimeout
}

// pingDue reports whether a ping must be sent: none is outstanding, and the peer has sent nothing for longer than delay.
func (v *liveness) pingDue(now, delay time.Duration) bool {
	return v.pingSentAt == 0 && now-v.lastReceivedAt > delay
}

// peerClock converts times on a peer's clock to times on this process's clock. The lock of its link guards it.
type peerClock struct {
	offset time.Duration // smallest observed difference between the time when a frame was received and the frame's sentAt
	known  bool          // whether a frame was observed
}

func (c *peerClock) observe(now, sentAt time.Duration) {
	if d := now - sentAt; !c.known || d < c.offset {
		c.offset = d
		c.known = true
	}
}

func (c *peerClock) toLocal(peerTime time.Duration) time.Duration { return peerTime + c.offset }

// checkLiveness pings a peer that has sent nothing for a while, and ends the link if the peer does not respond. The hub calls it every
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

// pingIfDue queues a ping if one is due. failure is the reason why the peer is presumed lost; empty if it is not.
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
	case !l.canSendCalls() && !suspended && now-l.connectedAt > helloTimeout:
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
