package outbound

import (
	"io"
	"log"
	"net/http"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/outcome"
)

// Bounds of what clients may do, beyond those of the configuration.
const (
	// maxHeaderBytes bounds the header that is read at all.
	maxHeaderBytes = 256 << 10
	// headerTimeout bounds the time in which a header must come.
	headerTimeout = 5 * time.Second
	// maxIdleTime bounds the time that a connection may stay idle.
	maxIdleTime = 90 * time.Second
	// expiryMargin is how long before its deadline a request expires, so that its answer is there in time.
	expiryMargin = 30 * time.Millisecond
	// expiryWait is how long the cancelled attempts of an expired request have to say how far they had come.
	expiryWait = 22 * time.Millisecond
)

// Server returns the HTTP server for clients. Its caller starts it, and closes it.
func (p *Proxy) Server() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(p.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       maxIdleTime,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         p.connections.track,
		ErrorLog:          log.New(io.Discard, "", 0), // what clients do wrong is theirs to log
	}
}

// serve takes one request from its header to its answer, and what comes of its body after that.
func (p *Proxy) serve(w http.ResponseWriter, req *http.Request) {
	if bodyRead := p.answerRequest(w, req); !bodyRead {
		discardBody(w, req)
	}
}

// answerRequest answers a request, and reports whether its body was read completely. One that is rejected is answered at once, with its
// body still on its way.
func (p *Proxy) answerRequest(w http.ResponseWriter, req *http.Request) (bodyRead bool) {
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	res, bodyRead := p.handle(w, req)
	if bodyRead {
		p.writeAnswer(w, res)
		return true
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // else the server reads the body before it answers; it fails on no HTTP/1 connection
	p.writeAnswer(w, res)
	_ = controller.Flush() // fails if the client has gone
	return false
}

// handle has a request served, or rejected; bodyRead reports whether its body was read completely.
func (p *Proxy) handle(w http.ResponseWriter, req *http.Request) (res result, bodyRead bool) {
	bodyRead = req.Body == nil || req.Body == http.NoBody
	config := p.config.Load()
	if config == nil {
		return result{kind: outcome.NotReady}, bodyRead
	}
	if p.shutdown.rejecting.Load() && !p.servesNestedCall(config, req) {
		return result{kind: outcome.ShuttingDown}, bodyRead
	}
	r, kind := p.admit(config, req)
	if kind == outcome.None {
		kind = p.readBody(config, w, req, r)
		defer p.releaseBody(r)
	}
	if kind != outcome.None {
		return result{kind: kind, retryAfter: r.rejectionRetryAfter(kind)}, bodyRead
	}
	p.dispatcher.submit(r)
	return p.await(r, req.Context().Done()), true
}

// servesNestedCall reports whether a request is served although this process rejects others: a call of the endpoint here while it
// executes requests. Without it a request that was taken before would fail.
func (p *Proxy) servesNestedCall(config *configuration.Config, req *http.Request) bool {
	select {
	case <-p.shutdown.due:
		return false
	default:
		return isNestedCall(config, req) && p.options.Inbound.Pending() > 0
	}
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
	case <-p.shutdown.due:
	case <-clientGone:
	}
	p.dispatcher.expire(r)
	timer.Reset(expiryWait)
	select {
	case res := <-r.results:
		return res
	case <-timer.C:
	}
	p.dispatcher.abandon(r)
	return <-r.results
}
