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
	if size <= pieceMost {
		l.small.PushBack(m)
	} else {
		*m.(turner).slot() = l.hub.shape.begin(l, size)
		l.large.PushBack(m)
	}
}

// turner is a message that may be large.
type turner interface{ slot() **turn }

func (a *PendingCall) slot() **turn { return &a.turn }

func (r *reply) slot() **turn { return &r.turn }

// clearLarge takes all large messages out of the line.
func (l *Link) clearLarge() {
	for l.large.Len() > 0 {
		l.hub.shape.end(*l.large.PopFront().(turner).slot())
	}
}

// write is the link's one writer.
func (l *Link) write() {
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
			if buf, wait = l.fill(buf[:0]); buf == nil {
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
		if cap(buf) > 8*pieceMost {
			buf = nil
		}
	}
}

// greeted tells whether calls may go out. A process that does not run may have a connection that its kernel accepted: until its
// hello has come, no call goes there, so none can begin when it wakes, and each surely has not run. The lock is held.
func (l *Link) greeted() bool { return l.peerGreeted || !l.dialled }

// fill gathers what is to be written next: what is small first, then pieces of what is large as far as this process's share of
// the machine's link allows. A wait says when there is more; nil that the link is dead.
func (l *Link) fill(buf []byte) (_ []byte, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return nil, 0
	}
	if buf == nil {
		buf = []byte{}
	}
	now := l.hub.Now()
	for l.urgent.Len() > 0 && len(buf) < 4*pieceMost {
		e := l.urgent.PopFront()
		e.clock = now
		buf = appendFrame(buf, &e)
		l.hub.sentFrames.Add(1)
	}
	if !l.greeted() {
		l.writing = len(buf) > 0
		return buf, 0
	}
	for l.small.Len() > 0 && len(buf) < 4*pieceMost {
		buf = l.piece(buf, now, &l.small, pieceMost)
	}
	l.hub.shape.spend(now, len(buf))
	for n := l.large.Len(); n > 0 && len(buf) < 4*pieceMost; n-- {
		t := l.large.Front().(turner).slot()
		size, w := l.hub.shape.take(now, *t)
		if w > 0 {
			if wait == 0 || w < wait {
				wait = w
			}
			l.large.Rotate(1)
			continue
		}
		last := (*t).left == 0
		buf = l.piece(buf, now, &l.large, size)
		if last {
			defer l.hub.shape.end(*t)
		}
	}
	l.writing = len(buf) > 0
	return buf, wait
}

// piece writes the next piece, of so many bytes at most, of the message whose turn it is.
func (l *Link) piece(buf []byte, now time.Duration, from *deque.Deque[any], most int) []byte {
	e := envelope{clock: now}
	var off *int
	x := from.PopFront()
	switch m := x.(type) {
	case *PendingCall:
		if m.quit && !m.sent {
			if m.turn != nil {
				m.turn.left = 0
			}
			return buf
		}
		m.sent = len(m.body)-m.off <= most // the other side begins when it has the whole
		e.kind, e.stream, e.method, e.expires, e.body, off = uint64(callFrame), m.stream, m.method, m.expire, m.body, &m.off
	case *reply:
		e.kind, e.stream, e.body, off = uint64(replyFrame), m.stream, m.body, &m.off
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
