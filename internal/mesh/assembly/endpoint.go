package assembly

import (
	"slices"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/discovery"
)

const maxEndedIDs = 16 // lives of the endpoint that are over and remembered

// Keepalive takes a keepalive or a deregistration of the endpoint beside this process (agent.LocalEndpoint): the endpoint's own word,
// whether it came here or to another process.
func (a *sidecar) Keepalive(e discovery.Endpoint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.State == discovery.Deregistered {
		return a.applyDeregistration(e)
	}
	if e.AppAddress != a.settings.ApplicationAddress {
		return false
	}
	life, _ := a.inbound.Endpoint()
	late := e.ID == life.ID && e.Sequence < a.lastSequence && e.State == discovery.Serving
	if !late && !slices.Contains(a.endedIDs, e.ID) {
		a.applyEndpoint(e)
	}
	return true
}

// applyDeregistration takes the end of a life; it tells whether the life is of the endpoint beside this process. The lock is held.
func (a *sidecar) applyDeregistration(e discovery.Endpoint) bool {
	life, _ := a.inbound.Endpoint()
	if e.ID == life.ID {
		a.rememberEnded(e.ID)
		a.inbound.UpdateEndpoint(life, admission.Terminated)
		a.agent.PublishEnd(e.ID, discovery.Deregistered)
		return true
	}
	// Of an earlier life, or of one that an earlier process was told of: only the endpoint here calls without an address.
	if e.AppAddress != "" && e.AppAddress != a.settings.ApplicationAddress {
		return false
	}
	a.rememberEnded(e.ID)
	return true
}

// applyEndpoint takes a life of the endpoint, present or new, as it is now. The lock is held.
func (a *sidecar) applyEndpoint(e discovery.Endpoint) {
	if life, _ := a.inbound.Endpoint(); e.ID != life.ID {
		a.rememberEnded(life.ID)
		a.lastSequence = 0
	}
	a.lastSequence = max(a.lastSequence, e.Sequence)
	state := admission.Serving
	if e.State == discovery.Draining {
		state = admission.Draining
	}
	a.inbound.UpdateEndpoint(admission.Endpoint{ID: e.ID, Service: e.Service, Slots: e.Slots}, state)
	if !a.shuttingDown {
		e.Zone = a.settings.Zone
		a.agent.Publish(e)
	}
}

// rememberEnded remembers that a life is over: a keepalive of it may still come, late, and must not bring it back. The lock is held.
func (a *sidecar) rememberEnded(life string) {
	if life == "" || slices.Contains(a.endedIDs, life) {
		return
	}
	if a.endedIDs = append(a.endedIDs, life); len(a.endedIDs) > maxEndedIDs {
		a.endedIDs = a.endedIDs[1:]
	}
}

// handleEndpointLeaving takes what others remember of an endpoint at this machine's address: that it drains, or has deregistered. It may be of a life
// before the present one, which it never replaces: a life that drains is taken only where the endpoint has told of none yet.
func (a *sidecar) handleEndpointLeaving(e discovery.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	life, state := a.inbound.Endpoint()
	switch {
	case e.State == discovery.Deregistered && (e.ID != life.ID || state != admission.Terminated):
		a.applyDeregistration(e)
	case e.State != discovery.Draining || slices.Contains(a.endedIDs, e.ID):
	case life.ID == "" || e.ID == life.ID && state < admission.Draining:
		a.applyEndpoint(e)
	}
}
