package assembly

import (
	"context"
	"net"
	"time"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/discovery"
)

// Durations into which a sidecar divides the grace time, which is the time from SIGTERM to SIGKILL. With a short grace time they are
// limited to fractions of it.
const (
	// readinessNotice is the time from SIGTERM, after which readiness probes fail, to the rejection of new requests: the platform probes
	// every second, and sends no more clients after two failed probes.
	readinessNotice = 2400 * time.Millisecond
	// answerMargin is the time before SIGKILL that remains for sending the answers that are being written, also over a slow link.
	answerMargin = 900 * time.Millisecond
	// answerDivisor limits answerMargin to a fraction of a short grace time: requests get six sevenths of it. They need at least five
	// sixths: docs/incidents/signal-while-ending.md.
	answerDivisor        = 7
	exitMargin           = 250 * time.Millisecond // time before SIGKILL at which the process exits
	exitDivisor          = 12                     // limits exitMargin to the grace time divided by it
	shutdownPollInterval = 20 * time.Millisecond  // time between two checks whether a step is complete
)

// shutdownPlan has the times of the steps of a sidecar's shutdown, on the process's clock. Invariant: rejectFrom < answersDue < exitBy.
type shutdownPlan struct {
	rejectFrom time.Duration // time from which new requests are rejected
	answersDue time.Duration // deadline for the outcome of each request that was read
	exitBy     time.Duration // time at which the process exits, even if clients have not read their answers
}

// planShutdown returns the plan for a process that gets SIGTERM at the time now, and SIGKILL when the grace time has passed.
func planShutdown(now, grace time.Duration) shutdownPlan {
	return shutdownPlan{
		rejectFrom: now + min(readinessNotice, grace*2/5),
		answersDue: now + grace - min(answerMargin, grace/answerDivisor),
		exitBy:     now + grace - min(exitMargin, grace/exitDivisor),
	}
}

// shutDown shuts down the sidecar step by step. The sidecar reports that it is not ready, and serves requests until clients use other
// sidecars. It then rejects new requests, and waits until each request that was read has its answer, including those that other sidecars
// have sent to the local endpoint.
func (s *sidecar) shutDown(clients net.Listener) {
	plan := planShutdown(s.hub.Now(), s.settings.Bounds.Grace)
	s.local.shutDown()
	s.outbound.ShutDownBy(plan.answersDue)
	if endpoint, _ := s.inbound.Endpoint(); endpoint.ID != "" {
		s.agent.PublishEnd(endpoint.ID, discovery.Crashed) // not Deregistered: the endpoint may continue to run beside the next incarnation
	}
	s.waitUntil(plan.rejectFrom, func() bool { return false }) // always until rejectFrom: readiness probes must fail first
	s.rejectNewRequests()
	s.waitUntil(plan.answersDue, func() bool { return s.outbound.OpenRequests() == 0 && s.inbound.Pending() == 0 })
	s.closeListener(clients)
	s.outbound.CloseConnections()
	s.waitUntil(plan.exitBy, func() bool { return s.outbound.OpenRequests() == 0 && s.outbound.OpenConnections() == 0 })
	ctx, cancel := context.WithTimeout(s.ctx, plan.exitBy-s.hub.Now())
	defer cancel()
	s.shutDownHTTPServers(ctx)
	s.hub.Drain(plan.exitBy)
}

// rejectNewRequests makes the sidecar reject new requests of clients, and new requests of other sidecars to the local endpoint.
func (s *sidecar) rejectNewRequests() {
	s.outbound.RejectNewRequests()
	if endpoint, state := s.inbound.Endpoint(); endpoint.ID != "" && state != admission.Terminated {
		s.inbound.UpdateEndpoint(endpoint, admission.Terminated)
	}
}

// waitUntil waits until done returns true, but no longer than until the time at.
func (s *sidecar) waitUntil(at time.Duration, done func() bool) {
	for s.hub.Now() < at && !done() {
		time.Sleep(shutdownPollInterval)
	}
}
