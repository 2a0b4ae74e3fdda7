package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
)

// pendingRequest is a request without an outcome yet. The proxy's lock guards conn, cancelled and running.
type pendingRequest struct {
	token         uint64 // identifies the request to the admission controller
	request       *ForwardRequest
	deadline      time.Duration // time on the proxy's clock
	done          func(*ForwardResponse)
	conn          *connection // connection that the request is sent on; nil for none
	cancelled     bool
	running       bool    // whether the request was admitted
	answerBytes   int64   // bytes of the answer that are reserved in Proxy.answerMemory
	expectedBytes float64 // bytes that the answer is expected to add to the link's backlog; 0 unless the answer is large
}

// run sends an admitted request to the endpoint, and completes it with the response.
func (p *Proxy) run(pending *pendingRequest) {
	response := p.attempt(pending)
	if down := p.complete(pending, &response); down != "" && p.onEndpointDown != nil {
		p.onEndpointDown(down)
	}
}

// complete ends an admitted request with its response, and frees its slot. If the endpoint turns out to be down it returns the endpoint's
// ID, else an empty string.
func (p *Proxy) complete(pending *pendingRequest, response *ForwardResponse) (downEndpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.Kind == outcome.EndpointReset && pending.cancelled { // cancel has closed the connection
		response.Kind = outcome.TimedOut
	}
	p.releaseConnection(pending, response)
	if response.Kind == outcome.Answered {
		p.sizes.observe(pending.request.Route, response.Body.Len())
	}
	decisions := p.controller.Done(p.now(), pending.token)
	p.finish(pending, response)
	p.apply(decisions)
	return p.detectDown(pending)
}

// detectDown marks the endpoint as terminated and returns its ID if the endpoint refuses connections and the request was meant for it; else
// it returns an empty string. The caller holds the lock.
func (p *Proxy) detectDown(pending *pendingRequest) (downEndpoint string) {
	if !p.connections.endpointDown() {
		return ""
	}
	endpoint := p.controller.Endpoint()
	if p.controller.State() == admission.Terminated || endpoint.ID != pending.request.EndpointID {
		return ""
	}
	p.apply(p.controller.UpdateEndpoint(p.now(), endpoint, admission.Terminated))
	return endpoint.ID
}
