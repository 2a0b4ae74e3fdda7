package audit

import "time"

// judgeDrain checks the third rule for one attempt: a sidecar must not send it later than Drain after it learned that the server is
// leaving. A sidecar counts as notified of an update as soon as discovery has written it to the sidecar, and at the latest
// NotifyWithin after the update. If both give an update, the later one counts.
func (a *auditor) judgeDrain(request *request, attempt *attempt) {
	first, server := attempt.received.FirstByteAt, attempt.received.Server
	deadline := first - a.Drain - a.Slack
	notified := a.notified[[2]int{request.sent.Sidecar, server}]
	known := a.knownUpdates[server]
	written, isWritten := lastUpdate(notified, deadline)
	due, isDue := lastUpdate(known, deadline)
	if a.readyAgain(notified, first, due, isDue) {
		return
	}
	if newest, ok := lastUpdate(known, first); ok && newest.State == stateReady && !isWritten {
		return
	}
	var since StateUpdate
	switch {
	case isWritten && written.leaving():
		since = written
	case isDue && due.leaving() && (!isWritten || written.At < due.At-a.NotifyWithin) && a.wasServing(request.sent.Sidecar, due.At):
		since = due
	default:
		return
	}
	a.addBreach(breachOf(DrainRespected, first, request, server, "sent to it %v after the sidecar was told that it is %s",
		(first - since.At).Round(time.Millisecond), since.State))
}

// readyAgain reports whether the latest update written by the given time says that the server is ready, and no later update that it
// is leaving is due.
func (a *auditor) readyAgain(notified []StateUpdate, at time.Duration, due StateUpdate, isDue bool) bool {
	newest, _ := lastUpdate(notified, at)
	if newest.State != stateReady {
		return false
	}
	return !isDue || !due.leaving() || due.At-a.NotifyWithin <= newest.At
}

// leaving reports whether the update says that the server is terminating or gone.
func (u *StateUpdate) leaving() bool { return u.State == stateTerminating || u.State == stateGone }

// lastUpdate returns the last update at or before a time, or false if there is none. The updates are in order of time.
func lastUpdate(updates []StateUpdate, until time.Duration) (StateUpdate, bool) {
	for i := len(updates) - 1; i >= 0; i-- {
		if updates[i].At <= until {
			return updates[i], true
		}
	}
	return StateUpdate{}, false
}
