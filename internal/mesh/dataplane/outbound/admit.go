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
	// minQuotaRetryAfter is the least time after which a client that was rejected by its rate limit is to come back.
	minQuotaRetryAfter = 50 * time.Millisecond
	// maxTimeRemaining bounds the milliseconds of a client's Time-Remaining that are taken seriously.
	maxTimeRemaining = 1e9
	// requestLineOverhead and fieldOverhead are the bytes of a header beside its names and values.
	requestLineOverhead = 20
	fieldOverhead       = 4
)

// admit decides whether this sidecar takes a client's request, in this order: its header, route, time until the process ends, tenant,
// id and the tenant's rate limit, whose token it waits for. It fills the request in as far as it gets; the kind says why it is rejected.
// Whether the request can be served in time is for others: the service's balancer, and package admission at the endpoint's sidecar.
func (p *Proxy) admit(config *configuration.Config, req *http.Request) (*request, outcome.Kind) {
	now := p.Now()
	r := &request{results: make(chan result, 1)}
	if kind := checkHeader(config, req); kind != outcome.None {
		return r, kind
	}
	r.route = config.Match(req.Host, req.URL.EscapedPath())
	if r.route == nil {
		return r, outcome.NoRoute
	}
	r.forward.Nested = isNestedCall(config, req)
	r.setTimes(now, req.Header.Get(inbound.HeaderTimeRemaining))
	if kind := p.shutdown.bound(r, now); kind != outcome.None {
		return r, kind
	}
	tenant, kind := findTenant(config, r.route, req.Header[inbound.HeaderKey])
	if kind != outcome.None {
		return r, kind
	}
	ids := req.Header[inbound.HeaderAttemptID]
	if len(ids) != 1 || ids[0] == "" {
		return r, outcome.Malformed
	}
	r.forward.Priority = r.route.Priority
	if tenant != nil {
		r.forward.Tenant = tenant.Name
		r.forward.Priority = tenant.Priority
		r.quotaRetryAfter = p.acquireQuota(tenant)
		if r.quotaRetryAfter > 0 {
			return r, outcome.QuotaExceeded
		}
	}
	p.fillForward(r, req, ids[0])
	return r, outcome.None
}

// fillForward fills in what goes to the endpoint of a request that is admitted. It draws the service of a split route.
func (p *Proxy) fillForward(r *request, req *http.Request, attemptID string) {
	forward := &r.forward
	forward.Route = r.route.Name
	forward.AttemptID = attemptID
	forward.Method = req.Method
	forward.URI = req.RequestURI
	forward.Host = req.Host
	forward.CallingService = p.options.Service
	forward.Idempotent = r.route.Kind.IsIdempotent()
	forward.Service = p.trafficSplits.chooseService(r.route)
	forward.Header = forwardedHeader(req.Header)
}

// checkHeader looks at what does not depend on the route.
func checkHeader(config *configuration.Config, req *http.Request) outcome.Kind {
	if headerBytes(req) > config.Limits.HeaderMax {
		return outcome.HeaderTooLarge
	}
	if req.RequestURI == "" || req.RequestURI[0] != '/' || req.Method == http.MethodConnect {
		return outcome.Malformed
	}
	return outcome.None
}

// headerBytes returns the size of a request's header, by the names and values that the server has read.
func headerBytes(req *http.Request) (n int64) {
	n = int64(len(req.Method) + len(req.RequestURI) + len(req.Host) + requestLineOverhead)
	for name, values := range req.Header {
		for _, value := range values {
			n += int64(len(name) + len(value) + fieldOverhead)
		}
	}
	return n
}

// isNestedCall reports whether a request is a call of an endpoint, amid a request that it executes: those carry no tenant's key.
func isNestedCall(config *configuration.Config, req *http.Request) bool {
	return config.HasTenantTable && len(req.Header[inbound.HeaderKey]) == 0
}

// findTenant returns the tenant that holds a request's key; nil where the request needs none.
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

// setTimes sets a request's deadlines by its route, and by what the client says that it has left, in milliseconds.
func (r *request) setTimes(now time.Duration, timeRemaining string) {
	remaining := r.route.Timeout
	var spent time.Duration // by the client, on attempts of its own
	ms, err := strconv.ParseFloat(timeRemaining, 64)
	if err == nil && ms >= 0 && ms < maxTimeRemaining {
		remaining = min(remaining, time.Duration(ms*float64(time.Millisecond)))
		if !r.forward.Nested { // a client that retries has less left, and its target counts from its first attempt
			spent = r.route.Timeout - remaining
		}
	}
	r.deadline = now + remaining
	switch target := r.route.Target; {
	case target <= 0:
		r.targetDeadline = r.deadline
	case spent < target:
		r.targetDeadline = min(r.deadline, now+target-spent)
	default: // it is late already: it may wait, but not as long as those that can still be in time
		r.targetDeadline = min(r.deadline, now+target/2)
	}
}

// acquireQuota takes a request out of a tenant's rate limit. It returns 0, or when to come back if the limit is reached.
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

// rejectionRetryAfter returns when the client of a request that was rejected is to come back.
func (r *request) rejectionRetryAfter(kind outcome.Kind) time.Duration {
	if kind == outcome.QuotaExceeded {
		return max(r.quotaRetryAfter, minQuotaRetryAfter)
	}
	return kind.RetryAfter()
}
