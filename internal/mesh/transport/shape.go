package transport

import (
	"slices"
	"sync"
	"time"
)

// Pieces of large messages go out no faster than this part of the machine's link, all links together, so that none queue there
// before small messages. They go in the order in which they came, a few at a time: shared evenly among all, a link that is full
// would make all of them late.
const (
	linkRateFraction   = 0.9
	maxActiveTransfers = 3
	maxChunkTime       = 4 * time.Millisecond // of the link, that one piece takes: small messages wait no longer
	minChunkBytes      = 2 << 10
)

// transfer is a large message that is on its way out.
type transfer struct {
	link      *Link
	remaining int // bytes
}

// shaper paces what this process sends to all its neighbours.
type shaper struct {
	mu           sync.Mutex
	rate         float64 // bytes a second; 0 for no bound
	tokens       float64
	refilledAt   time.Duration
	transfers    []*transfer
	backlogBytes int // left of all turns
	chunkBytes   int // bytes of one piece; 0 for maxChunkBytes
}

// maxCallBytes is how many bytes a piece has.
func (s *shaper) maxChunk() int {
	if s.chunkBytes == 0 {
		return maxChunkBytes
	}
	return s.chunkBytes
}

// burst is how much may go out at once.
func (s *shaper) burst() float64 { return float64(2 * s.maxChunk()) }

func (s *shaper) refill(now time.Duration) {
	s.tokens = min(s.tokens+s.rate*(now-s.refilledAt).Seconds(), s.burst())
	s.refilledAt = now
}

// spend counts bytes that went out without asking: small messages never wait.
func (s *shaper) spend(now time.Duration, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate > 0 && n > 0 {
		s.refill(now)
		s.tokens = max(s.tokens-float64(n), -4*s.burst())
	}
}

// start puts a large message in line.
func (s *shaper) start(l *Link, size int) *transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &transfer{link: l, remaining: size}
	s.transfers, s.backlogBytes = append(s.transfers, t), s.backlogBytes+size
	return t
}

// handleFrame lets the next piece of a message go out now, n bytes, or says how long to wait; a wait of transferRecheckInterval is for the message's turn, of
// which its link is told.
func (s *shaper) reserve(now time.Duration, t *transfer) (n int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(t.remaining, s.maxChunk())
	if s.rate > 0 {
		if i := slices.Index(s.transfers, t); i >= maxActiveTransfers {
			return 0, transferRecheckInterval
		}
		s.refill(now)
		if s.tokens < float64(n) {
			return 0, max(time.Duration((float64(n)-s.tokens)/s.rate*float64(time.Second)), time.Millisecond)
		}
		s.tokens -= float64(n)
	}
	t.remaining -= n
	s.backlogBytes -= n
	return n, 0
}

const transferRecheckInterval = 250 * time.Millisecond

// finish takes a message out of the line: it has gone out, or its link has.
func (s *shaper) finish(t *transfer) {
	s.mu.Lock()
	var next *Link
	if i := slices.Index(s.transfers, t); i >= 0 {
		s.transfers = slices.Delete(s.transfers, i, i+1)
		s.backlogBytes -= t.remaining
		if i < maxActiveTransfers && len(s.transfers) >= maxActiveTransfers {
			next = s.transfers[maxActiveTransfers-1].link
		}
	}
	s.mu.Unlock()
	if next != nil {
		next.wakeWriter()
	}
}

// LimitRate bounds what large messages take of the machine's link, in bits a second; 0 for no bound.
func (h *Hub) LimitRate(link float64) {
	h.shaper.mu.Lock()
	defer h.shaper.mu.Unlock()
	h.shaper.rate = linkRateFraction * link / 8
	if link > 0 {
		h.shaper.chunkBytes = min(max(int(h.shaper.rate*maxChunkTime.Seconds()), minChunkBytes), maxChunkBytes)
	}
}

// Backlog is how long it takes until as many bytes as are in line, and more, have gone out.
func (h *Hub) Backlog(more float64) time.Duration {
	h.shaper.mu.Lock()
	defer h.shaper.mu.Unlock()
	if h.shaper.rate <= 0 {
		return 0
	}
	return time.Duration((float64(h.shaper.backlogBytes) + more) / h.shaper.rate * float64(time.Second))
}
