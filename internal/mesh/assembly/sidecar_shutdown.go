package assembly

import (
	"context"
	"net"
	"time"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/discovery"
)

// How a sidecar divides the grace time between SIGTERM and SIGKILL. Each length is at most a fraction of a short grace time.
const (
	readinessNotice      = 2400 * time.Millisecond // the platform probes each second, and sends no clients after two failures
	answerMargin         = 900 * time.Millisecond  // for answers that are being written to go out, also over a slow link
	answerDivisor        = 7                       // a seventh of a short grace time: requests are to have five sixths of it at least
	exitMargin           = 250 * time.Millisecond
	exitDivisor          = 12
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdownPlan is when a sidecar takes the steps of its shutdown, on the process's clock.
type shutdownPlan struct {
	rejectFrom time.Duration // requests that come from then on are rejected
	answersDue time.Duration // each request that was read has its outcome
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

// shutDown ends the sidecar in order. It reports not ready and serves on until clients go elsewhere, rejects later requests, and ends
// once each request that was read has its answer; answers of the endpoint here go out to its callers as well.
func (s *sidecar) shutDown(clients net.Listener) {
	plan := planShutdown(s.hub.Now(), s.settings.Bounds.Grace)
	s.local.shutDown()
	s.outbound.ShutDownBy(plan.answersDue)
	if endpoint, _ := s.inbound.Endpoint(); endpoint.ID != "" {
		s.agent.PublishEnd(endpoint.ID, discovery.Crashed) // not Deregistered: it may go on under the sidecar's next start
	}
	s.waitUntil(plan.rejectFrom, func() bool { return false }) // the whole time: readiness probes are to fail first
	s.rejectNewRequests()
	s.waitUntil(plan.answersDue, func() bool { return s.outbound.OpenRequests() == 0 && s.inbound.Pending() == 0 })
	s.closeListener(clients)
	s.outbound.CloseConnections()
	s.waitUntil(plan.exitBy, func() bool { return s.outbound.OpenRequests() == 0 && s.outbound.OpenConnections() == 0 })
	ctx, cancel := context.WithTimeout(s.ctx, plan.exitBy-s.hub.Now())
	defer cancel()
	s.shutDownServers(ctx)
	s.hub.Drain(plan.exitBy)
}

// rejectNewRequests has clients' requests, and others' for the endpoint here, rejected from now on.
func (s *sidecar) rejectNewRequests() {
	s.outbound.RejectNewRequests()
	if endpoint, state := s.inbound.Endpoint(); endpoint.ID != "" && state != admission.Terminated {
		s.inbound.UpdateEndpoint(endpoint, admission.Terminated)
	}
}

// waitUntil returns when done says so, at the given time at the latest.
func (s *sidecar) waitUntil(at time.Duration, done func() bool) {
	for s.hub.Now() < at && !done() {
		time.Sleep(shutdownPollInterval)
	}
}
