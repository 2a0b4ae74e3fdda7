package assembly

import (
	"context"
	"net"
	"time"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/discovery"
)

// How long before SIGKILL a sidecar has done what, and how long it goes on taking requests after SIGTERM.
const (
	readinessNotice      = 2400 * time.Millisecond // the platform looks each second, and turns away after two misses
	answerMargin         = 900 * time.Millisecond  // in which answers that are being written go out, also over a slow link;
	answerDivisor        = 7                       // at most this part of the grace time: requests may run for five sixths of it
	exitMargin           = 250 * time.Millisecond
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdownPlan is the order in which a sidecar ends; all times are on the process's steady clock.
type shutdownPlan struct {
	rejectFrom time.Duration // requests that come from then on are refused
	answersDue time.Duration // each request that was read has its outcome
	exitBy     time.Duration // the process ends, whether or not clients have taken their answers
}

// planShutdown plans the end of a process that got SIGTERM now and gets SIGKILL after the grace time. Margins take a part of a
// short grace time only.
func planShutdown(now, grace time.Duration) shutdownPlan {
	return shutdownPlan{
		rejectFrom: now + min(readinessNotice, grace*2/5),
		answersDue: now + grace - min(answerMargin, grace/answerDivisor),
		exitBy:     now + grace - min(exitMargin, grace/12),
	}
}

// shutDown ends the sidecar in order: it says that it is not ready, serves on until clients have turned elsewhere, refuses who comes
// later, and ends once each request that was read has its answer. What the endpoint here answered goes out to its callers too.
func (s *sidecar) shutDown(clients net.Listener) {
	plan := planShutdown(s.hub.Now(), s.settings.Bounds.Grace)
	s.mu.Lock()
	s.shuttingDown = true
	s.mu.Unlock()
	s.outbound.ShutDownBy(plan.answersDue)
	if life, _ := s.inbound.Endpoint(); life.ID != "" {
		s.agent.PublishEnd(life.ID, discovery.Crashed)
	}
	s.waitUntil(plan.rejectFrom, func() bool { return false })
	s.outbound.RejectNewRequests()
	if life, state := s.inbound.Endpoint(); life.ID != "" && state != admission.Terminated {
		s.inbound.UpdateEndpoint(life, admission.Terminated)
	}
	s.waitUntil(plan.answersDue, func() bool { return s.outbound.OpenRequests() == 0 && s.inbound.Pending() == 0 })
	clients.Close()
	s.outbound.CloseConnections()
	s.waitUntil(plan.exitBy, func() bool { return s.outbound.OpenRequests() == 0 && s.outbound.OpenConnections() == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), plan.exitBy-s.hub.Now())
	defer cancel()
	s.shutDownServers(ctx)
	s.hub.Drain(plan.exitBy)
}

// waitUntil returns when done says so, at the given time at the latest.
func (s *sidecar) waitUntil(at time.Duration, done func() bool) {
	for s.hub.Now() < at && !done() {
		time.Sleep(shutdownPollInterval)
	}
}
