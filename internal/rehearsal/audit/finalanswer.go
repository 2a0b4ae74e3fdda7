package audit

import (
	"time"
)

// judgeFinalAnswer judges the first rule for one request: one answer, in time, of a server, and no attempts after it.
func (a *auditor) judgeFinalAnswer(r *request) {
	due := r.sent.At + r.sent.Duration + a.Slack
	if len(r.answers) > 1 {
		a.addBreach(breachOf(FinalAnswer, r.answers[1].At, r, -1, "two answers to one request"))
	}
	if len(r.answers) == 0 {
		a.judgeNoAnswer(r, due)
		return
	}
	answer := &r.answers[0]
	if answer.At > due && !a.interrupted(r.sent.Sidecar, r.sent.At, answer.At) {
		late := (answer.At - r.sent.At - r.sent.Duration).Round(time.Millisecond)
		a.addBreach(breachOf(FinalAnswer, answer.At, r, -1, "the answer came %v after the request's time", late))
	}
	if answer.Status == statusOK && !answer.Authentic {
		a.addBreach(breachOf(FinalAnswer, answer.At, r, -1, "served with what no box made for this request"))
	}
	for _, attempt := range r.attempts {
		if first := attempt.received.FirstByteAt; first > answer.At+a.Slack {
			a.addBreach(breachOf(FinalAnswer, first, r, attempt.received.Server, "sent again after its final answer"))
		}
	}
}

// judgeNoAnswer judges a request that got no answer: it is excused if its sidecar was killed, if the caller went away early by
// itself, or if the connection was closed before an attempt.
func (a *auditor) judgeNoAnswer(r *request, due time.Duration) {
	switch {
	case a.interrupted(r.sent.Sidecar, r.sent.At, due):
	case r.ended == nil:
		a.addBreach(breachOf(FinalAnswer, due, r, -1, "no answer in %v", r.sent.Duration))
	case r.ended.Kind == CallerTimedOut:
		if r.ended.At >= due {
			a.addBreach(breachOf(FinalAnswer, r.ended.At, r, -1, "no answer in %v", r.sent.Duration))
		}
	case len(r.attempts) > 0:
		a.addBreach(breachOf(FinalAnswer, r.ended.At, r, -1,
			"the connection was closed without an answer, after %d attempts", len(r.attempts)))
	}
}

// rejected reports whether a status promises that the request had no effect.
func rejected(status int) bool {
	return status == statusTooManyRequests || status == statusServiceUnavailable
}
