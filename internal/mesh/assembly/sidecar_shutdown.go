package assembly

import (
	"context"
	"net"
	"time"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/discovery"
)

// The steps by which a sidecar divides the grace time, from SIGTERM to SIGKILL. With a short grace time they are fractions of it.
const (
	readinessNotice = 2400 * time.Millisecond // the platform probes every second, and sends no clients after two failed probes
	answerMargin    = 900 * time.Millisecond  // before SIGKILL, to send the answers that are being written, also over a slow link
	// answerDivisor makes answerMargin a part of a short grace time: requests get six sevenths (five sixths are required:
	// docs/incidents/signal-while-ending.md).
	answerDivisor        = 7
	exitMargin           = 250 * time.Millisecond // before SIGKILL
	exitDivisor          = 12                     // exitMargin is this part of a short grace time
	shutdownPollInterval = 20 * time.Millisecond  // between two checks whether a step is complete
)

// shutdownPlan holds the times of a sidecar's shutdown, on the process's clock. Invariant: rejectFrom < answersDue < exitBy.
type shutdownPlan struct {
	rejectFrom time.Duration // later requests are rejected
	answersDue time.Duration // each request that was read has its outcome by then
	exitBy     time.Duration // the process ends, whether or not clients have read their answers
}

// planShutdown plans the shutdown of a process that gets SIGTERM now, and SIGKILL after the grace time.
func planShutdown(now, grace time.Duration) shutdownPlan {
	return shutdownPlan{
		rejectFrom: now + min(readinessNotice, grace*2/5),
		answersDue: now + grace - min(answerMargin, grace/answerDivisor),
		exitBy:     now + grace - min(exitMargin, grace/exitDivisor),
	}
}

// shutDown shuts down the sidecar in order. The sidecar reports that it is not ready, and serves requests until clients go to other
// sidecars; it rejects later requests, and waits until each request that was read has its answer, including those that other sidecars
// have sent to the endpoint here.
func (s *sidecar) shutDown(clients net.Listener) {
	plan := planShutdown(s.hub.Now(), s.settings.Bounds.Grace)
	s.local.shutDown()
	s.outbound.ShutDownBy(plan.answersDue)
	if endpoint, _ := s.inbound.Endpoint(); endpoint.ID != "" {
		s.agent.PublishEnd(endpoint.ID, discovery.Crashed) // not Deregistered: the endpoint may go on beside the next incarnation
	}
	s.waitUntil(plan.rejectFrom, func() bool { return false }) // without polling: the readiness probes are to fail first
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

// rejectNewRequests makes the sidecar reject new requests of clients, and those of other sidecars for the endpoint here.
func (s *sidecar) rejectNewRequests() {
	s.outbound.RejectNewRequests()
	if endpoint, state := s.inbound.Endpoint(); endpoint.ID != "" && state != admission.Terminated {
		s.inbound.UpdateEndpoint(endpoint, admission.Terminated)
	}
}

// waitUntil waits until done returns true, at most until the given time.
func (s *sidecar) waitUntil(at time.Duration, done func() bool) {
	for s.hub.Now() < at && !done() {
		time.Sleep(shutdownPollInterval)
	}
}
