package transport

import (
	"slices"
	"sync"
	"time"
)

const (
	// linkRateFraction is the part of the machine's uplink that large messages may take, all links together, so that none of them
	// queues there before small messages.
	linkRateFraction = 0.9
	// maxActiveTransfers is how many large messages are sent at once, in the order in which they came: if all shared a link that is
	// full evenly, all of them would be late.
	maxActiveTransfers = 3
	// maxChunkTime is how long one chunk may occupy the uplink: small messages wait no longer.
	maxChunkTime  = 4 * time.Millisecond
	minChunkBytes = 2 << 10
	// transferRecheckInterval is when the writer of a link looks again at a transfer that waits for its turn; finish wakes it before.
	transferRecheckInterval = 250 * time.Millisecond
	// minShapingWait bounds how often a writer asks for the next chunk.
	minShapingWait = time.Millisecond
	// burstChunks is the size of the token bucket, and maxDebtBursts how far small messages may overdraw it, in buckets.
	burstChunks   = 2
	maxDebtBursts = 4
	bitsPerByte   = 8
)

// transfer is a large message that is on its way out. The shaper's lock guards it.
type transfer struct {
	link      *Link
	remaining int // bytes that no chunk has been reserved for
}

// shaper paces the large messages of a process by a token bucket over all its links. Its zero value does not pace. Its lock is taken
// after a link's.
type shaper struct {
	mu           sync.Mutex
	rate         float64 // bytes a second; 0 for no bound
	tokens       float64 // bytes that may go out now; below 0 after small messages
	refilledAt   time.Duration
	transfers    []*transfer // in the order of their start
	backlogBytes int         // remaining of all transfers
	chunkBytes   int         // of one chunk; 0 for maxChunkBytes
}

// limitRate sets the uplink's rate in bits a second; 0 for no bound.
func (s *shaper) limitRate(bitsPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = linkRateFraction * bitsPerSecond / bitsPerByte
	if bitsPerSecond > 0 {
		s.chunkBytes = min(max(int(s.rate*maxChunkTime.Seconds()), minChunkBytes), maxChunkBytes)
	}
}

// backlog is the time until all transfers, and as many bytes more, have gone out; 0 without a bound on the rate.
func (s *shaper) backlog(moreBytes float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate <= 0 {
		return 0
	}
	return time.Duration((float64(s.backlogBytes) + moreBytes) / s.rate * float64(time.Second))
}

// maxChunk is the most bytes of one chunk.
func (s *shaper) maxChunk() int {
	if s.chunkBytes == 0 {
		return maxChunkBytes
	}
	return s.chunkBytes
}

// burst is the size of the token bucket in bytes.
func (s *shaper) burst() float64 { return float64(burstChunks * s.maxChunk()) }

// refill adds the tokens of the time since the last refill. The lock is held.
func (s *shaper) refill(now time.Duration) {
	s.tokens = min(s.tokens+s.rate*(now-s.refilledAt).Seconds(), s.burst())
	s.refilledAt = now
}

// spend takes tokens for n bytes of small messages, which never wait for them.
func (s *shaper) spend(now time.Duration, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate > 0 && n > 0 {
		s.refill(now)
		s.tokens = max(s.tokens-float64(n), -maxDebtBursts*s.burst())
	}
}

// start adds a large message of a link.
func (s *shaper) start(l *Link, size int) *transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &transfer{link: l, remaining: size}
	s.transfers = append(s.transfers, t)
	s.backlogBytes += size
	return t
}

// reserve takes tokens for the next chunk of a transfer, of n bytes, or says how long to wait for them.
func (s *shaper) reserve(now time.Duration, transfer *transfer) (size int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size = min(transfer.remaining, s.maxChunk())
	if s.rate > 0 {
		if slices.Index(s.transfers, transfer) >= maxActiveTransfers {
			return 0, transferRecheckInterval
		}
		s.refill(now)
		if missing := float64(size) - s.tokens; missing > 0 {
			return 0, max(time.Duration(missing/s.rate*float64(time.Second)), minShapingWait)
		}
		s.tokens -= float64(size)
	}
	transfer.remaining -= size
	s.backlogBytes -= size
	return size, 0
}

// finish removes a transfer whose message has gone out, or whose link has ended, and wakes the link of the one whose turn it is now.
func (s *shaper) finish(t *transfer) {
	if next := s.remove(t); next != nil {
		next.wakeWriter()
	}
}

// remove is the link of the transfer that became active by the removal; nil if none did.
func (s *shaper) remove(t *transfer) (next *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.transfers, t)
	if i < 0 {
		return nil
	}
	s.transfers = slices.Delete(s.transfers, i, i+1)
	s.backlogBytes -= t.remaining
	if i < maxActiveTransfers && len(s.transfers) >= maxActiveTransfers {
		return s.transfers[maxActiveTransfers-1].link
	}
	return nil
}
