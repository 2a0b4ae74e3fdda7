package outbound

import (
	"net/http"
	"strconv"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

const (
	// minQuotaRetryAfter is the minimum Retry-After of a request that is rejected by its tenant's rate limit.
	minQuotaRetryAfter = 50 * time.Millisecond
	// maxTimeRemaining bounds a client's Time-Remaining, in milliseconds; a header that is as large or larger is ignored.
	maxTimeRemaining = 1e9
	// requestLineOverhead and fieldOverhead are the bytes of separators and line ends in a request line and in a header field.
	requestLineOverhead = 20
	fieldOverhead       = 4
)

// accept checks a client's request, in this order: its header, its route, the time until this process ends, its tenant, its attempt ID and
// the tenant's rate limit, whose decision accept waits for. It returns the request, with the fields that were set before a check failed,
// and the reason for a rejection; outcome.None if the request is accepted.
//
// Accepting a request is not admitting it: whether it can be served in time is decided by the service's balancer and, at the endpoint's
// sidecar, by package admission.
func (p *Proxy) accept(config *configuration.Config, req *http.Request) (*request, outcome.Kind) {
	now := p.Now()
	pending := &request{results: make(chan result, 1)}
	if kind := checkHeader(config, req); kind != outcome.None {
		return pending, kind
	}
	pending.route = config.Match(req.Host, req.URL.EscapedPath())
	if pending.route == nil {
		return pending, outcome.NoRoute
	}
	pending.forward.Nested = isNestedCall(config, req)
	pending.setTimes(now, req.Header.Get(inbound.HeaderTimeRemaining))
	if kind := p.shutdown.bound(pending, now); kind != outcome.None {
		return pending, kind
	}
	tenant, kind := findTenant(config, pending.route, req.Header[inbound.HeaderKey])
	if kind != outcome.None {
		return pending, kind
	}
	ids := req.Header[inbound.HeaderAttemptID]
	if len(ids) != 1 || ids[0] == "" {
		return pending, outcome.Malformed
	}
	pending.forward.Priority = pending.route.Priority
	if tenant != nil {
		pending.forward.Tenant = tenant.Name
		pending.forward.Priority = tenant.Priority
		pending.quotaRetryAfter = p.acquireQuota(tenant)
		if pending.quotaRetryAfter > 0 {
			return pending, outcome.QuotaExceeded
		}
	}
	p.fillForward(pending, req, ids[0])
	return pending, outcome.None
}

// fillForward sets the fields that are forwarded to the endpoint. It chooses the service of a split route.
func (p *Proxy) fillForward(pending *request, req *http.Request, attemptID string) {
	forward := &pending.forward
	forward.Route = pending.route.Name
	forward.AttemptID = attemptID
	forward.Method = req.Method
	forward.URI = req.RequestURI
	forward.Host = req.Host
	forward.CallingService = p.options.Service
	forward.Idempotent = pending.route.Kind.IsIdempotent()
	forward.Service = p.trafficSplits.chooseService(pending.route)
	forward.Header = forwardedHeader(req.Header)
}

// checkHeader checks those properties of a request's header that do not depend on its route. It returns the reason for a rejection;
// outcome.None if the header is valid.
func checkHeader(config *configuration.Config, req *http.Request) outcome.Kind {
	if headerBytes(req) > config.Limits.HeaderMax {
		return outcome.HeaderTooLarge
	}
	if req.RequestURI == "" || req.RequestURI[0] != '/' || req.Method == http.MethodConnect {
		return outcome.Malformed
	}
	return outcome.None
}

// headerBytes returns the size in bytes of a request's header, computed from the names and values that the server has parsed.
func headerBytes(req *http.Request) (n int64) {
	n = int64(len(req.Method) + len(req.RequestURI) + len(req.Host) + requestLineOverhead)
	for name, values := range req.Header {
		for _, value := range values {
			n += int64(len(name) + len(value) + fieldOverhead)
		}
	}
	return n
}

// isNestedCall reports whether a request was made by an endpoint that is executing another request: such calls carry no tenant's key.
func isNestedCall(config *configuration.Config, req *http.Request) bool {
	return config.HasTenantTable && len(req.Header[inbound.HeaderKey]) == 0
}

// findTenant returns the tenant of a request's key; nil if the request needs no tenant. The kind is outcome.Unauthorized if the request
// needs a tenant and its key belongs to none; else outcome.None.
func findTenant(config *configuration.Config, route *configuration.Route, keys []string) (*configuration.Tenant, outcome.Kind) {
	if !config.HasTenantTable {
		return nil, outcome.None
	}
	if len(keys) == 1 {
		if tenant := config.TenantByKey(keys[0]); tenant != nil {
			return tenant, outcome.None
		}
	}
	if route.Public {
		return nil, outcome.None
	}
	return nil, outcome.Unauthorized
}

// setTimes sets a request's deadlines from its route and from the client's Time-Remaining: the milliseconds until the client gives up.
func (r *request) setTimes(now time.Duration, timeRemaining string) {
	remaining := r.route.Timeout
	var spent time.Duration // time that the client has spent on its earlier attempts
	ms, err := strconv.ParseFloat(timeRemaining, 64)
	if err == nil && ms >= 0 && ms < maxTimeRemaining {
		remaining = min(remaining, time.Duration(ms*float64(time.Millisecond)))
		if !r.forward.Nested { // a client that retries has less time left, and the latency target counts from its first attempt
			spent = r.route.Timeout - remaining
		}
	}
	r.deadline = now + remaining
	switch target := r.route.Target; {
	case target <= 0:
		r.targetDeadline = r.deadline
	case spent < target:
		r.targetDeadline = min(r.deadline, now+target-spent)
	default: // the target is missed already: the request may wait, but less than requests that can still meet their target
		r.targetDeadline = min(r.deadline, now+target/2)
	}
}

// acquireQuota charges one request to a tenant's rate limit. It returns 0, or the time after which to retry if the limit is reached.
func (p *Proxy) acquireQuota(tenant *configuration.Tenant) (retryAfter time.Duration) {
	if p.options.AcquireQuota == nil || tenant.Rate <= 0 {
		return 0
	}
	answers := make(chan time.Duration, 1)
	p.options.AcquireQuota(tenant, func(ok bool, retryAfter time.Duration) {
		if ok {
			answers <- 0
			return
		}
		answers <- max(retryAfter, time.Millisecond)
	})
	return <-answers
}

// rejectionRetryAfter returns the Retry-After for a request that accept or readBody has rejected.
func (r *request) rejectionRetryAfter(kind outcome.Kind) time.Duration {
	if kind == outcome.QuotaExceeded {
		return max(r.quotaRetryAfter, minQuotaRetryAfter)
	}
	return kind.RetryAfter()
}
