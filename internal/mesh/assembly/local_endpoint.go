package assembly

import (
	"slices"
	"sync"

	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/discovery"
)

// maxEndedIDs is how many endpoint IDs that have ended are remembered.
const maxEndedIDs = 16

// localEndpoint decides which endpoint is the current one beside a sidecar. An endpoint gets a new ID at each start; its keepalives and
// deregistrations may come late, by way of another process, and from what others remember of an earlier one.
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

	mu           sync.Mutex // guards what follows. Nothing that may call back is called with it
	lastSequence uint64     // callSequence of the newest keepalive of the current ID
	endedIDs     []string   // the oldest first
	shuttingDown bool       // the sidecar is: nothing is published any more
}

// Keepalive takes a keepalive or a deregistration of the endpoint here (agent.LocalEndpoint), whether it came to this process or was
// forwarded by another. It reports whether it is of the endpoint here; one that comes late is, and changes nothing.
func (l *localEndpoint) Keepalive(e discovery.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.State == discovery.Deregistered {
		return l.applyDeregistration(e)
	}
	if e.AppAddress != l.address {
		return false
	}
	current, _ := l.inbound.Endpoint()
	late := e.ID == current.ID && e.Sequence < l.lastSequence && e.State == discovery.Serving
	if !late && !slices.Contains(l.endedIDs, e.ID) {
		l.applyKeepalive(e)
	}
	return true
}

// handleLeaving takes what others remember of an endpoint at this address: that it is draining, or has deregistered. It may be of an
// earlier ID, which never replaces the current one: a draining one is taken only where the endpoint has sent no keepalive yet.
func (l *localEndpoint) handleLeaving(e discovery.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, state := l.inbound.Endpoint()
	if e.State == discovery.Deregistered {
		if e.ID != current.ID || state != admission.Terminated {
			l.applyDeregistration(e)
		}
		return
	}
	if e.State != discovery.Draining || slices.Contains(l.endedIDs, e.ID) {
		return
	}
	unknown := current.ID == ""
	drainsNow := e.ID == current.ID && state < admission.Draining
	if unknown || drainsNow {
		l.applyKeepalive(e)
	}
}

// applyDeregistration ends an endpoint ID. It reports whether the ID is of the endpoint here. The lock is held.
func (l *localEndpoint) applyDeregistration(e discovery.Endpoint) bool {
	current, _ := l.inbound.Endpoint()
	if e.ID == current.ID {
		l.rememberEnded(e.ID)
		l.inbound.UpdateEndpoint(current, admission.Terminated)
		l.agent.PublishEnd(e.ID, discovery.Deregistered)
		return true
	}
	// It is of an earlier ID, or of one that an earlier incarnation of this process knew. Without an address it is of the endpoint here,
	// which alone calls so.
	if e.AppAddress != "" && e.AppAddress != l.address {
		return false
	}
	l.rememberEnded(e.ID)
	return true
}

// applyKeepalive makes an endpoint the current one, or updates it. The lock is held.
func (l *localEndpoint) applyKeepalive(e discovery.Endpoint) {
	if current, _ := l.inbound.Endpoint(); e.ID != current.ID {
		l.rememberEnded(current.ID)
		l.lastSequence = 0
	}
	l.lastSequence = max(l.lastSequence, e.Sequence)
	state := admission.Serving
	if e.State == discovery.Draining {
		state = admission.Draining
	}
	l.inbound.UpdateEndpoint(admission.Endpoint{ID: e.ID, Service: e.Service, Slots: e.Slots}, state)
	if !l.shuttingDown {
		e.Zone = l.zone
		l.agent.Publish(e)
	}
}

// rememberEnded notes that an ID has ended: a keepalive of it may still come. The lock is held.
func (l *localEndpoint) rememberEnded(id string) {
	if id == "" || slices.Contains(l.endedIDs, id) {
		return
	}
	l.endedIDs = append(l.endedIDs, id)
	if len(l.endedIDs) > maxEndedIDs {
		l.endedIDs = l.endedIDs[1:]
	}
}

// shutDown has nothing published from now on.
func (l *localEndpoint) shutDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shuttingDown = true
}

func (l *localEndpoint) isShuttingDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shuttingDown
}
