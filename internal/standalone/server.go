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
	// reservedSockets is the number of sockets reserved for the listener, discovery, health checks, standard streams and the runtime,
	// and for exchange.ExcessSockets.
	reservedSockets = 32
	// writeTimeout is how long after the longest deadline the writing of an answer times out.
	writeTimeout = 10 * time.Second
	// bodyRetryAfter is the Retry-After of a request that is rejected because its body exceeds the body budget.
	bodyRetryAfter = time.Second
)

// faultTooEarly is the answer to early data that must not run before the handshake is complete (RFC 8470, section 5.2).
const faultTooEarly = "too early: send it again when the handshake is complete"

// server passes requests from callers to the loop, and writes the answers to the callers.
type server struct {
	fronts          []exchange.Front
	loop            *loop
	config          *Config
	classes         map[string]int            // index in the settings of each class, by name
	tenants         map[string]int            // index in the settings of each tenant, by name
	longestDeadline time.Duration             // longest deadline of all classes
	quietPeriod     time.Duration             // see defaultQuietPeriod
	tuning          atomic.Pointer[tuning]    // current settings of the product's file; replaced by a reload
	shutdownAt      atomic.Pointer[time.Time] // time by which all requests are answered; nil unless the server is shutting down
	group           group
	instances       atomic.Int64 // number of sidecars of this application, as last reported
}

// newServer returns a server with its fronts. The front for HTTP/1.1 uses listener; the front for HTTP/3 opens its own socket.
func newServer(config *Config, l *loop, listener net.Listener) (*server, error) {
	server := &server{
		loop:        l,
		config:      config,
		classes:     map[string]int{},
		tenants:     map[string]int{},
		quietPeriod: defaultQuietPeriod,
	}
	server.tuning.Store(config.tuning)
	for i, class := range config.Settings.Classes {
		server.classes[class.Name] = i
		server.longestDeadline = max(server.longestDeadline, class.Deadline)
	}
	for i, tenant := range config.Settings.Tenants {
		server.tenants[tenant.Name] = i
	}
	bounds := server.frontBounds()
	front, err := openHTTP3Front(config, server, bounds)
	if err != nil {
		return nil, err
	}
	if front == nil {
		server.fronts = []exchange.Front{http1.NewFront(listener, server, bounds)}
		return server, nil
	}
	bounds.AltSvc = altSvcHeader(front.Address(), config.tuning.http3Callers.AltSvcMaxAge)
	server.fronts = []exchange.Front{http1.NewFront(listener, server, bounds), front}
	return server, nil
}

// frontBounds returns the limits of the HTTP/1.1 front, from which those of the HTTP/3 front are derived.
func (s *server) frontBounds() http1.Bounds {
	c := s.config.tuning.callers
	return http1.Bounds{
		MaxConnections: int(c.SocketShare * float64(s.config.Limits.Sockets-reservedSockets)),
		MaxHeaderBytes: int(c.MaxHeader),
		RequestTimeout: c.RequestTimeout,
		IdleTimeout:    c.IdleTimeout,
		WriteTimeout:   s.longestDeadline + writeTimeout,
	}
}

// ServeHTTP is the handler of all fronts. It reads and checks a request, passes it to the loop and writes the loop's answer.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == readyPath && r.Header.Get(headerRequestID) == "" {
		s.serveReadiness(w)
		return
	}
	caller := exchange.CallerOf(r)
	began, excess := caller.BeginRequest()
	if excess {
		caller.CloseAfter(w.Header())
		s.writeAnswer(w, caller, answer{rejected: true})
		return
	}
	req, status, fault := s.parse(r)
	if fault != "" {
		// The fault may be in the framing: the bytes that follow on the connection may not be a request.
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
	if !s.awaitHandshake(r, caller, req, safe) {
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
		// Returning would send an empty 200 to a caller that has closed only its side of the connection.
		panic(http.ErrAbortHandler)
	}
}

// serveReadiness answers 200 if this sidecar has a list of endpoints and is not shutting down, otherwise 503.
func (s *server) serveReadiness(w http.ResponseWriter) {
	if !s.loop.ready.Load() || s.shutdownAt.Load() != nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// bodyCopies returns how many copies of a request's body may be in memory: the one that was read, and one for each attempt in flight.
func (s *server) bodyCopies(req *request) int {
	if s.config.mayHedge(req) {
		return 3
	}
	return 2
}

// readBody reads the body of a request that began to arrive at a time; ok is false if the body is not complete within the request timeout.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, began time.Time) (body []byte, ok bool) {
	// The read deadline is removed after the body, because its expiry would look like a caller that disconnects. Fronts that do not
	// support read deadlines limit the time themselves.
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

// awaitHandshake delays a request in early data until the handshake of its caller is complete. It returns false if that takes too long.
// An attacker who recorded early data can replay it, to this sidecar or another, so a request that is not idempotent must not be
// forwarded before. A safe request is forwarded immediately, with a header that marks it as early data.
func (s *server) awaitHandshake(r *http.Request, caller exchange.Caller, req *request, safe bool) bool {
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
