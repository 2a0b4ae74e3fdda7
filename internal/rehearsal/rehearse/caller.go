package rehearse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/morning"
)

// ask is one request to a sidecar.
type ask struct {
	request string
	class   int
	key     string
	left    time.Duration
	origin  int
	try     int // 0 for the call of a box
}

// reply is what came of it.
type reply struct {
	status int // 0 if none
	after  time.Duration
	good   bool
}

// line is a caller's connection to a sidecar. One goroutine reads it, and knows what is owed on it.
type line struct {
	net.Conn
	to      *sidecar
	replies chan reply    // of the request that is out
	closed  chan struct{} // closed when it has ended
	mu      sync.Mutex
	out     *ask // that is out on it
}

const dialTimeout = time.Second

func (s *sidecar) dial() (*line, error) {
	c, err := net.DialTimeout("tcp", s.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	l := &line{Conn: c, to: s, replies: make(chan reply, 1), closed: make(chan struct{})}
	go l.read()
	return l, nil
}

// pool is connections on which no request is out. Callers from outside share one over all sidecars of the first tier:
// they go on using the connections that they have for as long as these stay open, whatever the front does with new ones.
type pool struct {
	mu    sync.Mutex
	lines []*line
}

// take is an idle connection, drawn at random so that all sidecars are used alike; nil if there is none.
func (p *pool) take() *line {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.lines); n > 0; n-- {
		i := rand.IntN(n)
		l := p.lines[i]
		p.lines[i] = p.lines[n-1]
		p.lines = p.lines[:n-1]
		select {
		case <-l.closed:
		default:
			return l
		}
	}
	return nil
}

func (p *pool) give(l *line) {
	p.mu.Lock()
	p.lines = append(p.lines, l)
	p.mu.Unlock()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		l.Close()
	}
	p.lines = nil
}

// read takes answers until the connection ends. What comes while nothing is owed is noted: nobody asked for it.
func (l *line) read() {
	defer close(l.closed)
	defer l.Close()
	r := bufio.NewReader(l.Conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		l.mu.Lock()
		out := l.out
		l.mu.Unlock()
		if out == nil {
			some, _ := r.Peek(min(r.Buffered(), 40))
			l.to.w.add(audit.Event{At: l.to.w.now(), Kind: audit.Stray, Sidecar: l.to.index, Box: -1, Origin: -1, Text: strconv.Quote(string(some))})
			return
		}
		answer, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
		if err != nil {
			return
		}
		var after time.Duration
		if f, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
			after = time.Duration(f * float64(time.Second))
		}
		good := bytes.HasPrefix(body, []byte("served "+out.request+" "))
		l.to.w.add(audit.Event{
			At: l.to.w.now(), Kind: audit.Answered, Request: out.request, Status: answer.StatusCode, Left: after, Good: good,
			Sidecar: l.to.index, Box: -1, Origin: out.origin, Try: out.try,
		})
		l.mu.Lock()
		l.out = nil
		l.mu.Unlock()
		l.replies <- reply{answer.StatusCode, after, good}
		if answer.Close {
			return
		}
	}
}

// send asks, and waits for the answer until the request's time is up or nobody wants it any more. It is sent once more
// on a new connection where the one before, used already, ends with nothing said: the sidecar closed it between
// requests. pick is the sidecar for a new connection, nil where there is none.
func (w *world) send(a ask, from *pool, pick func() *sidecar, gone <-chan struct{}) reply {
	give := time.NewTimer(a.left + 2*w.plan.Rules.Slack)
	defer give.Stop()
	began := w.now()
	for again := false; ; again = true {
		var l *line
		if !again {
			l = from.take()
		}
		used := l != nil
		if l == nil {
			s := pick()
			if s == nil {
				return reply{}
			}
			var err error
			if l, err = s.dial(); err != nil {
				return reply{}
			}
		}
		left := a.left - (w.now() - began)
		if left <= 0 {
			from.give(l)
			return reply{}
		}
		note := func(k audit.Kind) audit.Event {
			return audit.Event{At: w.now(), Kind: k, Request: a.request, Sidecar: l.to.index, Box: -1, Origin: a.origin, Try: a.try, Class: a.class}
		}
		l.mu.Lock()
		l.out = &a
		l.mu.Unlock()
		asked := note(audit.Asked)
		asked.Left = left
		w.add(asked)
		l.Write(text(w.plan.Classes[a.class], &a, left))
		select {
		case r := <-l.replies:
			from.give(l)
			return r
		case <-give.C:
			w.add(note(audit.GaveUp))
			l.Close()
			return reply{}
		case <-gone:
			w.add(note(audit.GaveUp))
			l.Close()
			return reply{}
		case <-l.closed:
			select {
			case r := <-l.replies: // the last on its connection
				return r
			default:
			}
			w.add(note(audit.Closed))
			if !used {
				return reply{}
			}
		}
	}
}

// text is a request as it goes out.
func text(class *morning.Class, a *ask, left time.Duration) []byte {
	method, body := "POST", "trip=dialysis\n"
	if class.Effect == balancer.Idempotent {
		method, body = "GET", ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /trips HTTP/1.1\r\nHost: api.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %du\r\n", method, a.request, class.Name, left.Microseconds())
	if class.Effect == balancer.IdempotentWithKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.key)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return []byte(b.String())
}

// call is the call of a box through its own sidecar; false if it was not served.
func (w *world) call(box int, a ask, gone <-chan struct{}) bool {
	s := w.behind[box]
	if s == nil {
		return false
	}
	r := w.send(a, &s.idle, func() *sidecar { return s }, gone)
	return r.status == http.StatusOK && r.good
}

// front deals callers out among the sidecars of the first tier. It notices only after a while that one has died.
type front struct {
	idle pool
	mu   sync.Mutex
	up   []*sidecar
	next int
}

// notice is how long the front goes on sending to a sidecar that has died.
const notice = 2 * time.Second

func (f *front) add(s *sidecar) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(s)
	f.up = append(f.up, s)
}

func (f *front) remove(s *sidecar) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(s)
}

func (f *front) removeLocked(s *sidecar) {
	kept := f.up[:0:0]
	for _, o := range f.up {
		if o != s {
			kept = append(kept, o)
		}
	}
	f.up = kept
}

func (f *front) pick() *sidecar {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.up) == 0 {
		return nil
	}
	f.next++
	return f.up[f.next%len(f.up)]
}

// first is the first sidecar, if it is in the front.
func (f *front) first(of *sidecar) *sidecar {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.up, of) {
		return nil
	}
	return of
}

// arrive plays one arrival: its tries, with waits between them, until it is served or gives up.
func (w *world) arrive(n int) {
	caller := w.plan.Caller(n, w.now())
	class := w.plan.Arrivals[n].Class
	w.counters.asked.Add(1)
	last, toFirst := 0, w.plan.AtFirst(n)
	for {
		try, left, ok := caller.Try(w.now())
		if !ok {
			break
		}
		idle, pick := &w.front.idle, w.front.pick
		if to := w.sidecars[0]; toFirst && w.front.first(to) != nil {
			idle, pick = &to.idle, func() *sidecar { return w.front.first(to) }
		}
		r := w.send(ask{request: morning.Request(n, try), class: class, key: morning.Key(n), left: left, origin: n, try: try}, idle, pick, w.ctx.Done())
		last = r.status
		wait, ok := caller.Again(w.now(), r.status, r.after)
		if !ok {
			break
		}
		select {
		case <-time.After(wait):
		case <-w.ctx.Done():
			return
		}
	}
	switch {
	case last == http.StatusOK:
		w.counters.served.Add(1)
	case morning.Refused(last):
		w.counters.refused.Add(1)
	default:
		w.counters.failed.Add(1)
	}
}

// Rude callers send what cannot be read, half of it, or nothing. rudeWait is what a sidecar has to answer or close.
const rudeWait = 8 * time.Second

const rudenesses = 10

var rudeness = [rudenesses]string{
	"", "\x16\x03\x01\x02\x00\x01\x00", "GET / HTTP/1.1\r\n", "POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
	"POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"POST /trips HTTP/1.1\r\nHost: a\r\nX-Txn: x\r\nContent-Length: 50\r\n\r\nhalf",
	"POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\nX-Txn: y\r\nX-Lane: no-such-class\r\nX-Remaining: 1000m\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\nX-Lane: book-trip\r\nX-Remaining: soon\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X-Long: "+strings.Repeat("a", 1000)+"\r\n", 40) + "\r\n",
}

// beRude plays one rude caller until it is not wanted any more.
func (w *world) beRude(i int) {
	random := rand.New(emulator.Source(w.plan.Seed, fmt.Sprint("rude ", i)))
	for w.ctx.Err() == nil && int64(i) < w.rude.Load() {
		s := w.front.pick()
		if s == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c, err := net.DialTimeout("tcp", s.address, dialTimeout)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		how := random.IntN(len(rudeness))
		io.WriteString(c, rudeness[how])
		c.SetReadDeadline(time.Now().Add(rudeWait))
		if n, err := io.Copy(io.Discard, io.LimitReader(c, 1<<20)); err != nil && n == 0 {
			if e, ok := err.(net.Error); ok && e.Timeout() && w.ctx.Err() == nil && s.serving() {
				w.hanging[how].Add(1)
			}
		}
		c.Close()
		time.Sleep(time.Duration(10+random.IntN(40)) * time.Millisecond)
	}
}
