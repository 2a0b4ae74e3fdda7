package transport

import (
	"time"

	"github.com/gammazero/deque"
)

const (
	maxWriteBytes          = 4 * maxChunkBytes // size at which no further frame is added to a write; the last frame may exceed it
	maxRetainedBufferBytes = 8 * maxChunkBytes // largest buffer that a writer retains for the next write
)

// outgoingMessage is a call or a reply that a link's writer sends in one or more chunks.
type outgoingMessage interface {
	// progress returns the body of the message, and how much of it was sent.
	progress() *sendProgress
	// frame returns the envelope of the message's next chunk, without the body.
	frame() envelope
	// abandoned reports whether the rest of the message must not be sent.
	abandoned() bool
	// completed is called when the message's last chunk is added to a write.
	completed()
	// replyBytes returns the memory in bytes that an unsent reply takes; 0 for a call.
	replyBytes() int
	// discarded is called when the message is removed from the queue before it was sent completely.
	discarded()
}

func (s *sendProgress) progress() *sendProgress { return s }

func (p *PendingCall) frame() envelope {
	return envelope{kind: uint64(callFrame), stream: p.stream, method: p.method, expiresAt: p.expiresAt}
}

func (p *PendingCall) abandoned() bool { return p.cancelled && !p.fullySent }

func (p *PendingCall) completed() { p.fullySent = true }

func (p *PendingCall) discarded() {}

func (p *PendingCall) replyBytes() int { return 0 }

func (o *outgoingReply) frame() envelope { return envelope{kind: uint64(replyFrame), stream: o.stream} }

func (o *outgoingReply) abandoned() bool { return false }

func (o *outgoingReply) completed() { o.release() }

func (o *outgoingReply) discarded() { o.release() }

func (o *outgoingReply) replyBytes() int { return o.unsentBytes + replyOverheadBytes }

// sendQueue holds what a link has to send: control frames first, then small messages, then large ones. The lock of the link guards it.
type sendQueue struct {
	control deque.Deque[envelope]
	small   deque.Deque[outgoingMessage] // messages of one chunk
	large   deque.Deque[outgoingMessage] // messages of several chunks; each has a transfer in the shaper

	pongs      int // number of pongs in control
	replyBytes int // number of bytes of the replies in small, with replyOverheadBytes for each
}

func (q *sendQueue) len() int { return q.control.Len() + q.small.Len() + q.large.Len() }

// clear discards all frames and messages.
func (q *sendQueue) clear(now time.Duration, s *shaper) {
	q.small.Clear()
	q.replyBytes = 0
	q.pongs = 0
	for q.large.Len() > 0 {
		q.discardLarge(now, s)
	}
	q.control.Clear()
}

// discardLarge discards the large message at the front of the queue, and ends its transfer.
func (q *sendQueue) discardLarge(now time.Duration, s *shaper) {
	message := q.large.PopFront()
	message.discarded()
	s.finish(now, message.progress().transfer)
}

// enqueue adds a message to the queue, and starts a transfer for a large message. The caller holds the lock.
func (l *Link) enqueue(m outgoingMessage) {
	p := m.progress()
	if p.unsentBytes <= maxChunkBytes {
		l.queue.replyBytes += m.replyBytes()
		l.queue.small.PushBack(m)
		return
	}
	p.transfer = l.hub.shaper.start(l, p.unsentBytes)
	l.queue.large.PushBack(m)
}

// wakeWriter wakes the writer, which then checks the queue. It never blocks.
func (l *Link) wakeWriter() {
	select {
	case l.writerWake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// writeLoop writes what is queued until the link ends.
func (l *Link) writeLoop() {
	var buf []byte
	var pacing <-chan time.Time // receives when the shaper allows the next chunk; nil if nothing waits for it
	for {
		select {
		case <-l.writerWake:
		case <-pacing:
		}
		pacing = nil
		wait, ok := l.flush(&buf)
		if !ok {
			return
		}
		if wait > 0 {
			pacing = time.After(wait)
		}
		if cap(buf) > maxRetainedBufferBytes {
			buf = nil
		}
	}
}

// flush writes everything that may be sent now. wait is the time until the shaper allows another chunk; 0 if the writer must wait for a
// wake-up. ok is false if the link has ended.
func (l *Link) flush(buf *[]byte) (wait time.Duration, ok bool) {
	for {
		*buf, wait, ok = l.nextWrite((*buf)[:0])
		if !ok || len(*buf) == 0 {
			return wait, ok
		}
		l.hub.traffic.sentBytes.Add(uint64(len(*buf)))
		if _, err := l.conn.Write(*buf); err != nil {
			l.fail(err.Error())
			return 0, false
		}
		l.replySpace.wake()
	}
}

// nextWrite appends the frames of the next write to buf: control frames, then small messages, then the chunks of large messages that the
// shaper allows. wait is the time until the shaper allows another chunk; 0 if no message waits for it. ok is false if the link is closed.
func (l *Link) nextWrite(buf []byte) (_ []byte, wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return buf, 0, false
	}
	now := l.hub.Now()
	if l.writing {
		l.recordWritten(now)
	}
	buf = l.appendControlFrames(buf, now)
	if l.canSendCalls() {
		buf = l.appendSmallMessages(buf, now)
		l.hub.shaper.spend(now, len(buf))
		buf, wait = l.appendLargeMessages(buf, now)
	}
	l.writing = len(buf) > 0
	return buf, wait, true
}

func (l *Link) appendControlFrames(buf []byte, now time.Duration) []byte {
	for l.queue.control.Len() > 0 && len(buf) < maxWriteBytes {
		e := l.queue.control.PopFront()
		if frameKind(e.kind) == pongFrame {
			l.queue.pongs--
		}
		e.sentAt = now
		buf = appendFrame(buf, &e)
		l.hub.traffic.sentFrames.Add(1)
	}
	return buf
}

func (l *Link) appendSmallMessages(buf []byte, now time.Duration) []byte {
	for l.queue.small.Len() > 0 && len(buf) < maxWriteBytes {
		l.queue.replyBytes -= l.queue.small.Front().replyBytes()
		buf = l.appendChunk(buf, now, &l.queue.small, maxChunkBytes)
	}
	return buf
}

// appendLargeMessages appends a chunk of each large message for which the shaper allows one, and discards abandoned ones. wait is the
// shortest time until the shaper allows another chunk; 0 if no message waits for it.
func (l *Link) appendLargeMessages(buf []byte, now time.Duration) (_ []byte, wait time.Duration) {
	for n := l.queue.large.Len(); n > 0 && len(buf) < maxWriteBytes; n-- {
		if l.queue.large.Front().abandoned() {
			l.queue.discardLarge(now, &l.hub.shaper)
			continue
		}
		transfer := l.queue.large.Front().progress().transfer
		size, delay := l.hub.shaper.reserve(now, transfer)
		if delay > 0 {
			if wait == 0 || delay < wait {
				wait = delay
			}
			l.queue.large.Rotate(1)
			continue
		}
		complete := transfer.unreservedBytes == 0
		buf = l.appendChunk(buf, now, &l.queue.large, size)
		if complete {
			defer l.hub.shaper.finish(now, transfer) // only when this function returns, so that the next transfer becomes active with the next write
		}
	}
	return buf, wait
}

// appendChunk appends a frame with the next chunk, of at most limit bytes, of the message at the front of a queue. If more of the message
// remains to be sent, the message moves to the back of the queue. An abandoned message is discarded.
func (l *Link) appendChunk(buf []byte, now time.Duration, queue *deque.Deque[outgoingMessage], limit int) []byte {
	message := queue.PopFront()
	progress := message.progress()
	if message.abandoned() {
		message.discarded()
		return buf
	}
	frame := message.frame()
	frame.sentAt = now
	frame.body = progress.next(limit, &l.scratch)
	if progress.unsentBytes > 0 {
		queue.PushBack(message)
	} else {
		frame.last = true
		message.completed()
	}
	l.hub.traffic.sentFrames.Add(1)
	return appendFrame(buf, &frame)
}
