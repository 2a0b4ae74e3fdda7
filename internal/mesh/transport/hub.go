package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Hub manages a process's links: those that it has dialled, by address, and those that it has accepted. It is safe for concurrent use.
//
// Close ends the goroutines of the hub and its links, and waits for them. It does not wait for handlers that were registered with Handle,
// nor for functions that were passed to Send; replies after Close are dropped.
type Hub struct {
	log          *logrus.Logger
	self         Hello
	startedAt    time.Time // zero of the process's clock
	maxCallBytes int       // of the memory of peers' calls, for one call and for all together
	shaper       shaper

	ctx        context.Context // done once the hub is closed
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // monitorLinks, and each link's reader and writer

	// reservedBytes are the bytes of peers' calls without a reply, and of incomplete replies to this process's calls.
	reservedBytes atomic.Int64
	traffic       trafficCounters

	handlersMu sync.RWMutex // methods may be registered while links are up
	handlers   map[uint64]func(*IncomingCall)

	// These two are set before the first link.
	onLinkLost func(address, reason string)
	dialConn   func(address string) (net.Conn, error)

	mu        sync.Mutex       // guards what follows; locked before a link's mutex
	links     map[string]*Link // dialled links that take new calls, by address
	accepted  map[*Link]bool   // all other links: those that peers have dialled, and dialled ones that are retired
	listeners []net.Listener
	closing   bool // draining or closed: links that end are not reported as lost
	closed    bool // no goroutine may be started
}

// NewHub returns a hub that sends self as its Hello. The hub's clock starts at start. maxCallBytes bounds the memory of peers' calls, for
// one call (beyond it the link is closed) and for all together (beyond it a call gets the empty reply). Close must be called to end the
// hub's goroutines.
func NewHub(self Hello, start time.Time, maxCallBytes int, log *logrus.Logger) *Hub {
	self.Version = protocolVersion
	h := &Hub{
		log: log, self: self, startedAt: start, maxCallBytes: maxCallBytes,
		handlers: map[uint64]func(*IncomingCall){},
		links:    map[string]*Link{},
		accepted: map[*Link]bool{},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.dialConn = h.dialTCP
	h.goroutines.Go(h.monitorLinks)
	return h
}

// Now returns the time on the process's monotonic clock.
func (h *Hub) Now() time.Duration { return time.Since(h.startedAt) }

// Self returns the Hello of this process.
func (h *Hub) Self() Hello { return h.self }

// OnLinkLost sets a function that is called, without locks, when a link that this process dialled ends or its peer drains, unless this
// process closed the link because it was idle. It must be set before the first call.
func (h *Hub) OnLinkLost(f func(address, reason string)) { h.onLinkLost = f }

// SetDialer replaces the function that dials peers, TCP by default. It must be set before the first call.
func (h *Hub) SetDialer(f func(address string) (net.Conn, error)) { h.dialConn = f }

// LimitRate sets the rate of the machine's uplink, in bits per second, of which large messages take nine tenths at most; 0 for no bound.
func (h *Hub) LimitRate(bitsPerSecond float64) { h.shaper.limitRate(bitsPerSecond) }

// Backlog returns the time until all queued large messages, and moreBytes more, have been sent; 0 if the rate is not bounded.
func (h *Hub) Backlog(moreBytes float64) time.Duration { return h.shaper.backlog(moreBytes) }

// LinkCounts returns the number of dialled links that take new calls, and that of all other links: accepted ones, and dialled ones that are
// retired.
func (h *Hub) LinkCounts() (dialled, accepted int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links), len(h.accepted)
}

// Traffic counts the frames that a hub's links have sent and received, and their bytes, without the headers of TCP and IP.
type Traffic struct{ SentBytes, SentFrames, ReceivedBytes, ReceivedFrames uint64 }

type trafficCounters struct{ sentBytes, sentFrames, receivedBytes, receivedFrames atomic.Uint64 }

// Traffic returns the traffic of all links since the hub was made.
func (h *Hub) Traffic() Traffic {
	return Traffic{
		SentBytes:      h.traffic.sentBytes.Load(),
		SentFrames:     h.traffic.sentFrames.Load(),
		ReceivedBytes:  h.traffic.receivedBytes.Load(),
		ReceivedFrames: h.traffic.receivedFrames.Load(),
	}
}

// linkTo returns the link to an address, and dials it if there is none. In a closed hub it returns a closed link.
func (h *Hub) linkTo(address string) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.links[address]; l != nil {
		return l
	}
	l := newLink(h, address, true)
	if h.closed {
		l.closed = true
		l.closeReason = reasonClosed
		return l
	}
	h.links[address] = l
	h.goroutines.Go(func() { h.dial(l) })
	return l
}

// removeLink removes a link that has ended, and reports it as lost if it was in use.
func (h *Hub) removeLink(l *Link, reason string) {
	h.mu.Lock()
	current := h.links[l.peer] == l
	if current {
		delete(h.links, l.peer)
	}
	delete(h.accepted, l)
	notify := current && !h.closing && h.onLinkLost != nil
	h.mu.Unlock()
	if notify {
		h.onLinkLost(l.peer, reason)
	}
}

// retire takes a dialled link out of use for new calls, as its peer is draining. Its pending calls are completed.
func (h *Hub) retire(l *Link) {
	if h.markRetired(l) && h.onLinkLost != nil {
		h.onLinkLost(l.peer, reasonLeaving)
	}
	l.endIfRetired()
}

// markRetired moves a link from links to accepted. It reports whether the link is to be reported as lost: it was in use, and the hub is not
// closing.
func (h *Hub) markRetired(l *Link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.links[l.peer] != l || l.closed {
		return false
	}
	delete(h.links, l.peer)
	h.accepted[l] = true
	l.retired = true
	return !h.closing
}

// closeIfIdle closes a dialled link that has had no call for idleTimeout, and reports whether it did. The next call dials a new link.
func (h *Hub) closeIfIdle(l *Link, now time.Duration) bool {
	if !h.markIdle(l, now) {
		return false
	}
	h.closeConn(l.conn, l.peer)
	l.wakeWriter()
	return true
}

// markIdle marks a dialled link as closed if it is idle, and reports whether it did.
func (h *Hub) markIdle(link *Link, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	link.mu.Lock()
	defer link.mu.Unlock()
	idle := h.links[link.peer] == link && link.peerGreeted && !link.closed && len(link.pending) == 0 && now-link.lastCallAt > idleTimeout
	if !idle {
		return false
	}
	delete(h.links, link.peer)
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
	links = make([]*Link, 0, len(h.links)+len(h.accepted))
	for _, l := range h.links {
		links = append(links, l)
	}
	for l := range h.accepted {
		links = append(links, l)
	}
	return links, h.closing
}

// Close closes all links and waits for their goroutines. It must not be called by a handler, nor by a function that was passed to Send.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closing = true
	h.closed = true
	h.mu.Unlock()
	links, _ := h.allLinks()
	for _, l := range links {
		l.fail(reasonClosed)
	}
	h.cancel() // after the links, so that the calls of a link being dialled end with reasonClosed, not with the dialler's error
	h.goroutines.Wait()
}

// closeConn closes the connection of a link that has ended. An error has no consequence, and is logged only.
func (h *Hub) closeConn(conn net.Conn, peer string) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		h.log.WithField("peer", peer).WithError(err).Debug("transport: a connection did not close")
	}
}
