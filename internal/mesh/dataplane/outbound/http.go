package outbound

import (
	"io"
	"log"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
)

// Bounds of what clients may do beyond those of the configuration.
const (
	maxHeaderBytes = 256 << 10 // bytes of a head that are read at all
	headerTimeout  = 5 * time.Second
	maxIdleTime    = 90 * time.Second      // that a connection stands idle
	expiryMargin   = 30 * time.Millisecond // before its deadline: a request is given up
	expiryWait     = 22 * time.Millisecond // for its attempt to say how far it came
)

// Server is the clients' server.
func (p *Proxy) Server() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: maxIdleTime,
		MaxHeaderBytes: maxHeaderBytes, ConnState: p.trackConnection, ErrorLog: log.New(io.Discard, "", 0),
	}
}

// systemHeaders are headers that the system alone sets, whatever a client sent.
var systemHeaders = map[string]bool{
	inbound.HeaderKey: true, inbound.HeaderAttemptID: true, inbound.HeaderTimeRemaining: true,
	inbound.HeaderTargetEndpoint: true, inbound.HeaderSubscriberID: true, inbound.HeaderCallingService: true, "Host": true,
	inbound.HeaderBaseVersion: true, inbound.HeaderNotExecuted: true,
}

// serve takes one request from its head to its answer, and what comes of its body after that.
func (p *Proxy) serve(w http.ResponseWriter, q *http.Request) {
	if p.answerRequest(w, q) {
		return
	}
	discardBody(w, q)
}

// answerRequest answers a request; it tells whether its body was read whole. One that is turned away is answered at once, with its body
// still on its way.
func (p *Proxy) answerRequest(w http.ResponseWriter, q *http.Request) (whole bool) {
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	res, whole := p.handle(w, q)
	if whole {
		p.writeAnswer(w, res)
		return true
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // else the server reads on before it answers
	p.writeAnswer(w, res)
	_ = controller.Flush()
	return false
}

// handle has a request served, or turned away; whole tells whether its body was read.
func (p *Proxy) handle(w http.ResponseWriter, q *http.Request) (res result, whole bool) {
	whole = q.Body == nil || q.Body == http.NoBody
	conf := p.config.Load()
	if conf == nil {
		return result{kind: outcome.NotReady}, whole
	}
	if p.shuttingDown.Load() && !p.servesNestedCall(conf, q) {
		return result{kind: outcome.ShuttingDown}, whole
	}
	r, kind := p.admit(conf, q)
	if kind == 0 {
		kind = p.readBody(conf, w, q, r)
		defer p.bodyBytes.Add(-r.bodyBytes)
	}
	if kind != 0 {
		return result{kind: kind, retryAfter: p.retryAfter(r, kind)}, whole
	}
	p.submit(r, r.forward.Priority)
	return p.await(r, q.Context().Done()), true
}

// await returns a request's result: as it comes, or what is known of it when its time is up, its client has gone or this process
// ends. There is always one: a client that has closed only its sending half still reads it.
func (p *Proxy) await(r *request, clientGone <-chan struct{}) result {
	timer := time.NewTimer(r.deadline - p.Now() - expiryMargin)
	defer timer.Stop()
	select {
	case res := <-r.results:
		return res
	case <-timer.C:
	case <-p.shutdownDue:
	case <-clientGone:
	}
	p.expire(r)
	timer.Reset(expiryWait)
	select {
	case res := <-r.results:
		return res
	case <-timer.C:
	}
	p.abandonExpired(r)
	return <-r.results
}

// admit finds a request's route, tenant and service; the kind says why it is turned away, 0 for not at all.
func (p *Proxy) admit(conf *configuration.Config, q *http.Request) (*request, outcome.Kind) {
	now := p.Now()
	r := &request{results: make(chan result, 1)}
	if headerBytes(q) > conf.Limits.HeaderMax {
		return r, outcome.HeaderTooLarge
	}
	if q.RequestURI == "" || q.RequestURI[0] != '/' || q.Method == http.MethodConnect {
		return r, outcome.Malformed
	}
	if r.route = conf.Match(q.Host, q.URL.EscapedPath()); r.route == nil {
		return r, outcome.NoRoute
	}
	forwardRequest := &r.forward
	forwardRequest.Nested = isNestedCall(conf, q)
	r.setTimes(now, q.Header.Get(inbound.HeaderTimeRemaining))
	if kind := p.boundByShutdown(r, now); kind != 0 {
		return r, kind
	}
	forwardRequest.Priority, forwardRequest.Route = r.route.Priority, r.route.Name
	tenant, kind := findTenant(conf, r.route, q.Header[inbound.HeaderKey])
	if kind != 0 {
		return r, kind
	}
	ids := q.Header[inbound.HeaderAttemptID]
	if len(ids) != 1 || ids[0] == "" {
		return r, outcome.Malformed
	}
	if tenant != nil {
		forwardRequest.Tenant, forwardRequest.Priority = tenant.Name, tenant.Priority
		if r.quotaRetryAfter = p.acquireQuota(tenant); r.quotaRetryAfter > 0 {
			return r, outcome.QuotaExceeded
		}
	}
	forwardRequest.AttemptID, forwardRequest.Method, forwardRequest.URI, forwardRequest.Host = ids[0], q.Method, q.RequestURI, q.Host
	forwardRequest.CallingService, forwardRequest.Idempotent = p.options.Service, r.route.Kind.IsIdempotent()
	forwardRequest.Service = p.trafficSplits.chooseService(r.route)
	forwardRequest.Header = forwardedHeader(q.Header)
	return r, 0
}

// isNestedCall tells whether a request is a call of an endpoint, amid a request that it works on: those carry no tenant's key.
func isNestedCall(conf *configuration.Config, q *http.Request) bool {
	return conf.HasTenantTable && len(q.Header[inbound.HeaderKey]) == 0
}

// findTenant returns the tenant that holds a request's key; nil where the request needs none.
func findTenant(conf *configuration.Config, route *configuration.Route, keys []string) (*configuration.Tenant, outcome.Kind) {
	if !conf.HasTenantTable {
		return nil, 0
	}
	if len(keys) == 1 {
		if tenant := conf.TenantByKey(keys[0]); tenant != nil {
			return tenant, 0
		}
	}
	if route.Public {
		return nil, 0
	}
	return nil, outcome.Unauthorized
}

// setTimes sets a request's deadline and aim by its route and by what the client says that it has left, in milliseconds.
func (r *request) setTimes(now time.Duration, remaining string) {
	left, spent := r.route.Timeout, time.Duration(0)
	if ms, err := strconv.ParseFloat(remaining, 64); err == nil && ms >= 0 && ms < 1e9 {
		left = min(left, time.Duration(ms*float64(time.Millisecond)))
		if !r.forward.Nested { // a client that comes again has less left, and its aim counts from its first try
			spent = r.route.Timeout - left
		}
	}
	r.deadline = now + left
	switch target := r.route.Target; {
	case target <= 0:
		r.targetDeadline = r.deadline
	case spent < target:
		r.targetDeadline = min(r.deadline, now+target-spent)
	default: // it is late already: it may wait, but not as long as those that can still be in time
		r.targetDeadline = min(r.deadline, now+target/2)
	}
}

// forwardedHeader returns the header fields that go on to the endpoint, names and values in turn.
func forwardedHeader(h http.Header) (out []string) {
	hop := map[string]bool{}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			hop[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	for name, values := range h {
		if systemHeaders[name] || hop[name] || inbound.HopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, name, v)
		}
	}
	return out
}

// acquireQuota takes a request out of a tenant's limit; if it is not there it says when to come back.
func (p *Proxy) acquireQuota(t *configuration.Tenant) (back time.Duration) {
	if p.options.AcquireQuota == nil || t.Rate <= 0 {
		return 0
	}
	ch := make(chan time.Duration, 1)
	p.options.AcquireQuota(t, func(ok bool, back time.Duration) {
		if ok {
			ch <- 0
		} else {
			ch <- max(back, time.Millisecond)
		}
	})
	return <-ch
}

func (p *Proxy) retryAfter(r *request, k outcome.Kind) time.Duration {
	if k == outcome.QuotaExceeded {
		return max(r.quotaRetryAfter, 50*time.Millisecond)
	}
	return k.RetryAfter()
}

func headerBytes(q *http.Request) (n int64) {
	n = int64(len(q.Method) + len(q.RequestURI) + len(q.Host) + 20)
	for name, values := range q.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + 4)
		}
	}
	return n
}

// writeAnswer writes the answer, by the table alone.
func (p *Proxy) writeAnswer(w http.ResponseWriter, res result) {
	h := w.Header()
	if p.shuttingDown.Load() {
		h.Set("Connection", "close")
	} else {
		p.advertiseIdleTimeout(h)
	}
	if res.kind == outcome.Answered {
		o := res.response
		h["Content-Type"], h["Date"] = nil, nil
		for i := 0; i+1 < len(o.Header); i += 2 {
			h[o.Header[i]] = append(h[o.Header[i]], o.Header[i+1])
		}
		bodiless := o.Status == http.StatusNoContent || o.Status == http.StatusNotModified
		if !bodiless && h["Content-Length"] == nil { // that of an answer to HEAD is the endpoint's
			h["Content-Length"] = []string{strconv.Itoa(len(o.Body))}
		}
		w.WriteHeader(o.Status)
		_, _ = w.Write(o.Body)
		return
	}
	e := res.kind.Entry()
	h["Date"], h["Content-Type"] = nil, nil
	if back := max(res.retryAfter, e.RetryAfter); back > 0 && e.NotExecuted {
		h.Set("Retry-After", strconv.FormatFloat(back.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(e.Status)
}
