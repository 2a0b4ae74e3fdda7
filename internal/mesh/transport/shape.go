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
	shapeShare = 0.9
	shapeTurns = 3
	pieceTime  = 4 * time.Millisecond // of the link, that one piece takes: small messages wait no longer
	pieceLeast = 2 << 10
)

// turn is a large message that is on its way out.
type turn struct {
	link *Link
	left int // bytes
}

// shaper paces what this process sends to all its neighbours.
type shaper struct {
	mu    sync.Mutex
	rate  float64 // bytes a second; 0 for no bound
	level float64
	at    time.Duration
	turns []*turn
	bytes int // left of all turns
	piece int // bytes of one piece; 0 for pieceMost
}

// most is how many bytes a piece has.
func (s *shaper) most() int {
	if s.piece == 0 {
		return pieceMost
	}
	return s.piece
}

// burst is how much may go out at once.
func (s *shaper) burst() float64 { return float64(2 * s.most()) }

func (s *shaper) refill(now time.Duration) {
	s.level = min(s.level+s.rate*(now-s.at).Seconds(), s.burst())
	s.at = now
}

// spend counts bytes that went out without asking: small messages never wait.
func (s *shaper) spend(now time.Duration, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate > 0 && n > 0 {
		s.refill(now)
		s.level = max(s.level-float64(n), -4*s.burst())
	}
}

// begin puts a large message in line.
func (s *shaper) begin(l *Link, size int) *turn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &turn{link: l, left: size}
	s.turns, s.bytes = append(s.turns, t), s.bytes+size
	return t
}

// take lets the next piece of a message go out now, n bytes, or says how long to wait; a wait of restEvery is for the message's turn, of
// which its link is told.
func (s *shaper) take(now time.Duration, t *turn) (n int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(t.left, s.most())
	if s.rate > 0 {
		if i := slices.Index(s.turns, t); i >= shapeTurns {
			return 0, restEvery
		}
		s.refill(now)
		if s.level < float64(n) {
			return 0, max(time.Duration((float64(n)-s.level)/s.rate*float64(time.Second)), time.Millisecond)
		}
		s.level -= float64(n)
	}
	t.left -= n
	s.bytes -= n
	return n, 0
}

const restEvery = 250 * time.Millisecond

// end takes a message out of the line: it has gone out, or its link has.
func (s *shaper) end(t *turn) {
	s.mu.Lock()
	var next *Link
	if i := slices.Index(s.turns, t); i >= 0 {
		s.turns = slices.Delete(s.turns, i, i+1)
		s.bytes -= t.left
		if i < shapeTurns && len(s.turns) >= shapeTurns {
			next = s.turns[shapeTurns-1].link
		}
	}
	s.mu.Unlock()
	if next != nil {
		next.wakeWriter()
	}
}

// Shape bounds what large messages take of the machine's link, in bits a second; 0 for no bound.
func (h *Hub) Shape(link float64) {
	h.shape.mu.Lock()
	defer h.shape.mu.Unlock()
	h.shape.rate = shapeShare * link / 8
	if link > 0 {
		h.shape.piece = min(max(int(h.shape.rate*pieceTime.Seconds()), pieceLeast), pieceMost)
	}
}

// Backlog is how long it takes until as many bytes as are in line, and more, have gone out.
func (h *Hub) Backlog(more float64) time.Duration {
	h.shape.mu.Lock()
	defer h.shape.mu.Unlock()
	if h.shape.rate <= 0 {
		return 0
	}
	return time.Duration((float64(h.shape.bytes) + more) / h.shape.rate * float64(time.Second))
}
