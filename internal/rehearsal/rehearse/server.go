package rehearse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/h3"
)

// server is one server on a socket, on top of its model.
type server struct {
	rehearsal *rehearsal
	index     int
	spec      *scenario.Server

	mu          sync.Mutex
	model       *emulator.Server // nil while it is down
	listener    *net.TCPListener
	connections map[*connection]bool
	calls       map[uint64]*attempt // in the model
	timer       *time.Timer
	incarnation int           // counts its starts: what belongs to an earlier one is void
	silent      bool          // its machine is away
	accepting   chan struct{} // closed when nothing is accepted any more
	wake        chan struct{} // closed when a silence ends
	backlogFill []net.Conn    // connections that fill the backlog of a silent machine
	faults      map[string]float64
	random      *rand.Rand

	http3Endpoint *h3.Endpoint         // nil where its tier speaks HTTP/1.1 alone
	streams       map[*stream]*attempt // that are open on it
	previousEnded chan struct{}        // closed when an earlier incarnation has let go of its UDP socket
	muted         atomic.Bool          // nothing comes to its UDP socket, and nothing leaves it
}

// connection is a connection from a sidecar.
type connection struct {
	net.Conn
	server      *server
	incarnation int
	current     *attempt // that is out on it; server.mu guards it
}

// responder is what an attempt came on: a connection of HTTP/1.1, or a stream of HTTP/3. Its methods are called with
// server.mu held, and do not wait.
type responder interface {
	answer(status int, turnedAway bool, load, body string)
	garble()          // an answer that cannot be used
	reset()           // an end without an answer
	release(*attempt) // the call on it has ended
}

// callThrough is an attempt that a server works on.
type attempt struct {
	id             uint64 // of the attempt, and in the model
	responder      responder
	incarnation    int // of the server, when its connection began
	request        string
	key            string
	class          int
	origin         int
	expires        time.Duration
	workAfterCalls time.Duration // work that comes after its calls
	afterCalls     bool          // it does the work after its calls
	work           time.Duration // that it has had done
	muted          bool          // it gets no answer: its machine is away, or loses it
	ended          chan struct{} // closed when it ended
}

func newServer(w *rehearsal, index int) *server {
	b := &server{
		rehearsal: w, index: index, spec: &w.plan.Servers[index], connections: map[*connection]bool{}, streams: map[*stream]*attempt{}, calls: map[uint64]*attempt{}, faults: map[string]float64{},
		random: rand.New(emulator.RandomSource(w.plan.Seed, fmt.Sprint("faults ", index))),
	}
	b.timer = time.AfterFunc(time.Hour, b.handleTimer)
	b.timer.Stop()
	return b
}

// start brings the server up.
func (b *server) start(cold bool) error {
	b.awaitPreviousEnd(b.rehearsal.ctx)
	address, err := net.ResolveTCPAddr("tcp", b.rehearsal.serverAddress(b.spec.Slot))
	if err != nil {
		return err
	}
	l, err := net.ListenTCP("tcp", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.incarnation++
	b.silent = false
	b.model = emulator.NewServer(b.spec.Spec, max(0, b.rehearsal.now()), cold)
	b.listener = l
	life := b.incarnation
	if cold {
		b.rehearsal.record(audit.Event{At: b.rehearsal.now(), Kind: audit.ServerStarted, Server: b.index, Sidecar: -1, Origin: -1})
	}
	b.mu.Unlock()
	accepting := make(chan struct{})
	b.mu.Lock()
	b.accepting = accepting
	b.mu.Unlock()
	go func() {
		defer close(accepting)
		b.accept(l, life)
	}()
	return b.startHTTP3(life)
}

func (b *server) accept(l *net.TCPListener, life int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed, or told to stop by a deadline
		}
		b.mu.Lock()
		if b.incarnation != life || b.silent {
			b.mu.Unlock()
			closeConn(c)
			return
		}
		k := &connection{Conn: c, server: b, incarnation: life}
		full := b.spec.Spec.Connections > 0 && len(b.connections) >= b.spec.Spec.Connections
		if !full {
			b.connections[k] = true
			b.addOverhead(b.spec.Spec.HandshakeWork)
		}
		b.mu.Unlock()
		if full {
			reset(c)
			continue
		}
		go k.serve()
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails where the connection is closed already
	}
	closeConn(c)
}

// closeConn closes a connection that may be closed already: nothing is waiting to be written on it.
func closeConn(c net.Conn) { _ = c.Close() }

// stop ends the server: its listener and connections, these with a reset. What it had in work is lost.
func (b *server) stop() {
	b.mu.Lock()
	b.stopLocked()
	b.mu.Unlock()
}

// stopLocked is stop with b.mu held.
func (b *server) stopLocked() {
	b.incarnation++
	b.model = nil
	b.timer.Stop()
	if b.listener != nil {
		_ = b.listener.Close() // open, or closed with nothing to lose
		b.listener = nil
	}
	for _, c := range b.backlogFill {
		closeConn(c)
	}
	b.backlogFill = nil
	if b.wake != nil {
		close(b.wake)
		b.wake = nil
	}
	for c := range b.connections {
		if c.current != nil {
			b.finish(c.current, audit.Dropped)
		}
		reset(c.Conn)
		delete(b.connections, c)
	}
	b.stopHTTP3()
	clear(b.calls)
}

// silence takes the machine away: open connections stay open, nothing that comes is answered, and no new connection
// comes up. For the last, its backlog is made as short as can be and filled with connections of our own, after
// which the kernel drops the first packet of others.
func (b *server) silence() {
	b.mu.Lock()
	if b.model == nil || b.silent {
		b.mu.Unlock()
		return
	}
	b.silent, b.model = true, nil
	b.timer.Stop()
	b.wake = make(chan struct{})
	clear(b.calls)
	for c := range b.connections {
		if c.current != nil {
			c.current.muted = true
		}
	}
	for _, k := range b.streams {
		k.muted = true
	}
	b.muted.Store(true)
	l, life := b.listener, b.incarnation
	_ = l.SetDeadline(time.Unix(1, 0)) // accept returns, and takes no more; it has where the listener is closed
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // the backlog is filled below, whatever its length
	}
	accepting := b.accepting
	b.mu.Unlock()
	<-accepting // it would make room again
	// One that does not come up in time may be this machine's slowness; two in a row are a backlog that is full.
	for tries, failed := 0, 0; tries < 16 && failed < 2; tries++ {
		c, err := b.rehearsal.dial(l.Addr().String(), 60*time.Millisecond)
		if err != nil {
			failed++
			continue
		}
		failed = 0
		b.mu.Lock()
		if b.incarnation != life || !b.silent {
			b.mu.Unlock()
			closeConn(c)
			return
		}
		b.backlogFill = append(b.backlogFill, c)
		b.mu.Unlock()
	}
}

// addOverhead has the model do work that is no job.
func (b *server) addOverhead(work time.Duration) {
	if b.model == nil || work <= 0 {
		return
	}
	b.advance()
	if b.model != nil && b.model.AddOverhead(b.rehearsal.now(), work) == emulator.Collapsed {
		b.collapse()
	}
	b.resetTimer()
}

func (b *server) collapse() {
	b.rehearsal.record(audit.Event{At: b.rehearsal.now(), Kind: audit.ServerCollapsed, Server: b.index, Sidecar: -1, Origin: -1})
	b.stopLocked()
	if life, keeper := b.incarnation, b.rehearsal.plan.Tiers[b.spec.Tier].RestartAfterCollapse; keeper > 0 {
		time.AfterFunc(keeper, func() { b.restartAfterCollapse(life) })
	}
}

// restartAfterCollapse has the server's keeper start it again after a fall, if nothing has happened to it since. Discovery hears of it as
// of any start.
func (b *server) restartAfterCollapse(life int) {
	b.mu.Lock()
	same := b.incarnation == life
	b.mu.Unlock()
	if !same || b.rehearsal.ctx.Err() != nil || b.start(true) != nil {
		return
	}
	boot := b.rehearsal.now()
	time.AfterFunc(b.rehearsal.plan.Discovery.AddDelay, func() {
		b.mu.Lock()
		same := b.incarnation == life+1
		b.mu.Unlock()
		if same {
			b.rehearsal.discovery[b.spec.Tier].update(b.index, "Ready", boot)
		}
	})
}

// resetTimer sets the timer to when the model wants to be looked at.
func (b *server) resetTimer() {
	if b.model == nil {
		return
	}
	if next, ok := b.model.Next(); ok {
		b.timer.Reset(max(0, next-b.rehearsal.now()))
	}
}

// handleTimer is the timer's.
func (b *server) handleTimer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model == nil {
		return
	}
	if next, ok := b.model.Next(); ok {
		if late := b.rehearsal.now() - next; late > lateThreshold {
			b.rehearsal.record(audit.Event{At: b.rehearsal.now(), Kind: audit.EmulatorLate, Duration: late, Server: b.index, Sidecar: -1, Origin: -1})
		}
	}
	b.advance()
	b.resetTimer()
}

// advance brings the model up to now and goes on with what has ended its work. b.mu is held.
func (b *server) advance() {
	b.complete(b.model.Advance(b.rehearsal.now()))
}

func (b *server) complete(done []emulator.Completion) {
	for _, d := range done {
		c := b.calls[d.ID]
		if c == nil {
			if b.model != nil {
				b.complete(b.model.Release(b.rehearsal.now(), d.ID))
			}
			continue
		}
		if d.Expired {
			b.answer(c, audit.Rejected)
			continue
		}
		c.work += b.model.WorkDone(d.ID)
		tier := b.rehearsal.plan.Tiers[b.spec.Tier]
		if tier.Calls != "" && !c.afterCalls {
			b.rehearsal.calls.Add(1)
			go b.callNextTier(c)
			continue
		}
		more := b.model.Release(b.rehearsal.now(), d.ID)
		b.answer(c, audit.Served)
		if b.model != nil {
			b.complete(more)
		}
	}
}

// callNextTier makes a call's own calls to the next tier, one after another, and then goes on with its work.
func (b *server) callNextTier(c *attempt) {
	defer b.rehearsal.calls.Done()
	tier := b.rehearsal.plan.Tiers[b.spec.Tier]
	for i := range tier.CallsPerRequest {
		key := ""
		if c.key != "" {
			key = fmt.Sprintf("%s.%d", c.key, i)
		}
		left := c.expires - b.rehearsal.now()
		ok := left > 0 && b.rehearsal.callThrough(b.index, callerRequest{request: fmt.Sprintf("%s.%d-%d", c.request, c.id, i), class: c.class, key: key, timeLeft: left, origin: c.origin}, c.ended)
		if !ok {
			b.mu.Lock()
			if b.calls[c.id] == c {
				more := b.model.Release(b.rehearsal.now(), c.id)
				b.answer(c, audit.Failed)
				b.complete(more)
				b.resetTimer()
			}
			b.mu.Unlock()
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls[c.id] != c {
		return // cancelled meanwhile, or the server has ended
	}
	b.advance()
	c.afterCalls = true
	b.model.Resume(b.rehearsal.now(), c.id, c.workAfterCalls)
	b.resetTimer()
}

// finish notes the end of an attempt.
func (b *server) finish(c *attempt, how audit.AttemptResult) {
	select {
	case <-c.ended:
		return
	default:
	}
	close(c.ended)
	b.rehearsal.record(audit.Event{At: b.rehearsal.now(), Kind: audit.AttemptEnded, Request: c.request, AttemptID: c.id, Server: b.index, Sidecar: -1, Result: how, Work: c.work, Origin: c.origin})
	delete(b.calls, c.id)
	c.responder.release(c)
}

// answer ends a call with its answer.
func (b *server) answer(c *attempt, how audit.AttemptResult) {
	if c.muted {
		delete(b.calls, c.id)
		return
	}
	if how == audit.Served && b.random.Float64() < b.faults["garble"] {
		how = audit.Garbled
	}
	b.finish(c, how)
	switch body := fmt.Sprintf("served %s by %s\n", c.request, b.spec.UID); how {
	case audit.Failed:
		c.responder.answer(http.StatusInternalServerError, false, b.loadReport(), "failed\n")
	case audit.Rejected:
		c.responder.answer(http.StatusServiceUnavailable, true, b.loadReport(), "no room\n")
	case audit.Garbled:
		c.responder.garble()
	default:
		c.responder.answer(http.StatusOK, false, b.loadReport(), body)
	}
}

func (c *connection) release(k *attempt) {
	if c.current == k {
		c.current = nil
	}
}

func (c *connection) answer(status int, turnedAway bool, load, body string) {
	extra := ""
	if load != "" {
		extra = "X-Pressure: " + load + "\r\n"
	}
	if turnedAway {
		extra += "X-Turned-Away: 1\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))                                                                                // on a connection that is closed, writing fails as well
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), extra, body) // the sidecar may have gone: it is not told then
}

// garble is a head that cannot be read, and nothing behind it.
func (c *connection) garble() {
	_, _ = io.WriteString(c, "HTTP/1.1 2oo \x00\x01 fine\r\nContent-Length: -7\r\n\r\n") // the sidecar may have gone
}

func (c *connection) reset() { reset(c.Conn) }

// loadReport is the load of the server, where it tells of it.
func (b *server) loadReport() string {
	if b.model == nil || b.spec.Spec.ReportEvery == 0 {
		return ""
	}
	if r, ok := b.model.LoadReport(); ok {
		return fmt.Sprintf("inflight=%d,queue=%d,util=%.3f", r.InFlight, r.Queued, r.Utilization)
	}
	return ""
}

const maxBodyBytes = 64 << 10

// serve reads the requests of one connection.
func (c *connection) serve() {
	b := c.server
	defer closeConn(c)
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.connections, c)
		if c.current != nil {
			b.cancel(c.current)
		}
	}()
	r := bufio.NewReader(c.Conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := b.rehearsal.now()
		req, err := http.ReadRequest(r)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(io.LimitReader(req.Body, maxBodyBytes+1))
		}
		if err != nil || len(body) > maxBodyBytes {
			if req != nil && !errors.Is(err, io.EOF) {
				c.recordTruncated(first, req)
			}
			return
		}
		b.mu.Lock()
		ok := c.handle(first, req)
		b.mu.Unlock()
		if !ok {
			return
		}
	}
}

// recordTruncated notes an attempt whose end never came: it never ran.
func (c *connection) recordTruncated(first time.Duration, req *http.Request) {
	b := c.server
	id := b.rehearsal.attempts.Add(1)
	e := audit.Event{At: b.rehearsal.now(), FirstByteAt: first, Request: req.Header.Get("X-Txn"), AttemptID: id, Server: c.server.index, Sidecar: -1, Origin: -1, Kind: audit.AttemptReceived}
	if e.Request == "" {
		return
	}
	b.rehearsal.record(e)
	e.Kind, e.Result = audit.AttemptEnded, audit.Truncated
	b.rehearsal.record(e)
}

// cancel ends a call that its sidecar has given up.
func (b *server) cancel(k *attempt) {
	if b.model != nil && b.calls[k.id] == k {
		b.advance()
		if b.calls[k.id] != k { // it ended just now
			b.resetTimer()
			return
		}
		got := b.model.WorkDone(k.id)
		stopped, expired := b.model.Cancel(b.rehearsal.now(), k.id)
		if !stopped {
			got = 0 // it goes on for nobody: the whole of it is done
			k.work += k.workAfterCalls
		}
		k.work += got
		b.finish(k, audit.Canceled)
		b.complete(expired)
		b.resetTimer()
		return
	}
	b.finish(k, audit.Canceled)
}

// handle takes a request; false ends the connection. b.mu is held.
func (c *connection) handle(first time.Duration, req *http.Request) bool {
	b := c.server
	if req.URL.Path == "/health" && req.Header.Get("X-Txn") == "" {
		if !b.silent {
			b.addOverhead(30 * time.Microsecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // the sidecar may have gone
		}
		return true
	}
	if c.current != nil {
		return false // two at once on one connection: no sidecar does that
	}
	k := b.newAttempt(c, c.incarnation, req.Header)
	c.current = k
	return b.beginAttempt(k, first)
}

// newAttempt is an attempt that has come whole.
func (b *server) newAttempt(by responder, life int, h http.Header) *attempt {
	k := &attempt{id: b.rehearsal.attempts.Add(1), responder: by, incarnation: life, request: h.Get("X-Txn"), key: h.Get("Idempotency-Key"), ended: make(chan struct{}), origin: arrivalOf(h.Get("X-Txn"))}
	k.class, _ = b.rehearsal.class(h.Get("X-Lane"))
	if left, err := parseRemaining(h.Get("X-Remaining")); err == nil {
		k.expires = b.rehearsal.now() + left
	}
	return k
}

// beginAttempt notes an attempt, and has it served or not; false if its connection is to end. b.mu is held.
func (b *server) beginAttempt(k *attempt, first time.Duration) bool {
	now := b.rehearsal.now()
	b.rehearsal.counters.attempts.Add(1)
	b.rehearsal.record(audit.Event{At: now, FirstByteAt: first, Kind: audit.AttemptReceived, Request: k.request, AttemptID: k.id, Server: b.index, Sidecar: -1, Origin: k.origin})
	chance := func(what string) bool { return b.faults[what] > 0 && b.random.Float64() < b.faults[what] }
	switch {
	case b.silent || k.incarnation != b.incarnation || b.model == nil:
		k.muted = true
		return true
	case k.class < 0:
		b.answer(k, audit.Failed)
		return true
	case chance("lose"):
		k.muted = true
		return true
	case chance("reset"):
		b.finish(k, audit.Dropped)
		k.responder.reset()
		return false
	case chance("refuse"):
		b.answer(k, audit.Rejected)
		return true
	case chance("fail"):
		b.answer(k, audit.Failed)
		return true
	}
	before, after := b.rehearsal.plan.WorkOf(k.request, b.spec.Tier, b.rehearsal.countAttempt(k.request))
	k.workAfterCalls = after
	b.advance()
	switch b.model.Offer(now, k.id, before, k.expires) {
	case emulator.Accepted:
		b.calls[k.id] = k
		b.rehearsal.recordExecution(b, k.key, b.rehearsal.plan.Classes[k.class])
		b.resetTimer()
	case emulator.Rejected:
		b.answer(k, audit.Rejected)
	case emulator.Collapsed:
		b.collapse()
	}
	return true
}

// parseRemaining reads X-Remaining.
func parseRemaining(text string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		digits, _ = strings.CutSuffix(text, "u")
		unit = time.Microsecond
	}
	f, err := strconv.ParseFloat(digits, 64)
	return time.Duration(f * float64(unit)), err
}

// arrivalOf reads the arrival from the id of a request that a caller of ours, or one of our servers, has made.
func arrivalOf(request string) int {
	digits, _, _ := strings.Cut(strings.TrimPrefix(request, "r"), "t")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return -1
	}
	return n
}
