package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/transport/membudget"
	"quincegap/internal/mesh/transport/sockets"
)

// Hub manages the links that a process has dialled, by address, and those that it has accepted. It is safe for concurrent use.
//
// Close ends the goroutines of the hub and of its links, and waits for them. It does not wait for handlers that were registered with
// Handle, nor for functions that were passed to Send; replies after Close are discarded.
type Hub struct {
	log          *logrus.Logger
	self         Hello
	startedAt    time.Time // time zero of the process's clock
	maxCallBytes int       // limit of the size of a peer's call
	shaper       shaper

	ctx        context.Context // done once the hub is closed
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // covers monitorLinks, and the reader and the writer of each link

	traffic trafficCounters

	handlersMu sync.RWMutex                   // guards handlers: methods may be registered while links are up
	handlers   map[uint64]func(*IncomingCall) // handlers by method

	// The following fields are set before the first link exists, and need no lock.
	onLinkLost  func(address, reason string)
	dialConn    Dialer
	callMemory  *membudget.Pool // memory of peers' calls without a reply
	replyMemory *membudget.Pool // memory of incomplete replies to this process's calls, and of large replies that are being sent

	mu          sync.Mutex       // guards the fields below; locked before a link's mutex
	activeLinks map[string]*Link // dialled links that take new calls, by address
	otherLinks  map[*Link]bool   // accepted links, and dialled links that are retired
	listeners   []net.Listener
	closing     bool // whether the hub is draining or closed; links that end are then not reported as lost
	closed      bool // whether the hub is closed; no goroutine may then be started
}

// NewHub returns a hub that sends self as its Hello. The hub's clock starts at start. maxCallBytes bounds the size of a peer's call: a call
// that exceeds it closes its link. Unless SetMemory is called, it also bounds the memory of all calls together, and replies are not
// bounded. The caller must call Close to end the hub's goroutines.
func NewHub(self Hello, start time.Time, maxCallBytes int, log *logrus.Logger) *Hub {
	self.Version = protocolVersion
	h := &Hub{
		log: log, self: self, startedAt: start, maxCallBytes: maxCallBytes,
		handlers:    map[uint64]func(*IncomingCall){},
		activeLinks: map[string]*Link{},
		otherLinks:  map[*Link]bool{},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.dialConn = sockets.NewGroup(sockets.Options{}).Dial
	h.callMemory = membudget.NewPool(int64(maxCallBytes))
	h.goroutines.Go(h.monitorLinks)
	return h
}

// Now returns the time on the process's monotonic clock.
func (h *Hub) Now() time.Duration { return time.Since(h.startedAt) }

// Self returns the Hello of this process.
func (h *Hub) Self() Hello { return h.self }

// OnLinkLost sets a function that is called, without locks, when a link that this process dialled ends or when its peer drains. The
// function is not called for links that this process closes because they are idle, or because the hub drains or closes. It must be set
// before the first call.
func (h *Hub) OnLinkLost(f func(address, reason string)) { h.onLinkLost = f }

// SetDialer replaces the function that dials peers, TCP by default. It must be set before the first call.
func (h *Hub) SetDialer(f Dialer) { h.dialConn = f }

// SetMemory sets the pools that bound the memory of messages. A peer's call that does not fit into calls gets an empty reply, and its
// handler is not called. A call of this process whose reply does not fit into replies ends with a ConnectionError. SetMemory must be called
// before the first call.
func (h *Hub) SetMemory(calls, replies *membudget.Pool) {
	h.callMemory = calls
	h.replyMemory = replies
}

// LimitRate sets the rate of the machine's uplink in bits per second; 0 if it is unlimited. Large messages use at most nine tenths of it.
func (h *Hub) LimitRate(bitsPerSecond float64) { h.shaper.limitRate(bitsPerSecond) }

// Backlog returns the time that it takes to send all queued large messages and moreBytes more; 0 if the rate is unlimited.
func (h *Hub) Backlog(moreBytes float64) time.Duration { return h.shaper.backlog(moreBytes) }

// QueuedTransfers returns the number of large messages that are being sent or wait for their turn, and the number of their bytes that were
// not sent yet.
func (h *Hub) QueuedTransfers() (count, bytes int) { return h.shaper.queued() }

// LinkCounts returns the number of active links, which are dialled links that take new calls, and the number of other links, which are
// accepted links and dialled links that are retired.
func (h *Hub) LinkCounts() (active, other int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.activeLinks), len(h.otherLinks)
}

// Traffic counts the frames that a hub's links have sent and received, and the bytes of these frames, without the headers of TCP and IP.
type Traffic struct{ SentBytes, SentFrames, ReceivedBytes, ReceivedFrames uint64 }

type trafficCounters struct{ sentBytes, sentFrames, receivedBytes, receivedFrames atomic.Uint64 }

// Traffic returns the traffic of all links since the hub was created.
func (h *Hub) Traffic() Traffic {
	return Traffic{
		SentBytes:      h.traffic.sentBytes.Load(),
		SentFrames:     h.traffic.sentFrames.Load(),
		ReceivedBytes:  h.traffic.receivedBytes.Load(),
		ReceivedFrames: h.traffic.receivedFrames.Load(),
	}
}

// linkTo returns the active link to an address, and dials a new one if there is none. In a closed hub it returns a closed link.
func (h *Hub) linkTo(address string) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.activeLinks[address]; l != nil {
		return l
	}
	l := newLink(h, address, true)
	if h.closed {
		l.closed = true
		l.closeReason = reasonClosed
		return l
	}
	h.activeLinks[address] = l
	h.goroutines.Go(func() { h.dial(l) })
	return l
}

// removeLink removes a link that has ended, and reports it as lost if it was active and the hub is not closing.
func (h *Hub) removeLink(l *Link, reason string) {
	h.mu.Lock()
	active := h.activeLinks[l.peer] == l
	if active {
		delete(h.activeLinks, l.peer)
	}
	delete(h.otherLinks, l)
	notify := active && !h.closing && h.onLinkLost != nil
	h.mu.Unlock()
	if notify {
		h.onLinkLost(l.peer, reason)
	}
}

// retire makes new calls use another link, because the peer of this dialled link is draining. Pending calls are completed.
func (h *Hub) retire(l *Link) {
	if h.markRetired(l) && h.onLinkLost != nil {
		h.onLinkLost(l.peer, reasonLeaving)
	}
	l.endIfRetired()
}

// markRetired moves a link from activeLinks to otherLinks. It returns true if the link must be reported as lost: it was active, and the hub
// is not closing.
func (h *Hub) markRetired(l *Link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.activeLinks[l.peer] != l || l.closed {
		return false
	}
	delete(h.activeLinks, l.peer)
	h.otherLinks[l] = true
	l.retired = true
	return !h.closing
}

// closeIfIdle closes a dialled link that has had no call for idleTimeout, and reports whether it closed the link. The next call dials a new
// link.
func (h *Hub) closeIfIdle(l *Link, now time.Duration) bool {
	if !h.markIdle(l, now) {
		return false
	}
	h.closeConn(l.conn, l.peer)
	l.wakeWriter()
	l.replySpace.wake()
	return true
}

// markIdle marks a dialled link as closed if it is idle, and reports whether it was idle.
func (h *Hub) markIdle(link *Link, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	link.mu.Lock()
	defer link.mu.Unlock()
	idle := h.activeLinks[link.peer] == link && link.peerGreeted && !link.closed && len(link.pending) == 0 && now-link.lastCallAt > idleTimeout
	if !idle {
		return false
	}
	delete(h.activeLinks, link.peer)
	link.closed = true
	link.retired = true
	link.closeReason = reasonIdle
	return true
}

// monitorLinks checks all links every checkInterval until the hub drains or closes.
func (h *Hub) monitorLinks() {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-h.ctx.Done():
			return
		}
		links, closing := h.allLinks()
		if closing {
			return
		}
		now := h.Now()
		for _, l := range links {
			if !h.closeIfIdle(l, now) {
				l.checkLiveness(now)
			}
		}
	}
}

// allLinks returns all links, and whether the hub is draining or closed.
func (h *Hub) allLinks() (links []*Link, closing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	links = make([]*Link, 0, len(h.activeLinks)+len(h.otherLinks))
	for _, l := range h.activeLinks {
		links = append(links, l)
	}
	for l := range h.otherLinks {
		links = append(links, l)
	}
	return links, h.closing
}

// Close closes all listeners and links, and waits for the goroutines of the links. It must not be called by a handler, nor by a function
// that was passed to Send.
func (h *Hub) Close() {
	h.stopListening()
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	links, _ := h.allLinks()
	for _, l := range links {
		l.fail(reasonClosed)
	}
	// The context is cancelled only after the links have ended. Otherwise the calls of a link that is being dialled would end with the
	// dialler's error instead of reasonClosed.
	h.cancel()
	h.goroutines.Wait()
}

// closeConn closes the connection of a link that has ended. It only logs an error, because the connection is no longer used.
func (h *Hub) closeConn(conn net.Conn, peer string) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		h.log.WithField("peer", peer).WithError(err).Debug("transport: failed to close a connection")
	}
}
