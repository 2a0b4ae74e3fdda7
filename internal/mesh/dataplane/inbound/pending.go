package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
)

// pendingRequest is one request from its arrival to its outcome. The proxy's lock guards all that changes.
type pendingRequest struct {
	token         uint64
	request       *ForwardRequest
	deadline      time.Duration
	done          func(*ForwardResponse)
	conn          *connection // that carries it; nil for none
	cancelled     bool
	running       bool    // it was admitted
	expectedBytes float64 // of its answer, if that waits for its turn on the machine's link; else 0
}

// run brings an admitted request to the endpoint and its outcome back.
func (p *Proxy) run(pending *pendingRequest) {
	response := p.attempt(pending)
	if down := p.complete(pending, &response); down != "" && p.onEndpointDown != nil {
		p.onEndpointDown(down)
	}
}

// complete takes the response to a request that was admitted. It returns the endpoint's ID if the endpoint is found to be down.
func (p *Proxy) complete(pending *pendingRequest, response *ForwardResponse) (downEndpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.Kind == outcome.EndpointReset && pending.cancelled { // the proxy itself closed the connection
		response.Kind = outcome.TimedOut
	}
	p.releaseConnection(pending, response)
	if response.Kind == outcome.Answered {
		p.sizes.observe(pending.request.Route, len(response.Body))
	}
	decisions := p.controller.Done(p.now(), pending.token)
	p.finish(pending, response)
	p.apply(decisions)
	return p.detectDown(pending)
}

// detectDown marks the endpoint as terminated if it refuses connections, and returns its ID then. It does so only for a request that
// was meant for this endpoint. The lock is held.
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
