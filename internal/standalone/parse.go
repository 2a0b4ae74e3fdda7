package standalone

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/modules/route"
)

const (
	// maxIDBytes bounds the id of a request.
	maxIDBytes = 128
	// maxRemaining bounds the time that a caller may wait.
	maxRemaining = time.Hour
)

// faultNoLength answers a request whose length cannot be known.
const faultNoLength = "a request must tell its Content-Length"

// parse reads what the Balancer needs of a request, or names what is wrong with it and the status that says so.
func (s *server) parse(r *http.Request) (req *request, status int, fault string) {
	switch {
	case len(r.TransferEncoding) > 0:
		// A chunked body may hide another request: net/http drops the Content-Length that contradicts it, so
		// the pair cannot be seen here. Callers know the length of what they send.
		return nil, http.StatusLengthRequired, faultNoLength
	case r.ContentLength < 0 && r.Method != http.MethodGet:
		return nil, http.StatusLengthRequired, faultNoLength // HTTP/3 can do without
	case r.ContentLength > s.tuning.Load().callers.MaxBody:
		return nil, http.StatusRequestEntityTooLarge, "request body too large"
	}
	if req, fault = s.parseHeaders(r); fault != "" {
		return nil, http.StatusBadRequest, fault
	}
	if s.isReplayable(r, req) {
		return nil, http.StatusTooEarly, faultTooEarly
	}
	return req, 0, ""
}

// isReplayable reports whether a proxy in front took an unsafe request before its caller had proved to be there: a replay of it
// would run twice.
func (s *server) isReplayable(r *http.Request, req *request) bool {
	return s.tuning.Load().callers.TooEarly && r.Header.Get(headerEarlyData) == headerSet &&
		s.config.Settings.Classes[req.Class].Idempotency != balancer.Idempotent
}

// parseHeaders reads a request's headers, or names the first that is wrong.
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
	if fault := s.parseIdentity(r, req); fault != "" {
		return nil, fault
	}
	if fault := s.applyRoute(r, req); fault != "" {
		return nil, fault
	}
	class := &s.config.Settings.Classes[req.Class]
	if class.Idempotency == balancer.IdempotentWithKey && r.Header.Get(headerIdempotencyKey) == "" {
		return nil, headerIdempotencyKey + ": missing" // endpoints could not drop a repeat
	}
	if !methodFits(r.Method, class) {
		return nil, r.Method + ": not the method of this class"
	}
	parseHints(r, req)
	return req, ""
}

// parseIdentity reads what every request has to say of itself: its id, class, time and tenant.
func (s *server) parseIdentity(r *http.Request, req *request) (fault string) {
	req.ID = balancer.RequestID(r.Header.Get(headerRequestID))
	if req.ID == "" || len(req.ID) > maxIDBytes {
		return headerRequestID + ": missing or too long"
	}
	var ok bool
	if req.Class, ok = s.classes[r.Header.Get(headerClass)]; !ok {
		return headerClass + ": unknown class"
	}
	if req.TimeLeft, ok = parseRemaining(r.Header.Get(headerTimeLeft)); !ok {
		return headerTimeLeft + ": not a time in m or u that can be waited"
	}
	if deadline := s.config.Settings.Classes[req.Class].Deadline; deadline > 0 {
		// No client waits longer; the Balancer would learn from it how long they do.
		req.TimeLeft = min(req.TimeLeft, deadline)
	}
	if len(s.tenants) > 0 {
		if req.Tenant, ok = s.tenants[r.Header.Get(headerTenant)]; !ok {
			return headerTenant + ": unknown tenant"
		}
	}
	return ""
}

// methodFits reports whether a class takes a method: GET where any number of repeats is harmless, POST elsewhere.
func methodFits(method string, class *balancer.Class) bool {
	if class.Idempotency == balancer.Idempotent {
		return method == http.MethodGet
	}
	return method == http.MethodPost
}

// parseHints reads what a request may say of itself. What cannot be read counts as left out.
func parseHints(r *http.Request, req *request) {
	if cookie, err := r.Cookie(affinityCookie); err == nil {
		req.Key = cookie.Value
	}
	if n, err := strconv.ParseInt(r.Header.Get(headerWorkHint), 10, 64); err == nil {
		req.WorkHint = time.Duration(n) * time.Microsecond
	}
	req.Retry = r.Header.Get(headerResent) == headerSet
	req.Write = r.Method != http.MethodGet && r.Method != http.MethodHead
}

// applyRoute finds the route of a request and what that sets for it, or says why it has to go nowhere.
func (s *server) applyRoute(r *http.Request, req *request) (fault string) {
	routes := s.tuning.Load().routes
	if routes == nil {
		return ""
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	asked := route.Request{
		Host: r.Host, Path: path, Method: r.Method, Class: s.config.Settings.Classes[req.Class].Name,
		Tenant: r.Header.Get(headerTenant), Header: r.Header,
	}
	var ok bool
	if req.route, ok = routes.Find(&asked); !ok {
		return "path: it cannot be told what is meant: " + route.AmbiguousPath(path)
	}
	if req.route == nil {
		return ""
	}
	set := req.route.Settings
	if set.Timeout > 0 {
		req.TimeLeft = min(req.TimeLeft, set.Timeout)
	}
	req.MaxAttempts = set.MaxAttempts
	req.AttemptTimeout = set.AttemptTimeout
	req.ValueFactor = set.Value
	if limit := tighterLimit(set.MaxAttempts, s.config.Settings.MaxAttempts); limit > 0 && s.config.mayHedge(req) {
		req.MaxAttempts = limit - 1 // the hedged copy is one of them
	}
	return ""
}

// parseRemaining reads a number with its unit, m for milliseconds or u for microseconds; false where it is none, or above
// maxRemaining.
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
