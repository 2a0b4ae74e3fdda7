package sidecar

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gingerlead"
)

const (
	// reservedSockets are for the listener, discovery, probes, standard streams and the runtime, and for
	// excessSockets: callers that come when all connections are busy, and are turned away.
	reservedSockets = 32
	excessSockets   = 12
	readTimeout     = 10 * time.Second // for a request's headers, and for its body
	idleTimeout     = 2 * time.Minute
	writeTimeout    = 10 * time.Second // beyond the longest deadline
	maxHeader       = 32 << 10
	maxRemaining    = time.Hour
	// quietAfter is how long no new connection must have come before a sidecar that was told to stop
	// closes its listener, and what waits in the backlog is lost.
	quietAfter = 500 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// inbound is what goes on to an endpoint unchanged.
type inbound struct {
	method string
	url    *url.URL
	host   string
	header http.Header
	body   []byte
}

// server takes callers' requests to the loop, and its answers back.
type server struct {
	http     http.Server
	loop     *loop
	config   *Config
	classes  map[string]int
	tenants  map[string]int
	longest  time.Duration // deadline of a class
	quiet    time.Duration // see quietAfter
	stopping atomic.Bool

	mu     sync.Mutex // guards the connections
	open   int
	most   int
	idle   list.List // of net.Conn, the longest idle first
	idleAt map[net.Conn]*list.Element
	newest time.Time // when the last connection came
}

func newServer(c *Config, l *loop) *server {
	s := &server{loop: l, config: c, classes: map[string]int{}, tenants: map[string]int{}, quiet: quietAfter,
		most:   int((1 - outboundShare) * float64(c.Limits.Sockets-reservedSockets)),
		idleAt: map[net.Conn]*list.Element{}}
	for i, class := range c.Settings.Classes {
		s.classes[class.Name] = i
		s.longest = max(s.longest, class.Deadline)
	}
	for i, tenant := range c.Settings.Tenants {
		s.tenants[tenant.Name] = i
	}
	s.http = http.Server{
		Handler: s, ConnContext: s.admit, ConnState: s.connState, MaxHeaderBytes: maxHeader,
		ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: s.longest + writeTimeout,
	}
	return s
}

// excess marks the context of a connection that came when all others were busy.
type excess struct{}

// admit keeps inbound connections under their share of the sockets. Where there are too many, the one that
// has been idle the longest goes: the client may send what crosses that on a new one. If none is idle, the
// new one's request is turned away, for to cut it off would lose it. Accepting itself never waits: a
// connection in the backlog may already hold a request.
func (s *server) admit(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = time.Now()
	s.open++
	first := s.idle.Front()
	switch {
	case s.open <= s.most:
	case first != nil:
		s.idle.Remove(first)
		delete(s.idleAt, first.Value.(net.Conn))
		first.Value.(net.Conn).Close()
	case s.open <= s.most+excessSockets:
		return context.WithValue(ctx, excess{}, true)
	default:
		c.Close()
	}
	return ctx
}

// connState notes which connections are idle, and which have closed.
func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.idleAt[c]; at != nil && state != http.StateIdle {
		s.idle.Remove(at)
		delete(s.idleAt, c)
	}
	switch state {
	case http.StateIdle:
		s.idleAt[c] = s.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" && r.Header.Get("X-Txn") == "" {
		if !s.loop.ready.Load() || s.stopping.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	if r.Context().Value(excess{}) != nil {
		w.Header().Set("Connection", "close")
		s.write(w, answer{refused: true})
		return
	}
	// A chunked body may hide another request: net/http drops the Content-Length that contradicts it, so the
	// pair cannot be seen here. No client of a booking service needs chunks.
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
		http.Error(w, "a request must tell its Content-Length", http.StatusLengthRequired)
		return
	}
	// The limit on reading holds for the body alone. Left in place, it would pass for the client going away.
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := readAll(r.Body, r.ContentLength)
	control.SetReadDeadline(time.Time{})
	received := time.Now()
	switch {
	case errors.Is(err, errTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		http.Error(w, "request body cut short", http.StatusBadRequest)
		return
	}
	req, fault := s.parse(r)
	if fault != "" {
		http.Error(w, fault, http.StatusBadRequest)
		return
	}
	removeHopByHop(r.Header)
	req.inbound = inbound{method: r.Method, url: r.URL, host: r.Host, header: r.Header, body: body}
	s.loop.post(func() { s.loop.arrive(req, received) })
	select {
	case a := <-req.answer:
		s.write(w, a)
	case <-r.Context().Done():
		s.loop.post(func() { s.loop.lapse(req) })
		// To return would send an empty 200 to a client that has closed only its side.
		panic(http.ErrAbortHandler)
	}
}

// parse reads what the Balancer is told of a request, or names what is wrong with it.
func (s *server) parse(r *http.Request) (req *request, fault string) {
	req = &request{answer: make(chan answer, 1)}
	req.ID = gingerlead.RequestID(r.Header.Get("X-Txn"))
	if req.ID == "" {
		return nil, "X-Txn: missing"
	}
	var ok bool
	if req.Class, ok = s.classes[r.Header.Get("X-Lane")]; !ok {
		return nil, "X-Lane: unknown class"
	}
	if req.Left, ok = parseRemaining(r.Header.Get("X-Remaining")); !ok {
		return nil, "X-Remaining: not a time in m or u that can be waited"
	}
	if len(s.tenants) > 0 {
		if req.Tenant, ok = s.tenants[r.Header.Get("X-Org")]; !ok {
			return nil, "X-Org: unknown tenant"
		}
	}
	if s.config.Settings.Classes[req.Class].Effect == gingerlead.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, "Idempotency-Key: missing" // endpoints could not drop a repeat
	}
	if cookie, err := r.Cookie("obj"); err == nil {
		req.Key = cookie.Value
	}
	if n, err := strconv.ParseInt(r.Header.Get("X-Estimate"), 10, 64); err == nil {
		req.Hint = time.Duration(n) * time.Microsecond
	}
	req.Repeat = r.Header.Get("X-Resent") == "1"
	req.Write = r.Method != http.MethodGet && r.Method != http.MethodHead
	return req, ""
}

// parseRemaining reads a number with its unit, m for milliseconds or u for microseconds.
func parseRemaining(text string) (left time.Duration, ok bool) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if digits, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
	}
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(n >= 0 && n <= float64(maxRemaining/unit)) {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}

// write gives the final answer.
func (s *server) write(w http.ResponseWriter, a answer) {
	switch {
	case a.response != nil:
		header := w.Header()
		for name, values := range a.response.header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(a.response.body)))
		w.Write(a.response.body) // a client that has gone cannot be told
	case a.refused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

func removeHopByHop(h http.Header) {
	for _, line := range slices.Clone(h["Connection"]) {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// stop ends the server once nothing new comes and what was taken is answered. Until then it goes on
// accepting, for connections in the backlog may hold requests; each answer closes its connection.
func (s *server) stop() error {
	s.stopping.Store(true)
	s.http.SetKeepAlivesEnabled(false) // closes idle connections, too
	told := time.Now()
	end := told.Add(s.longest)
	for time.Now().Before(end) {
		s.mu.Lock()
		last := s.newest
		s.mu.Unlock()
		if last.Before(told) {
			last = told
		}
		if time.Since(last) >= s.quiet {
			break
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.longest+writeTimeout)
	defer cancel()
	return s.http.Shutdown(ctx)
}
