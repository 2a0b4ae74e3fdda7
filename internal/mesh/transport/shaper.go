package transport

import (
	"slices"
	"sync"
	"time"
)

const (
	// uplinkFraction is the fraction of the machine's uplink rate that the large messages of all links together may use. The rest keeps the
	// queue of the uplink short for small messages.
	uplinkFraction = 0.9
	// maxActiveTransfers is the number of large messages that are sent at once; they become active in the order in which they were queued.
	// If all of them shared a fully used uplink evenly, all of them would be late. Stalled transfers don't count.
	maxActiveTransfers = 3
	// maxChunkTime is the longest time that a chunk may occupy the uplink, and thus the longest time that a small message waits for a chunk.
	maxChunkTime = 4 * time.Millisecond
	// minChunkBytes is the lower bound of shaper.chunkBytes on a slow uplink.
	minChunkBytes = 2 << 10
	// transferRecheckInterval is the time after which a writer checks again whether an inactive transfer has become active, unless finish
	// wakes it earlier.
	transferRecheckInterval = 250 * time.Millisecond
	// stallTimeout is the time without a call of reserve after which a transfer is stalled: its writer is not asking for chunks, because the
	// link is not established, or because the peer reads nothing. It is longer than transferRecheckInterval.
	stallTimeout = 2 * transferRecheckInterval
	// minShapingWait is the shortest time until a writer tries again to reserve a chunk.
	minShapingWait = time.Millisecond
	// burstChunks is the size of the token bucket, in chunks.
	burstChunks = 2
	// maxDebtBursts is how far small messages may overdraw the token bucket, in multiples of its size.
	maxDebtBursts = 4
	bitsPerByte   = 8
)

// transfer is the shaper's state for a large message that is being sent. The lock of its link guards it; whoever passes a transfer to a
// method of the shaper holds that lock.
type transfer struct {
	link            *Link // set at creation, and never changed
	unreservedBytes int   // number of bytes for which no chunk was reserved yet

	// lastTry is when reserve was last called, if tried is set. The shaper's lock guards both.
	lastTry time.Duration
	tried   bool
}

// stalled reports whether a transfer must not hold up others.
func (t *transfer) stalled(now time.Duration) bool { return !t.tried || now-t.lastTry > stallTimeout }

// shaper paces the large messages of a process by one token bucket for all links. The zero value does not limit the rate. The shaper's
// mutex is locked after a link's mutex.
type shaper struct {
	mu           sync.Mutex
	rate         float64       // rate for large messages in bytes per second; 0 if it is unlimited
	tokens       float64       // number of bytes that may be sent now; negative if small messages have overdrawn the bucket
	refilledAt   time.Duration // when refill was last called
	transfers    []*transfer   // transfers in the order of their start; the first maxActiveTransfers that are not stalled are active
	backlogBytes int           // sum of unreservedBytes over all transfers
	chunkBytes   int           // largest chunk in bytes; 0 for maxChunkBytes
}

// limitRate sets the uplink's rate in bits per second; 0 if it is unlimited.
func (s *shaper) limitRate(bitsPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = uplinkFraction * bitsPerSecond / bitsPerByte
	if bitsPerSecond > 0 {
		s.chunkBytes = min(max(int(s.rate*maxChunkTime.Seconds()), minChunkBytes), maxChunkBytes)
	}
}

// backlog returns the time that it takes to send the rest of all transfers and moreBytes more; 0 if the rate is unlimited.
func (s *shaper) backlog(moreBytes float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate <= 0 {
		return 0
	}
	return time.Duration((float64(s.backlogBytes) + moreBytes) / s.rate * float64(time.Second))
}

// queued returns the number of transfers, and the sum of their unreservedBytes.
func (s *shaper) queued() (count, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.transfers), s.backlogBytes
}

// maxChunk returns the size of the largest chunk in bytes.
func (s *shaper) maxChunk() int {
	if s.chunkBytes == 0 {
		return maxChunkBytes
	}
	return s.chunkBytes
}

// burst returns the size of the token bucket in bytes.
func (s *shaper) burst() float64 { return float64(burstChunks * s.maxChunk()) }

// refill adds the tokens for the time since the last refill. The caller holds the shaper's lock.
func (s *shaper) refill(now time.Duration) {
	s.tokens = min(s.tokens+s.rate*(now-s.refilledAt).Seconds(), s.burst())
	s.refilledAt = now
}

// spend takes tokens for n bytes of small messages and control frames, which are sent without waiting for tokens.
func (s *shaper) spend(now time.Duration, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate > 0 && n > 0 {
		s.refill(now)
		s.tokens = max(s.tokens-float64(n), -maxDebtBursts*s.burst())
	}
}

// start adds a transfer for a large message of size bytes on a link, and returns it.
func (s *shaper) start(l *Link, size int) *transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &transfer{link: l, unreservedBytes: size}
	s.transfers = append(s.transfers, t)
	s.backlogBytes += size
	return t
}

// reserve takes tokens for the next chunk of a transfer, and returns the size of the chunk in bytes. If the chunk can't be sent yet, wait
// is the time after which to try again; otherwise it is 0.
func (s *shaper) reserve(now time.Duration, transfer *transfer) (size int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	transfer.tried = true
	transfer.lastTry = now
	size = min(transfer.unreservedBytes, s.maxChunk())
	if s.rate > 0 {
		if !s.isActive(now, transfer) {
			return 0, transferRecheckInterval
		}
		s.refill(now)
		if missing := float64(size) - s.tokens; missing > 0 {
			return 0, max(time.Duration(missing/s.rate*float64(time.Second)), minShapingWait)
		}
		s.tokens -= float64(size)
	}
	transfer.unreservedBytes -= size
	s.backlogBytes -= size
	return size, 0
}

// isActive reports whether fewer than maxActiveTransfers transfers that are not stalled were started before t. The caller holds the lock.
func (s *shaper) isActive(now time.Duration, t *transfer) bool {
	earlier := 0
	for _, other := range s.transfers {
		if other == t || earlier == maxActiveTransfers {
			break
		}
		if !other.stalled(now) {
			earlier++
		}
	}
	return earlier < maxActiveTransfers
}

// finish removes a transfer whose message was sent or abandoned, or whose link has ended. It must be called for each transfer that was
// started. It wakes the writer of the transfer that thereby becomes active, if there is one.
func (s *shaper) finish(now time.Duration, t *transfer) {
	if next := s.remove(now, t); next != nil {
		next.wakeWriter()
	}
}

// remove removes a transfer. It returns the link of the last active transfer, which may thereby have become active; nil if there are fewer
// than maxActiveTransfers.
func (s *shaper) remove(now time.Duration, t *transfer) (lastActive *Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.transfers, t)
	if i < 0 {
		return nil
	}
	s.transfers = slices.Delete(s.transfers, i, i+1)
	s.backlogBytes -= t.unreservedBytes
	active := 0
	for _, other := range s.transfers {
		if other.stalled(now) {
			continue
		}
		active++
		if active == maxActiveTransfers {
			return other.link
		}
	}
	return nil
}
