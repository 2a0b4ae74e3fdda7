package transport

import (
	"slices"
	"sync"
	"time"
)

const (
	// linkRateFraction is the fraction of the machine's uplink that large messages of all links together may use. The rest keeps the queue
	// of the uplink short for small messages.
	linkRateFraction = 0.9
	// maxActiveTransfers is the number of large messages that are sent at once, in the order in which they were queued: if all of them
	// shared a full link evenly, all would be late.
	maxActiveTransfers = 3
	// maxChunkTime is how long a chunk may occupy the uplink, and so how long a small message waits for one at most.
	maxChunkTime  = 4 * time.Millisecond
	minChunkBytes = 2 << 10
	// transferRecheckInterval is the time after which a writer checks again whether an inactive transfer has become active, if finish has
	// not woken it before.
	transferRecheckInterval = 250 * time.Millisecond
	// minShapingWait is the shortest time until a writer tries again to reserve a chunk.
	minShapingWait = time.Millisecond
	// burstChunks is the size of the token bucket in chunks, and maxDebtBursts how far small messages may overdraw it, in buckets.
	burstChunks   = 2
	maxDebtBursts = 4
	bitsPerByte   = 8
)

// transfer is a large message that is being sent. The lock of its link guards it: callers of the shaper's methods hold that lock for the
// transfer that they pass.
type transfer struct {
	link      *Link // never changes
	remaining int   // bytes for which no chunk was reserved yet
}

// shaper paces the large messages of a process by a token bucket for all its links. Its zero value does not pace. Its mutex is locked after
// a link's.
type shaper struct {
	mu           sync.Mutex
	rate         float64 // bytes per second; 0 for no bound
	tokens       float64 // bytes that may be sent now; negative if small messages have overdrawn the bucket
	refilledAt   time.Duration
	transfers    []*transfer // in the order of their start; the first maxActiveTransfers are active
	backlogBytes int         // sum of remaining over all transfers
	chunkBytes   int         // of a chunk; 0 for maxChunkBytes
}

// limitRate sets the uplink's rate in bits per second; 0 for no bound.
func (s *shaper) limitRate(bitsPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = linkRateFraction * bitsPerSecond / bitsPerByte
	if bitsPerSecond > 0 {
		s.chunkBytes = min(max(int(s.rate*maxChunkTime.Seconds()), minChunkBytes), maxChunkBytes)
	}
}

// backlog returns the time until all transfers, and moreBytes more, have been sent; 0 if the rate is not bounded.
func (s *shaper) backlog(moreBytes float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate <= 0 {
		return 0
	}
	return time.Duration((float64(s.backlogBytes) + moreBytes) / s.rate * float64(time.Second))
}

// maxChunk returns the bound on a chunk in bytes.
func (s *shaper) maxChunk() int {
	if s.chunkBytes == 0 {
		return maxChunkBytes
	}
	return s.chunkBytes
}

// burst returns the size of the token bucket in bytes.
func (s *shaper) burst() float64 { return float64(burstChunks * s.maxChunk()) }

// refill adds the tokens for the time since the last refill. The lock is held.
func (s *shaper) refill(now time.Duration) {
	s.tokens = min(s.tokens+s.rate*(now-s.refilledAt).Seconds(), s.burst())
	s.refilledAt = now
}

// spend takes tokens for n bytes of small messages, which do not wait for tokens.
func (s *shaper) spend(now time.Duration, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate > 0 && n > 0 {
		s.refill(now)
		s.tokens = max(s.tokens-float64(n), -maxDebtBursts*s.burst())
	}
}

// start adds a transfer for a large message of a link, of size bytes.
func (s *shaper) start(l *Link, size int) *transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &transfer{link: l, remaining: size}
	s.transfers = append(s.transfers, t)
	s.backlogBytes += size
	return t
}

// reserve takes tokens for the next chunk of a transfer and returns the size of the chunk in bytes, or the time after which to try again.
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

// finish removes a transfer whose message was sent, or whose link has ended, and wakes the writer of the transfer that becomes active.
func (s *shaper) finish(t *transfer) {
	if next := s.remove(t); next != nil {
		next.wakeWriter()
	}
}

// remove removes a transfer. It returns the link of the transfer that becomes active by that; nil if none does.
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
