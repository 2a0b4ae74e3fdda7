package audit

import (
	"time"
)

// judgeFinalAnswer checks the first rule for one request: it gets exactly one answer, in time; a successful answer comes from a
// server; and no attempt follows the answer.
func (a *auditor) judgeFinalAnswer(request *request) {
	due := request.sent.At + request.sent.Duration + a.Slack
	if len(request.answers) > 1 {
		a.addBreach(breachOf(FinalAnswer, request.answers[1].At, request, -1, "two answers to one request"))
	}
	if len(request.answers) == 0 {
		a.judgeNoAnswer(request, due)
		return
	}
	answer := &request.answers[0]
	if answer.At > due && !a.interrupted(request.sent.Sidecar, request.sent.At, answer.At) {
		late := (answer.At - request.sent.At - request.sent.Duration).Round(time.Millisecond)
		a.addBreach(breachOf(FinalAnswer, answer.At, request, -1, "the answer came %v after the request's time", late))
	}
	if answer.Status == statusOK && !answer.Authentic {
		a.addBreach(breachOf(FinalAnswer, answer.At, request, -1, "served with what no box made for this request"))
	}
	for _, attempt := range request.attempts {
		if first := attempt.received.FirstByteAt; first > answer.At+a.Slack {
			a.addBreach(breachOf(FinalAnswer, first, request, attempt.received.Server, "sent again after its final answer"))
		}
	}
}

// judgeNoAnswer adds a breach for a request that got no answer, unless its sidecar was killed, the caller closed the connection
// before the request was due, or the connection was closed before the first attempt.
func (a *auditor) judgeNoAnswer(request *request, due time.Duration) {
	switch {
	case a.interrupted(request.sent.Sidecar, request.sent.At, due):
	case request.ended == nil:
		a.addBreach(breachOf(FinalAnswer, due, request, -1, "no answer in %v", request.sent.Duration))
	case request.ended.Kind == CallerTimedOut:
		if request.ended.At >= due {
			a.addBreach(breachOf(FinalAnswer, request.ended.At, request, -1, "no answer in %v", request.sent.Duration))
		}
	case len(request.attempts) > 0:
		a.addBreach(breachOf(FinalAnswer, request.ended.At, request, -1,
			"the connection was closed without an answer, after %d attempts", len(request.attempts)))
	}
}

// rejected reports whether a status promises that the request had no effect.
func rejected(status int) bool {
	return status == statusTooManyRequests || status == statusServiceUnavailable
}
