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
	// maxIDBytes is the maximum length of a request's id.
	maxIDBytes = 128
	// maxRemaining is the maximum time that a caller may say it waits.
	maxRemaining = time.Hour
)

// faultNoLength is the answer to a request whose body has no declared length.
const faultNoLength = "a request must tell its Content-Length"

// parse checks a request and returns its parsed form, without the body. For an invalid request it returns a description of the fault and
// the status to answer with.
func (s *server) parse(r *http.Request) (req *request, status int, fault string) {
	switch {
	case len(r.TransferEncoding) > 0:
		// A chunked body may hide another request: net/http drops a Content-Length that contradicts the chunks, so the
		// contradiction cannot be detected here. Callers know the length of their bodies.
		return nil, http.StatusLengthRequired, faultNoLength
	case r.ContentLength < 0 && r.Method != http.MethodGet:
		return nil, http.StatusLengthRequired, faultNoLength // HTTP/3 allows a body without a length
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

// isReplayable reports whether a request that is not idempotent reached a proxy in front of this sidecar in early data, before the
// handshake of its caller was complete. An attacker who recorded it could replay it, and it would run twice.
func (s *server) isReplayable(r *http.Request, req *request) bool {
	return s.tuning.Load().callers.RejectEarlyData && r.Header.Get(headerEarlyData) == headerSet &&
		s.config.Settings.Classes[req.Class].Idempotency != balancer.Idempotent
}

// parseHeaders reads the headers of a request and finds its route. It returns the first fault, or an empty string.
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
		return nil, headerIdempotencyKey + ": missing" // without it endpoints cannot recognise a duplicate
	}
	if !methodFits(r.Method, class) {
		return nil, r.Method + ": not the method of this class"
	}
	parseHints(r, req)
	return req, ""
}

// parseIdentity reads the headers that each request must have: its id, class, remaining time and, if the settings have tenants, tenant.
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
		// No caller waits longer than the deadline of the class; the Balancer learns from these times.
		req.TimeLeft = min(req.TimeLeft, deadline)
	}
	if len(s.tenants) > 0 {
		if req.Tenant, ok = s.tenants[r.Header.Get(headerTenant)]; !ok {
			return headerTenant + ": unknown tenant"
		}
	}
	return ""
}

// methodFits reports whether a method is the one that requests of a class must use: GET for an idempotent class, otherwise POST.
func methodFits(method string, class *balancer.Class) bool {
	if class.Idempotency == balancer.Idempotent {
		return method == http.MethodGet
	}
	return method == http.MethodPost
}

// parseHints reads the optional headers. A malformed one is ignored.
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

// applyRoute finds the route of a request and applies the route's settings to the request. It returns a fault if the path is ambiguous.
func (s *server) applyRoute(r *http.Request, req *request) (fault string) {
	routes := s.tuning.Load().routes
	if routes == nil {
		return ""
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	query := route.Request{
		Host: r.Host, Path: path, Method: r.Method, Class: s.config.Settings.Classes[req.Class].Name,
		Tenant: r.Header.Get(headerTenant), Header: r.Header,
	}
	var ok bool
	if req.route, ok = routes.Find(&query); !ok {
		return "path: it cannot be told what is meant: " + route.AmbiguousPath(path)
	}
	if req.route == nil {
		return ""
	}
	settings := req.route.Settings
	if settings.Timeout > 0 {
		req.TimeLeft = min(req.TimeLeft, settings.Timeout)
	}
	req.MaxAttempts = settings.MaxAttempts
	req.AttemptTimeout = settings.AttemptTimeout
	req.ValueFactor = settings.Value
	if limit := tighterLimit(settings.MaxAttempts, s.config.Settings.MaxAttempts); limit > 0 && s.config.mayHedge(req) {
		req.MaxAttempts = limit - 1 // the remaining attempt is reserved for the secondary
	}
	return ""
}

// parseRemaining parses a number with a unit, m for milliseconds or u for microseconds; ok is false if it is malformed, negative or above
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
		return 0, false // ParseFloat also accepts signs, exponents and words
	}
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(n >= 0 && n <= float64(maxRemaining/unit)) {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}
