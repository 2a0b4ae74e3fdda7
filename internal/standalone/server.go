package standalone

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/route"
	"quincegap/internal/network/exchange"
	"quincegap/internal/network/http1"
)

const (
	// reservedSockets are for the listener, discovery, probes, standard streams and the runtime, and for
	// exchange.ExcessSockets.
	reservedSockets = 32
	writeTimeout    = 10 * time.Second // beyond the longest deadline
	maxIDBytes      = 128              // bytes of an id
	maxRemaining    = time.Hour
	// defaultQuietPeriod is how long no new connection must have come before a sidecar that was told to stop, and that
	// no caller is connected to, ends.
	defaultQuietPeriod = 500 * time.Millisecond
	// closeNoticeWindow is how long before that each answer says that it is the last on its connection: a request
	// that is on its way when an idle one is closed has to be sent again.
	closeNoticeWindow    = 100 * time.Millisecond
	shutdownPollInterval = 20 * time.Millisecond
)

// server takes callers' requests to the loop, and its answers back.
type server struct {
	fronts          []exchange.Front
	loop            *loop
	config          *Config
	classes         map[string]int
	tenants         map[string]int
	longestDeadline time.Duration             // deadline of a class
	quietPeriod     time.Duration             // see defaultQuietPeriod
	tuning          atomic.Pointer[tuning]    // as the configuration file has it now
	shutdownAt      atomic.Pointer[time.Time] // when all is answered; nil unless it was told to stop
	group           group
	instances       atomic.Int64 // that there are by now, as far as this one knows
}

func newServer(c *Config, l *loop, listener net.Listener) (*server, error) {
	s := &server{loop: l, config: c, classes: map[string]int{}, tenants: map[string]int{}, quietPeriod: defaultQuietPeriod}
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
	bounds.AltSvc = altSvcHeader(front.Address(), c.tuning.http3Callers.AltSvc)
	s.fronts = []exchange.Front{http1.NewFront(listener, s, bounds), front}
	return s, nil
}

// frontBounds are those of a front for HTTP/1.1.
func (s *server) frontBounds() http1.Bounds {
	c := s.config.tuning.callers
	return http1.Bounds{
		Connections: int(c.Share * float64(s.config.Limits.Sockets-reservedSockets)), MaxHeader: int(c.MaxHeader),
		RequestTimeout: c.RequestTimeout, IdleTimeout: c.IdleTimeout, WriteTimeout: s.longestDeadline + writeTimeout,
	}
}

// ServeHTTP takes a request from any front.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" && r.Header.Get("X-Txn") == "" {
		if !s.loop.ready.Load() || s.shutdownAt.Load() != nil {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	c := exchange.CallerOf(r)
	began, over := c.BeginRequest()
	if over {
		c.CloseAfter(w.Header())
		s.writeAnswer(w, c, answer{rejected: true})
		return
	}
	req, status, fault := s.parse(r)
	if fault != "" {
		// What follows on the connection may be no request.
		c.CloseAfter(w.Header())
		http.Error(w, fault, status)
		return
	}
	// Each attempt that may be out at once writes a copy of the body.
	copies := 2
	if s.config.mayHedge(req) {
		copies++
	}
	if held := copies * int(r.ContentLength); held > 0 {
		if !s.loop.bodyBudget.Reserve(held) {
			c.CloseAfter(w.Header())
			s.writeAnswer(w, c, answer{rejected: true, retryAfter: time.Second})
			return
		}
		defer s.loop.bodyBudget.Release(held)
	}
	// The limit on reading holds for the body alone. Left in place, it would pass for the client going away.
	control := http.NewResponseController(w)
	control.SetReadDeadline(began.Add(s.config.tuning.callers.RequestTimeout))
	body, err := exchange.ReadAll(r.Body)
	control.SetReadDeadline(time.Time{})
	if err != nil || r.ContentLength >= 0 && int64(len(body)) != r.ContentLength || r.ContentLength < 0 && len(body) > 0 {
		c.CloseAfter(w.Header())
		http.Error(w, "request body cut short", http.StatusBadRequest)
		return
	}
	received := time.Now()
	safe := s.config.Settings.Classes[req.Class].Idempotency == balancer.Idempotent
	if c.Early() {
		if !safe {
			// Whoever recorded this can send it again, to this sidecar or another: it reaches nobody before the
			// handshake proves that its sender is there.
			ctx, cancel := context.WithTimeout(r.Context(), min(req.TimeLeft, s.config.tuning.callers.RequestTimeout))
			ok := c.Confirm(ctx)
			cancel()
			if !ok {
				http.Error(w, "too early: send it again when the handshake is complete", http.StatusTooEarly)
				return
			}
		} else if c.Early() {
			r.Header.Set("Early-Data", "1") // RFC 8470, section 5.1
		}
	}
	req.IdleConnections = c.BodyReceived()
	exchange.RemoveHopByHop(r.Header)
	req.Inbound = exchange.Inbound{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Safe: safe,
	}
	s.loop.post(func() { s.loop.handleArrival(req, received) })
	select {
	case a := <-req.answer:
		s.writeAnswer(w, c, a)
		s.loop.releaseResponse(a.response)
	case <-r.Context().Done():
		s.loop.post(func() { s.loop.handleClientGone(req) })
		// To return would send an empty 200 to a client that has closed only its side.
		panic(http.ErrAbortHandler)
	}
}

// uniqueHeaders are the headers that must not be repeated: of two, an endpoint may read the other one.
var uniqueHeaders = []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining", "Idempotency-Key"}

// parse reads what the Balancer is told of a request, or names what is wrong with it.
func (s *server) parse(r *http.Request) (req *request, status int, fault string) {
	switch {
	case len(r.TransferEncoding) > 0:
		// A chunked body may hide another request: net/http drops the Content-Length that contradicts it, so
		// the pair cannot be seen here. Callers know the length of what they send.
		return nil, http.StatusLengthRequired, "a request must tell its Content-Length"
	case r.ContentLength < 0 && r.Method != http.MethodGet:
		return nil, http.StatusLengthRequired, "a request must tell its Content-Length" // HTTP/3 can do without
	case r.ContentLength > s.tuning.Load().callers.MaxBody:
		return nil, http.StatusRequestEntityTooLarge, "request body too large"
	}
	if req, fault = s.parseHeaders(r); fault != "" {
		return nil, http.StatusBadRequest, fault
	}
	if s.tuning.Load().callers.TooEarly && r.Header.Get("Early-Data") == "1" && s.config.Settings.Classes[req.Class].Idempotency != balancer.Idempotent {
		// A proxy in front took it before its caller had proved to be there: a replay of it would run twice.
		return nil, http.StatusTooEarly, "too early: send it again when the handshake is complete"
	}
	return req, 0, ""
}

func (s *server) parseHeaders(r *http.Request) (req *request, fault string) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, "not a path: this is no proxy for other hosts"
	}
	for _, name := range uniqueHeaders {
		if len(r.Header[name]) > 1 {
			return nil, name + ": repeated"
		}
	}
	req = &request{answer: make(chan answer, 1)}
	req.ID = balancer.RequestID(r.Header.Get("X-Txn"))
	if req.ID == "" || len(req.ID) > maxIDBytes {
		return nil, "X-Txn: missing or too long"
	}
	var ok bool
	if req.Class, ok = s.classes[r.Header.Get("X-Lane")]; !ok {
		return nil, "X-Lane: unknown class"
	}
	class := &s.config.Settings.Classes[req.Class]
	if req.TimeLeft, ok = parseRemaining(r.Header.Get("X-Remaining")); !ok {
		return nil, "X-Remaining: not a time in m or u that can be waited"
	}
	if class.Deadline > 0 {
		// No client waits longer; the Balancer would learn from it how long they do.
		req.TimeLeft = min(req.TimeLeft, class.Deadline)
	}
	if len(s.tenants) > 0 {
		if req.Tenant, ok = s.tenants[r.Header.Get("X-Org")]; !ok {
			return nil, "X-Org: unknown tenant"
		}
	}
	if fault := s.applyRoute(r, req); fault != "" {
		return nil, fault
	}
	if class.Idempotency == balancer.IdempotentWithKey && r.Header.Get("Idempotency-Key") == "" {
		return nil, "Idempotency-Key: missing" // endpoints could not drop a repeat
	}
	if (class.Idempotency == balancer.Idempotent) != (r.Method == http.MethodGet) || r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, r.Method + ": not the method of this class"
	}
	if cookie, err := r.Cookie("obj"); err == nil {
		req.Key = cookie.Value
	}
	if n, err := strconv.ParseInt(r.Header.Get("X-Estimate"), 10, 64); err == nil {
		req.WorkHint = time.Duration(n) * time.Microsecond
	}
	req.Retry = r.Header.Get("X-Resent") == "1"
	req.Write = r.Method != http.MethodGet && r.Method != http.MethodHead
	return req, ""
}

// applyRoute finds the route of a request and what that sets for it, or says why it has to go nowhere.
func (s *server) applyRoute(r *http.Request, req *request) (fault string) {
	routes := s.tuning.Load().routes
	if routes == nil {
		return ""
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	q := route.Request{Host: r.Host, Path: path, Method: r.Method, Class: s.config.Settings.Classes[req.Class].Name, Tenant: r.Header.Get("X-Org"), Header: r.Header}
	var ok bool
	if req.route, ok = routes.Find(&q); !ok {
		return "path: it cannot be told what is meant: " + route.OddPath(path)
	}
	if req.route == nil {
		return ""
	}
	set := req.route.Settings
	if set.Time > 0 {
		req.TimeLeft = min(req.TimeLeft, set.Time)
	}
	req.MaxAttempts, req.AttemptTimeout, req.ValueFactor = set.Attempts, set.Attempt, set.Worth
	if most := tighterLimit(set.Attempts, s.config.Settings.MaxAttempts); most > 0 && s.config.mayHedge(req) {
		req.MaxAttempts = most - 1 // a copy is one of them
	}
	return ""
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
	if strings.Trim(digits, "0123456789.") != "" {
		return 0, false // ParseFloat takes signs, exponents and words as well
	}
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(n >= 0 && n <= float64(maxRemaining/unit)) {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}

// writeAnswer gives the final answer.
func (s *server) writeAnswer(w http.ResponseWriter, c exchange.Caller, a answer) {
	if end := s.shutdownAt.Load(); end != nil && time.Until(*end) < closeNoticeWindow {
		c.CloseAfter(w.Header())
	}
	c.AddHeaders(w.Header())
	switch {
	case a.response != nil:
		header := w.Header()
		for name, values := range a.response.Header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(a.response.Body)))
		w.Write(a.response.Body) // a client that has gone cannot be told
	case a.rejected:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// shutDown ends the server shortly before it would be killed, with all answered that it has taken. Until then it
// goes on serving: no front sends it new callers, but those that it has go on using their connections, and
// where it is the only sidecar, or the others are gone or just starting, whom it cuts off has nowhere to go.
// Where there are others it closes what is idle hand_over before the end, so that its last callers move there.
// It ends early when nobody is connected any more. It does harm where the platform kills sooner than it says.
func (s *server) shutDown() error {
	told := time.Now()
	how := s.tuning.Load().stop
	linger := min(s.longestDeadline, how.MaxDeadline) + how.KillGrace - how.KillMargin
	end := told.Add(linger)
	s.loop.post(func() { s.loop.shutDownAt(end) })
	s.shutdownAt.Store(&end)
	s.group.announceLeave()
	last := end
	if s.instances.Load() > 1 {
		last = end.Add(-min(how.HandOver, max(0, linger-s.quietPeriod)))
	}
	for time.Now().Before(last) && (time.Since(told) < s.quietPeriod || !s.quiet()) {
		time.Sleep(shutdownPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(how.KillMargin/2))
	defer cancel()
	ends := make(chan error, len(s.fronts))
	for _, f := range s.fronts {
		go func() {
			err := f.Stop(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				err = f.Close() // what is left has not brought a whole request, or does not read its answer
			}
			ends <- err
		}()
	}
	var err error
	for range s.fronts {
		err = errors.Join(err, <-ends)
	}
	return err
}

// quiet tells whether nobody is connected by any front.
func (s *server) quiet() bool {
	return !slices.ContainsFunc(s.fronts, func(f exchange.Front) bool { return !f.Quiet(s.quietPeriod) })
}
