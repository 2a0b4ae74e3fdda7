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

// Hub holds a process's links: those that it dialled, by address, and those that it accepted.
//
// Close ends the goroutines of the hub and its links, and waits for them. Handlers and the functions that are given to Send run
// on: what they reply goes nowhere.
type Hub struct {
	log          *logrus.Logger
	self         Hello
	startedAt    time.Time // the process's clock counts from here
	maxCallBytes int       // of the peers' calls, one or all together
	shaper       shaper

	ctx        context.Context // done once the hub is closed
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // monitorLinks, and each link's reader and writer

	// reservedBytes counts peers' calls that have no reply, and replies of which chunks are missing.
	reservedBytes atomic.Int64
	traffic       trafficCounters

	handlersMu sync.RWMutex // methods may be added while links are up
	handlers   map[uint64]func(*IncomingCall)

	// These two are set before the first link.
	onLinkLost func(address, reason string)
	dialConn   func(address string) (net.Conn, error)

	mu        sync.Mutex       // guards what follows; it is taken before a link's
	links     map[string]*Link // that take calls, by the address that this process dialled
	accepted  map[*Link]bool   // the links that peers dialled, and the retired ones
	listeners []net.Listener
	closing   bool // draining or closed: no link that ends is reported as lost
	closed    bool // no goroutine starts any more
}

// NewHub makes a hub and starts its check of links; Close ends it. Its clock counts from start. maxCallBytes bounds the memory of the
// peers' calls, one or all together.
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

// Now is the process's monotonic clock.
func (h *Hub) Now() time.Duration { return time.Since(h.startedAt) }

// Self is how this process greets others.
func (h *Hub) Self() Hello { return h.self }

// OnLinkLost has f called, without locks, when a link that this process dialled ends or its peer drains, unless the link was closed
// here as idle. It is set before the first call.
func (h *Hub) OnLinkLost(f func(address, reason string)) { h.onLinkLost = f }

// SetDialer has links dialled by f in place of TCP. It is set before the first call.
func (h *Hub) SetDialer(f func(address string) (net.Conn, error)) { h.dialConn = f }

// LimitRate bounds what large messages take of the machine's uplink, in bits a second; 0 for no bound.
func (h *Hub) LimitRate(bitsPerSecond float64) { h.shaper.limitRate(bitsPerSecond) }

// Backlog is the time until all large messages that wait, and as many bytes more, have gone out; 0 without a bound on the rate.
func (h *Hub) Backlog(moreBytes float64) time.Duration { return h.shaper.backlog(moreBytes) }

// LinkCounts is the number of links that this process dialled, and of those that it accepted or has retired.
func (h *Hub) LinkCounts() (dialled, accepted int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links), len(h.accepted)
}

// Traffic is what all links of a hub have carried: frames, and their bytes without the headers of TCP and IP.
type Traffic struct{ SentBytes, SentFrames, ReceivedBytes, ReceivedFrames uint64 }

type trafficCounters struct{ sentBytes, sentFrames, receivedBytes, receivedFrames atomic.Uint64 }

// Traffic is what the hub's links have carried so far.
func (h *Hub) Traffic() Traffic {
	return Traffic{
		SentBytes:      h.traffic.sentBytes.Load(),
		SentFrames:     h.traffic.sentFrames.Load(),
		ReceivedBytes:  h.traffic.receivedBytes.Load(),
		ReceivedFrames: h.traffic.receivedFrames.Load(),
	}
}

// linkTo is the link to an address, dialled if there is none.
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

// removeLink forgets a link that has ended.
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

// retire keeps a dialled link for its pending calls only: its peer is draining, and the next call needs another link.
func (h *Hub) retire(l *Link) {
	if h.markRetired(l) && h.onLinkLost != nil {
		h.onLinkLost(l.peer, reasonLeaving)
	}
	l.endIfRetired()
}

// markRetired reports whether the link took calls until now, in a hub that is not closing.
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

// closeIfIdle closes a dialled link without a call for idleTimeout, and reports whether it did. The next call dials anew.
func (h *Hub) closeIfIdle(l *Link, now time.Duration) bool {
	if !h.markIdle(l, now) {
		return false
	}
	h.closeConn(l.conn, l.peer)
	l.wakeWriter()
	return true
}

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

// allLinks is every link, and whether the hub drains or is closed.
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

// Close ends all links and waits for their goroutines. It is not called by a handler, nor by a function that was given to Send.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closing = true
	h.closed = true
	h.mu.Unlock()
	links, _ := h.allLinks()
	for _, l := range links {
		l.fail(reasonClosed)
	}
	h.cancel() // after the links, whose calls end because the hub is closed, not because they could not be dialled
	h.goroutines.Wait()
}

// closeConn closes a connection that is of no further use. An error changes nothing for its link, which has ended.
func (h *Hub) closeConn(conn net.Conn, peer string) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		h.log.WithField("peer", peer).WithError(err).Debug("transport: a connection did not close")
	}
}
