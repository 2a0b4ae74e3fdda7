package standalone

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
	"quincegap/internal/network/http1"
)

const (
	// reservedSockets are for the listener, discovery, probes, standard streams and the runtime, and for
	// exchange.ExcessSockets.
	reservedSockets = 32
	// writeTimeout is how long beyond the longest deadline an answer may take to be written.
	writeTimeout = 10 * time.Second
	// bodyRetryAfter is when a caller may come back whose body found no room.
	bodyRetryAfter = time.Second
)

// faultTooEarly answers early data that must not run before its caller has proved to be there (RFC 8470, section 5.2).
const faultTooEarly = "too early: send it again when the handshake is complete"

// server takes callers' requests to the loop, and its answers back.
type server struct {
	fronts          []exchange.Front
	loop            *loop
	config          *Config
	classes         map[string]int            // to their place in the settings
	tenants         map[string]int            // to their place in the settings
	longestDeadline time.Duration             // of a class
	quietPeriod     time.Duration             // see defaultQuietPeriod
	tuning          atomic.Pointer[tuning]    // as the configuration file has it now
	shutdownAt      atomic.Pointer[time.Time] // when all is answered; nil unless it is shutting down
	group           group
	instances       atomic.Int64 // of this sidecar's application, as far as it knows
}

// newServer opens the fronts; listener is HTTP/1.1's.
func newServer(c *Config, l *loop, listener net.Listener) (*server, error) {
	s := &server{
		loop:        l,
		config:      c,
		classes:     map[string]int{},
		tenants:     map[string]int{},
		quietPeriod: defaultQuietPeriod,
	}
	s.tuning.Store(c.tuning)
	for i, class := range c.Settings.Classes {
		s.classes[class.Name] = i
		s.longestDeadline = max(s.longestDeadline, class.Deadline)
	}
	for i, tenant := range c.Settings.Tenants {
		s.tenants[tenant.Name] = i
	}
	bounds := s.frontBounds()
	front, err := openHTTP3Front(c, s, bounds)
	if err != nil {
		return nil, err
	}
	if front == nil {
		s.fronts = []exchange.Front{http1.NewFront(listener, s, bounds)}
		return s, nil
	}
	bounds.AltSvc = altSvcHeader(front.Address(), c.tuning.http3Callers.AltSvcMaxAge)
	s.fronts = []exchange.Front{http1.NewFront(listener, s, bounds), front}
	return s, nil
}

// frontBounds are those of a front for HTTP/1.1.
func (s *server) frontBounds() http1.Bounds {
	c := s.config.tuning.callers
	return http1.Bounds{
		MaxConnections: int(c.Share * float64(s.config.Limits.Sockets-reservedSockets)),
		MaxHeaderBytes: int(c.MaxHeader),
		RequestTimeout: c.RequestTimeout,
		IdleTimeout:    c.IdleTimeout,
		WriteTimeout:   s.longestDeadline + writeTimeout,
	}
}

// ServeHTTP takes a request from any front: it reads and checks the request, has the loop answer it, and writes the answer.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readyPath && r.Header.Get(headerRequestID) == "" {
		s.serveReady(w)
		return
	}
	caller := exchange.CallerOf(r)
	began, over := caller.BeginRequest()
	if over {
		caller.CloseAfter(w.Header())
		s.writeAnswer(w, caller, answer{rejected: true})
		return
	}
	req, status, fault := s.parse(r)
	if fault != "" {
		// What follows on the connection may be no request.
		caller.CloseAfter(w.Header())
		http.Error(w, fault, status)
		return
	}
	if reserved := s.bodyCopies(req) * int(r.ContentLength); reserved > 0 {
		if !s.loop.bodyBudget.Reserve(reserved) {
			caller.CloseAfter(w.Header())
			s.writeAnswer(w, caller, answer{rejected: true, retryAfter: bodyRetryAfter})
			return
		}
		defer s.loop.bodyBudget.Release(reserved)
	}
	body, ok := s.readBody(w, r, began)
	if !ok {
		caller.CloseAfter(w.Header())
		http.Error(w, "request body cut short", http.StatusBadRequest)
		return
	}
	received := time.Now()
	safe := s.config.Settings.Classes[req.Class].Idempotency == balancer.Idempotent
	if !s.confirmEarly(r, caller, req, safe) {
		http.Error(w, faultTooEarly, http.StatusTooEarly)
		return
	}
	req.IdleConnections = caller.BodyReceived()
	exchange.RemoveHopByHop(r.Header)
	req.Inbound = exchange.Inbound{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Safe: safe,
	}
	s.loop.post(func() { s.loop.handleArrival(req, received) })
	select {
	case a := <-req.answer:
		s.writeAnswer(w, caller, a)
		s.loop.releaseResponse(a.response)
	case <-r.Context().Done():
		s.loop.post(func() { s.loop.handleClientGone(req) })
		// To return would send an empty 200 to a client that has closed only its side.
		panic(http.ErrAbortHandler)
	}
}

// serveReady answers whether this sidecar has a list of endpoints and is not shutting down.
func (s *server) serveReady(w http.ResponseWriter) {
	if !s.loop.ready.Load() || s.shutdownAt.Load() != nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// bodyCopies is how many copies of a request's body there may be at once: its own, and that which each attempt writes.
func (s *server) bodyCopies(req *request) int {
	if s.config.mayHedge(req) {
		return 3
	}
	return 2
}

// readBody reads the body of a request that began then; false where it does not come complete in time.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, began time.Time) (body []byte, ok bool) {
	// The limit on reading holds for the body alone. Left in place, it would pass for the client going away.
	// Where a front has no such limit, it bounds the time in its own way.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(began.Add(s.config.tuning.callers.RequestTimeout))
	body, err := exchange.ReadAll(r.Body)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, false
	}
	if r.ContentLength < 0 {
		return body, len(body) == 0
	}
	return body, int64(len(body)) == r.ContentLength
}

// confirmEarly has a request in early data wait until its caller has proved to be there; false where that does not come in time.
// Whoever recorded an unsafe one can send it again, to this sidecar or another: it reaches nobody before that. A safe one goes on
// at once, marked as early.
func (s *server) confirmEarly(r *http.Request, caller exchange.Caller, req *request, safe bool) bool {
	if !caller.Early() {
		return true
	}
	if safe {
		r.Header.Set(headerEarlyData, headerSet)
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(req.TimeLeft, s.config.tuning.callers.RequestTimeout))
	defer cancel()
	return caller.Confirm(ctx)
}
