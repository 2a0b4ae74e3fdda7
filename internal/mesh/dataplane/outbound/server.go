package outbound

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/outcome"
)

// Bounds on clients, in addition to those of the configuration.
const (
	// maxHeaderBytes is the size of the largest header that the server reads. A header within this size that exceeds the configured bound is
	// rejected by accept.
	maxHeaderBytes = 256 << 10
	// maxHeaderTime bounds the configured time that a client may take to send a header.
	maxHeaderTime = 30 * time.Second
	// defaultHeaderTimeout is the time that a client may take to send a header until there is a configuration.
	defaultHeaderTimeout = 5 * time.Second
	// maxIdleTime bounds the configured idle timeout of clients' connections.
	maxIdleTime = 90 * time.Second
	// expiryMargin is how long before its deadline a request expires, so that its answer reaches the client in time.
	expiryMargin = 30 * time.Millisecond
	// expiryWait is how long an expired request waits for the outcomes of its cancelled attempts. It is shorter than expiryMargin.
	expiryWait = 22 * time.Millisecond
)

// Server returns the HTTP server for clients. The caller starts and closes it. Its listener must come from Listener.
func (p *Proxy) Server() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(p.serve),
		ReadHeaderTimeout: maxHeaderTime,
		IdleTimeout:       maxIdleTime,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         p.connections.track,
		ErrorLog:          log.New(io.Discard, "", 0), // errors caused by clients are not logged
	}
}

// Listener returns a listener for Server, which applies the configured time for clients' headers to the connections that it accepts, and
// counts their memory.
func (p *Proxy) Listener(listener net.Listener) net.Listener {
	return clientListener{listener, p.headerTimeout, p.maxHeader, p.options.ConnectionMemory}
}

// maxHeader returns the size of the largest header that the active configuration allows; 0 while there is none.
func (p *Proxy) maxHeader() int64 {
	if config := p.config.Load(); config != nil {
		return config.Limits.HeaderMax
	}
	return 0
}

// headerTimeout returns how long a client may take to send a header, according to the active configuration. The time begins with the
// header's first byte.
func (p *Proxy) headerTimeout() time.Duration {
	if config := p.config.Load(); config != nil && config.Limits.HeaderTimeout > 0 {
		return min(config.Limits.HeaderTimeout, maxHeaderTime)
	}
	return defaultHeaderTimeout
}

// serve answers one request, and then reads the rest of its body.
func (p *Proxy) serve(w http.ResponseWriter, req *http.Request) {
	if bodyRead := p.answerRequest(w, req); !bodyRead {
		discardBody(w, req)
	}
}

// answerRequest answers a request, and reports whether its body was read completely. A rejected request is answered at once, while its
// body may still be in transit.
func (p *Proxy) answerRequest(w http.ResponseWriter, req *http.Request) (bodyRead bool) {
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	res, bodyRead := p.handle(w, req)
	if bodyRead {
		p.writeAnswer(w, res)
		return true
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // else the server reads the body before it answers; never fails on an HTTP/1 connection
	p.writeAnswer(w, res)
	_ = controller.Flush() // fails if the client has disconnected
	return false
}

// handle returns the result of a request once it was served or rejected; bodyRead reports whether its body was read completely.
func (p *Proxy) handle(w http.ResponseWriter, req *http.Request) (res result, bodyRead bool) {
	bodyRead = req.Body == nil || req.Body == http.NoBody
	config := p.config.Load()
	if config == nil {
		return result{kind: outcome.NotReady}, bodyRead
	}
	if p.shutdown.rejecting.Load() && !p.servesNestedCall(config, req) {
		return result{kind: outcome.ShuttingDown}, bodyRead
	}
	pending, kind := p.accept(config, req)
	if kind == outcome.None {
		kind = p.readBody(config, w, req, pending)
		defer p.releaseBody(pending)
	}
	if kind != outcome.None {
		return result{kind: kind, retryAfter: pending.rejectionRetryAfter(kind)}, bodyRead
	}
	p.dispatcher.submit(pending)
	return p.await(pending, req.Context().Done()), true
}

// servesNestedCall reports whether a request is served although this process rejects others: a nested call of the endpoint on this
// machine, while that endpoint executes requests. If the call were rejected, the request that waits for it, which was accepted before,
// would fail.
func (p *Proxy) servesNestedCall(config *configuration.Config, req *http.Request) bool {
	select {
	case <-p.shutdown.inFlight.Done():
		return false
	default:
		return isNestedCall(config, req) && p.options.Inbound.Pending() > 0
	}
}

// await waits for a request's result. If the deadline comes near, the client disconnects or this process shuts down before there is one,
// the request expires and the result is derived from what is known of its attempts. There is a result even if the client seems to have
// disconnected, since a client that has closed only its sending half still reads the answer.
func (p *Proxy) await(pending *request, clientGone <-chan struct{}) result {
	timer := time.NewTimer(pending.deadline - p.Now() - expiryMargin)
	defer timer.Stop()
	select {
	case res := <-pending.results:
		return res
	case <-timer.C:
	case <-p.shutdown.inFlight.Done():
	case <-clientGone:
	}
	p.dispatcher.expire(pending)
	timer.Reset(expiryWait)
	select {
	case res := <-pending.results:
		return res
	case <-timer.C:
	}
	p.dispatcher.abandon(pending)
	return <-pending.results
}
