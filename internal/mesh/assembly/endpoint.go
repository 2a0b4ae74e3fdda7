package assembly

import (
	"slices"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/discovery"
)

const maxEndedIDs = 16 // lives of the endpoint that are over and remembered

// Keepalive takes a keepalive or a deregistration of the endpoint beside this process (agent.LocalEndpoint): the endpoint's own word,
// whether it came here or to another process.
func (s *sidecar) Keepalive(e discovery.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.State == discovery.Deregistered {
		return s.applyDeregistration(e)
	}
	if e.AppAddress != s.settings.ApplicationAddress {
		return false
	}
	life, _ := s.inbound.Endpoint()
	late := e.ID == life.ID && e.Sequence < s.lastSequence && e.State == discovery.Serving
	if !late && !slices.Contains(s.endedIDs, e.ID) {
		s.applyEndpoint(e)
	}
	return true
}

// applyDeregistration takes the end of a life; it tells whether the life is of the endpoint beside this process. The lock is held.
func (s *sidecar) applyDeregistration(e discovery.Endpoint) bool {
	life, _ := s.inbound.Endpoint()
	if e.ID == life.ID {
		s.rememberEnded(e.ID)
		s.inbound.UpdateEndpoint(life, admission.Terminated)
		s.agent.PublishEnd(e.ID, discovery.Deregistered)
		return true
	}
	// Of an earlier life, or of one that an earlier process was told of: only the endpoint here calls without an address.
	if e.AppAddress != "" && e.AppAddress != s.settings.ApplicationAddress {
		return false
	}
	s.rememberEnded(e.ID)
	return true
}

// applyEndpoint takes a life of the endpoint, present or new, as it is now. The lock is held.
func (s *sidecar) applyEndpoint(e discovery.Endpoint) {
	if life, _ := s.inbound.Endpoint(); e.ID != life.ID {
		s.rememberEnded(life.ID)
		s.lastSequence = 0
	}
	s.lastSequence = max(s.lastSequence, e.Sequence)
	state := admission.Serving
	if e.State == discovery.Draining {
		state = admission.Draining
	}
	s.inbound.UpdateEndpoint(admission.Endpoint{ID: e.ID, Service: e.Service, Slots: e.Slots}, state)
	if !s.shuttingDown {
		e.Zone = s.settings.Zone
		s.agent.Publish(e)
	}
}

// rememberEnded remembers that a life is over: a keepalive of it may still come, late, and must not bring it back. The lock is held.
func (s *sidecar) rememberEnded(life string) {
	if life == "" || slices.Contains(s.endedIDs, life) {
		return
	}
	if s.endedIDs = append(s.endedIDs, life); len(s.endedIDs) > maxEndedIDs {
		s.endedIDs = s.endedIDs[1:]
	}
}

// handleEndpointLeaving takes what others remember of an endpoint at this machine's address: that it drains, or has deregistered. It may be of a life
// before the present one, which it never replaces: a life that drains is taken only where the endpoint has told of none yet.
func (s *sidecar) handleEndpointLeaving(e discovery.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	life, state := s.inbound.Endpoint()
	switch {
	case e.State == discovery.Deregistered && (e.ID != life.ID || state != admission.Terminated):
		s.applyDeregistration(e)
	case e.State != discovery.Draining || slices.Contains(s.endedIDs, e.ID):
	case life.ID == "" || e.ID == life.ID && state < admission.Draining:
		s.applyEndpoint(e)
	}
}
