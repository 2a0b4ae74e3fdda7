package dryrun

import "quincegap/internal/rehearsal/scenario"

// playArrival simulates the caller of one arrival: its attempts, and the backoffs between them.
func (s *sim) playArrival(arrival int) {
	caller, prefersFirst := s.plan.Caller(arrival, s.now), s.plan.PrefersFirstSidecar(arrival)
	var attempt func()
	attempt = func() {
		number, left, ok := caller.NextAttempt(s.now)
		if !ok {
			return
		}
		retry := func(r reply) {
			if backoff, ok := caller.RetryAfter(s.now, r.status, r.retryAfter); ok {
				s.scheduleAfter(backoff, attempt)
			}
		}
		sidecar := s.pickSidecar(prefersFirst)
		if sidecar == nil {
			retry(reply{})
			return
		}
		sidecar.handle(&call{
			request: scenario.RequestID(arrival, number), class: s.plan.Arrivals[arrival].Class,
			timeLeft: left, origin: arrival, callerAttempt: number,
		}, retry)
	}
	attempt()
}

// pickSidecar returns the sidecar to which an external caller sends its request: the first one if the caller prefers it and it is in
// rotation; else that of a random idle connection, whether or not it is in rotation; else the next one in rotation. It returns nil if
// there is none.
func (s *sim) pickSidecar(prefersFirst bool) *instance {
	outside := s.instances[:s.plan.Sidecars.Count]
	if prefersFirst && outside[0].inRotation {
		return outside[0]
	}
	if idle := s.drawIdle(outside); idle != nil {
		return idle
	}
	var inRotation []*instance
	for _, i := range outside {
		if i.inRotation {
			inRotation = append(inRotation, i)
		}
	}
	if len(inRotation) == 0 {
		return nil
	}
	s.nextSidecar++
	return inRotation[s.nextSidecar%len(inRotation)]
}

// drawIdle draws one of all idle connections of callers and returns its sidecar. If there is none, it returns nil without a draw.
func (s *sim) drawIdle(outside []*instance) *instance {
	idle := 0
	for _, i := range outside {
		idle += i.idleConnections()
	}
	if idle == 0 {
		return nil
	}
	drawn := s.callers.IntN(idle)
	for _, i := range outside {
		if drawn -= i.idleConnections(); drawn < 0 {
			return i
		}
	}
	return nil
}
