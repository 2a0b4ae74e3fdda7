package assembly

import (
	"slices"
	"sync"

	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/discovery"
)

// maxEndedIDs is the largest number of ended endpoint IDs that are retained.
const maxEndedIDs = 16

// localEndpoint decides which ID of the endpoint beside a sidecar is the current one; inbound holds the current ID and its state. An
// endpoint gets a new ID at each start. Its keepalives and deregistrations may arrive late, or be forwarded by other processes. Other
// processes may also send a record of an earlier ID.
//
//	(none) --keepalive--> serving --keepalive "draining"--> draining --deregistration--> ended
//	                         \------------------deregistration, or a keepalive of a new ID----/
//
// An ID that has ended never comes back.
type localEndpoint struct {
	address string // address at which the endpoint serves requests
	zone    string // zone of the sidecar's machine
	inbound *inbound.Proxy
	agent   *agent.Agent

	mu           sync.Mutex // guards the fields below; must not be held while a function is called that may call localEndpoint
	lastSequence uint64     // callSequence of the newest keepalive of the current ID
	endedIDs     []string   // IDs that have ended, oldest first; at most maxEndedIDs
	shuttingDown bool       // whether the sidecar is shutting down, and no longer publishes keepalives
}

// HandleReport implements agent.LocalEndpoint. It handles a keepalive or a deregistration that this process has received from an endpoint,
// or that another process has forwarded. It returns true if the report is from the local endpoint. A report that arrives late changes
// nothing.
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

// handleLeaving handles a record of another process that says that an endpoint at this address is draining or has deregistered
// (agent.Config.OnEndpointLeaving). An earlier ID in such a record never replaces the current ID. The ID of a draining endpoint becomes the
// current ID only if the local endpoint has not sent a keepalive yet.
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
	noCurrentID := current.ID == ""
	startsDraining := endpoint.ID == current.ID && state < admission.Draining
	if noCurrentID || startsDraining {
		l.applyKeepalive(endpoint)
	}
}

// applyDeregistration ends an endpoint ID, and reports whether it is an ID of the local endpoint. The caller holds the lock.
func (l *localEndpoint) applyDeregistration(endpoint discovery.Endpoint) bool {
	current, _ := l.inbound.Endpoint()
	if endpoint.ID == current.ID {
		l.rememberEnded(endpoint.ID)
		l.inbound.UpdateEndpoint(current, admission.Terminated)
		l.agent.PublishEnd(endpoint.ID, discovery.Deregistered)
		return true
	}
	// The ID is an earlier one, or one that only an earlier incarnation of this process knew. A deregistration without an address comes
	// from the local endpoint, which has sent it over HTTP.
	if endpoint.AppAddress != "" && endpoint.AppAddress != l.address {
		return false
	}
	l.rememberEnded(endpoint.ID)
	return true
}

// applyKeepalive makes an endpoint ID the current one, or updates the state of the current one. The caller holds the lock.
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

// rememberEnded records that an ID has ended, because late keepalives with it may still arrive. The caller holds the lock.
func (l *localEndpoint) rememberEnded(id string) {
	if id == "" || slices.Contains(l.endedIDs, id) {
		return
	}
	l.endedIDs = append(l.endedIDs, id)
	if len(l.endedIDs) > maxEndedIDs {
		l.endedIDs = l.endedIDs[1:]
	}
}

// shutDown records that the sidecar is shutting down: keepalives are no longer published.
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
