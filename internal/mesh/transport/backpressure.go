package transport

import "time"

const (
	// maxQueuedReplyBytes is the size of the small replies of a link above which no further frames of the peer are read. Large replies are
	// counted in Hub.replyMemory; they may wait for those of other links, and the peer's pings must be answered meanwhile.
	maxQueuedReplyBytes = 256 << 10
	// replyOverheadBytes is the memory of a queued reply beside its body.
	replyOverheadBytes = 256
)

// wakeup wakes a goroutine that waits for a change.
type wakeup chan struct{}

func newWakeup() wakeup { return make(wakeup, 1) }

// wake wakes the goroutine, or the next one that waits. It never blocks.
func (w wakeup) wake() {
	select {
	case w <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// awaitReplySpace waits while the peer reads its small replies more slowly than it sends calls, so that what is queued for it stays
// bounded. Only the side that accepted a link queues replies, and the other side always reads, so that the two never wait for each other.
// It returns false if the link has ended.
func (l *Link) awaitReplySpace() bool {
	for {
		full, closed := l.replyQueueState()
		if closed {
			return false
		}
		if !full {
			return true
		}
		<-l.replySpace
	}
}

// replyQueueState reports whether the small replies that are queued exceed their bound, and whether the link has ended.
func (l *Link) replyQueueState() (full, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replyQueueFull(), l.closed
}

// replyQueueFull reports whether the small replies that are queued exceed their bound. The caller holds the lock.
func (l *Link) replyQueueFull() bool { return !l.dialled && l.queue.replyBytes > maxQueuedReplyBytes }

// recordWritten records that the connection has taken bytes. While the reader waits for replies to be sent, no frame shows that the peer
// is there. The caller holds the lock.
func (l *Link) recordWritten(now time.Duration) {
	if l.replyQueueFull() {
		l.liveness.frameReceived(now)
	}
}
