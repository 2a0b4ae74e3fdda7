package transport

import (
	"time"

	"github.com/gammazero/deque"
)

func (l *Link) wakeWriter() {
	select {
	case l.writerWake <- struct{}{}:
	default:
	}
}

// line puts a message in line; the lock is held.
func (l *Link) enqueue(m any, size int) {
	if size <= maxChunkBytes {
		l.smallMessages.PushBack(m)
	} else {
		*m.(largeMessage).transferSlot() = l.hub.shaper.start(l, size)
		l.largeMessages.PushBack(m)
	}
}

// largeMessage is a message that may be large.
type largeMessage interface{ transferSlot() **transfer }

func (p *PendingCall) transferSlot() **transfer { return &p.transfer }

func (o *outgoingReply) transferSlot() **transfer { return &o.transfer }

// dropLargeMessages takes all large messages out of the line.
func (l *Link) dropLargeMessages() {
	for l.largeMessages.Len() > 0 {
		l.hub.shaper.finish(*l.largeMessages.PopFront().(largeMessage).transferSlot())
	}
}

// writeLoop is the link's one writer.
func (l *Link) writeLoop() {
	var buf []byte
	var timer <-chan time.Time
	for {
		select {
		case <-l.writerWake:
		case <-timer:
		}
		timer = nil
		for {
			var wait time.Duration
			if buf, wait = l.nextWrite(buf[:0]); buf == nil {
				return
			}
			if len(buf) == 0 {
				if wait > 0 {
					timer = time.After(wait)
				}
				break
			}
			l.hub.sentBytes.Add(uint64(len(buf)))
			if _, err := l.conn.Write(buf); err != nil {
				l.fail(err.Error())
				return
			}
		}
		if cap(buf) > 8*maxChunkBytes {
			buf = nil
		}
	}
}

// mayCall tells whether calls may go out. A process that does not run may have a connection that its kernel accepted: until its
// hello has come, no call goes there, so none can begin when it wakes, and each surely has not run. The lock is held.
func (l *Link) mayCall() bool { return l.peerGreeted || !l.dialled }

// nextWrite gathers what is to be written next: what is small first, then pieces of what is large as far as this process's share of
// the machine's link allows. A wait says when there is more; nil that the link is dead.
func (l *Link) nextWrite(buf []byte) (_ []byte, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, 0
	}
	if buf == nil {
		buf = []byte{}
	}
	now := l.hub.Now()
	for l.controlFrames.Len() > 0 && len(buf) < 4*maxChunkBytes {
		e := l.controlFrames.PopFront()
		e.sentAt = now
		buf = appendFrame(buf, &e)
		l.hub.sentFrames.Add(1)
	}
	if !l.mayCall() {
		l.writing = len(buf) > 0
		return buf, 0
	}
	for l.smallMessages.Len() > 0 && len(buf) < 4*maxChunkBytes {
		buf = l.appendChunk(buf, now, &l.smallMessages, maxChunkBytes)
	}
	l.hub.shaper.spend(now, len(buf))
	for n := l.largeMessages.Len(); n > 0 && len(buf) < 4*maxChunkBytes; n-- {
		t := l.largeMessages.Front().(largeMessage).transferSlot()
		size, w := l.hub.shaper.reserve(now, *t)
		if w > 0 {
			if wait == 0 || w < wait {
				wait = w
			}
			l.largeMessages.Rotate(1)
			continue
		}
		last := (*t).remaining == 0
		buf = l.appendChunk(buf, now, &l.largeMessages, size)
		if last {
			defer l.hub.shaper.finish(*t)
		}
	}
	l.writing = len(buf) > 0
	return buf, wait
}

// appendChunk writes the next piece, of so many bytes at most, of the message whose turn it is.
func (l *Link) appendChunk(buf []byte, now time.Duration, from *deque.Deque[any], most int) []byte {
	e := envelope{sentAt: now}
	var off *int
	x := from.PopFront()
	switch m := x.(type) {
	case *PendingCall:
		if m.cancelled && !m.fullySent {
			if m.transfer != nil {
				m.transfer.remaining = 0
			}
			return buf
		}
		m.fullySent = len(m.body)-m.sentBytes <= most // the other side begins when it has the whole
		e.kind, e.stream, e.method, e.expiresAt, e.body, off = uint64(callFrame), m.stream, m.method, m.expiresAt, m.body, &m.sentBytes
	case *outgoingReply:
		e.kind, e.stream, e.body, off = uint64(replyFrame), m.stream, m.body, &m.sentBytes
	}
	e.body = e.body[*off:]
	if len(e.body) > most {
		e.body = e.body[:most]
		from.PushBack(x)
	} else {
		e.last = true
	}
	*off += len(e.body)
	l.hub.sentFrames.Add(1)
	return appendFrame(buf, &e)
}
