package assembly

import (
	"slices"
	"sync"

	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/discovery"
)

// maxEndedIDs is the number of ended endpoint IDs that are remembered.
const maxEndedIDs = 16

// localEndpoint decides which endpoint beside a sidecar is the current one; inbound holds its ID and state. An endpoint gets a new ID at
// each start. Its keepalives and deregistrations may arrive late, may be forwarded by other processes, and may be reported by others that
// remember an earlier endpoint.
//
//	(none) --keepalive--> serving --keepalive "draining"--> draining --deregistration--> ended
//	                         \------------------deregistration, or a keepalive of a new ID----/
//
// An ID that has ended never comes back.
type localEndpoint struct {
	address string // at which the endpoint serves
	zone    string
	inbound *inbound.Proxy
	agent   *agent.Agent

	mu           sync.Mutex // guards the fields below; no function that may call localEndpoint is called with mu held
	lastSequence uint64     // callSequence of the newest keepalive of the current ID
	endedIDs     []string   // the oldest first, up to maxEndedIDs
	shuttingDown bool       // the sidecar is shutting down, and publishes no keepalive any more
}

// HandleReport implements agent.LocalEndpoint: it handles a keepalive or a deregistration that this process received, or that another
// process forwarded. It reports whether that came from the endpoint here. One that arrives late changes nothing.
func (l *localEndpoint) HandleReport(endpoint discovery.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if endpoint.State == discovery.Deregistered {
		return l.applyDeregistration(endpoint)
	}
	if endpoint.AppAddress != l.address {
		return false
	}
	current, _ := l.inbound.Endpoint()
	late := endpoint.ID == current.ID && endpoint.Sequence < l.lastSequence && endpoint.State == discovery.Serving
	if !late && !slices.Contains(l.endedIDs, endpoint.ID) {
		l.applyKeepalive(endpoint)
	}
	return true
}

// handleLeaving handles the record, from other processes, of an endpoint at this address that is draining or has deregistered
// (agent.Config.OnEndpointLeaving). An earlier ID in such a record never replaces the current one: if it is draining, it becomes the
// current one only if the endpoint here has not sent a keepalive yet.
func (l *localEndpoint) handleLeaving(endpoint discovery.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, state := l.inbound.Endpoint()
	if endpoint.State == discovery.Deregistered {
		if endpoint.ID != current.ID || state != admission.Terminated {
			l.applyDeregistration(endpoint)
		}
		return
	}
	if endpoint.State != discovery.Draining || slices.Contains(l.endedIDs, endpoint.ID) {
		return
	}
	unknown := current.ID == ""
	drainsNow := endpoint.ID == current.ID && state < admission.Draining
	if unknown || drainsNow {
		l.applyKeepalive(endpoint)
	}
}

// applyDeregistration ends an endpoint ID, and reports whether that is one of the endpoint here. The caller holds the lock.
func (l *localEndpoint) applyDeregistration(endpoint discovery.Endpoint) bool {
	current, _ := l.inbound.Endpoint()
	if endpoint.ID == current.ID {
		l.rememberEnded(endpoint.ID)
		l.inbound.UpdateEndpoint(current, admission.Terminated)
		l.agent.PublishEnd(endpoint.ID, discovery.Deregistered)
		return true
	}
	// The ID is an earlier one, or one that an earlier incarnation of this process knew. A deregistration without an address was received
	// over HTTP, from the endpoint here.
	if endpoint.AppAddress != "" && endpoint.AppAddress != l.address {
		return false
	}
	l.rememberEnded(endpoint.ID)
	return true
}

// applyKeepalive makes an endpoint the current one, or updates it. The caller holds the lock.
func (l *localEndpoint) applyKeepalive(endpoint discovery.Endpoint) {
	if current, _ := l.inbound.Endpoint(); endpoint.ID != current.ID {
		l.rememberEnded(current.ID)
		l.lastSequence = 0
	}
	l.lastSequence = max(l.lastSequence, endpoint.Sequence)
	state := admission.Serving
	if endpoint.State == discovery.Draining {
		state = admission.Draining
	}
	l.inbound.UpdateEndpoint(admission.Endpoint{ID: endpoint.ID, Service: endpoint.Service, Slots: endpoint.Slots}, state)
	if !l.shuttingDown {
		endpoint.Zone = l.zone
		l.agent.Publish(endpoint)
	}
}

// rememberEnded records that an ID has ended, as late keepalives of it may still arrive. The caller holds the lock.
func (l *localEndpoint) rememberEnded(id string) {
	if id == "" || slices.Contains(l.endedIDs, id) {
		return
	}
	l.endedIDs = append(l.endedIDs, id)
	if len(l.endedIDs) > maxEndedIDs {
		l.endedIDs = l.endedIDs[1:]
	}
}

// shutDown makes localEndpoint publish no keepalive from now on.
func (l *localEndpoint) shutDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shuttingDown = true
}

// isShuttingDown reports whether shutDown was called.
func (l *localEndpoint) isShuttingDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shuttingDown
}
