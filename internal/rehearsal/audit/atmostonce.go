package audit

// judgeAtMostOnce checks the second rule for one request: at most MaxAttempts attempts, no two in flight at once unless hedging is
// allowed, and no attempt after one that may have run, unless repeating it has no second effect.
func (a *auditor) judgeAtMostOnce(request *request) {
	if request.sent.Class < 0 || request.sent.Class >= len(a.Classes) {
		return
	}
	class := &a.Classes[request.sent.Class]
	var mayHaveRun []*attempt
	for i, next := range request.attempts {
		if a.MaxAttempts > 0 && i == a.MaxAttempts {
			a.addBreach(breachOf(AtMostOnce, next.received.At, request, next.received.Server, "attempt %d; %d are allowed", i+1, a.MaxAttempts))
		}
		a.judgeInFlight(request, next, request.attempts[:i])
		a.judgeRepeat(class, request, next, mayHaveRun)
		if !next.neverRan() {
			mayHaveRun = append(mayHaveRun, next)
		}
	}
	if class.Idempotency != idempotencyUnsafe || len(mayHaveRun) == 0 || len(request.answers) == 0 {
		return
	}
	if answer := &request.answers[0]; rejected(answer.Status) {
		a.addBreach(breachOf(AtMostOnce, answer.At, request, mayHaveRun[0].received.Server,
			"refused, which promises that trying again is harmless, after an attempt that may have run"))
	}
}

// judgeInFlight adds a breach if an attempt was sent while an earlier one was still in flight and hedging is not allowed.
func (a *auditor) judgeInFlight(request *request, next *attempt, before []*attempt) {
	if a.Hedging {
		return
	}
	for _, earlier := range before {
		if earlier.ended == nil || earlier.ended.At > next.received.At+a.Slack {
			a.addBreach(breachOf(AtMostOnce, next.received.At, request, next.received.Server,
				"sent while another attempt was out, at %s", a.serverName(earlier.received.Server)))
			return
		}
	}
}

// judgeRepeat adds a breach if an attempt may have a second effect, given the earlier attempts that may have run. It adds at most one.
func (a *auditor) judgeRepeat(class *Class, request *request, next *attempt, mayHaveRun []*attempt) {
	breach := func(format string, args ...any) {
		a.addBreach(breachOf(AtMostOnce, next.received.At, request, next.received.Server, format, args...))
	}
	for _, earlier := range mayHaveRun {
		server := a.serverName(earlier.received.Server)
		since := next.received.At - earlier.received.At
		switch {
		case class.Idempotency == idempotencyUnsafe:
			breach("sent again after an attempt that may have run, at %s", server)
			return
		case class.Idempotency != idempotencyKeyed:
		case !a.sameKeyGroup(class.Scope, earlier.received.Server, next.received.Server):
			breach("sent again outside the group that drops its repeats, after an attempt that may have run, at %s", server)
			return
		case since > class.Window+a.Slack:
			breach("sent again %v after an attempt that may have run, at %s; its key is remembered for %v", since, server, class.Window)
			return
		}
	}
}
