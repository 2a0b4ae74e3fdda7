package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxTraces is the maximum number of requests that are traced.
const maxTraces = 20

// The base ranks of requests, higher for worse: a request with a breach ranks above all failed ones, and those above all slow ones.
const (
	breachRank = 1e9
	failedRank = 1e6
)

// badRequest is an arrival that may be traced.
type badRequest struct {
	origin int
	rank   float64 // rank of the request; higher is worse
	reason string
}

// pickTraces adds the traces of the worst requests to the verdict: first those with a breach, by time, then those that failed, by
// number of attempts, then the slowest.
func (a *auditor) pickTraces() {
	var all []badRequest
	breached := map[int]bool{}
	for _, b := range a.verdict.Breaches {
		if b.Origin >= 0 && !breached[b.Origin] {
			breached[b.Origin] = true
			all = append(all, badRequest{b.Origin, breachRank - float64(len(all)), b.Message})
		}
	}
	for origin := range a.Arrivals {
		if !breached[origin] {
			all = append(all, a.rankUnbreached(origin))
		}
	}
	slices.SortStableFunc(all, func(a, b badRequest) int { return cmp.Compare(b.rank, a.rank) })
	for _, bad := range all[:min(maxTraces, len(all))] {
		a.verdict.Traces = append(a.verdict.Traces, Trace{
			Origin: bad.origin, At: a.Arrivals[bad.origin].At, Reason: bad.reason, Lines: a.traceOf(bad.origin),
		})
	}
}

// rankUnbreached ranks an arrival without a breach, by its number of attempts if it failed and by its latency if it succeeded.
func (a *auditor) rankUnbreached(origin int) badRequest {
	at, status := a.bestAnswer(origin)
	if status == statusOK {
		latency := (at - a.Arrivals[origin].At).Seconds()
		return badRequest{origin, latency, fmt.Sprintf("answered after %.3f s", latency)}
	}
	attempts := 0
	for _, r := range a.origins[origin] {
		attempts += len(r.attempts)
	}
	reason := "no answer"
	if status > 0 {
		reason = fmt.Sprintf("ended with %d", status)
	}
	return badRequest{origin, failedRank + float64(attempts), reason}
}

// traceOf returns the trace of one arrival, in order of time. It includes the calls that servers made for it.
func (a *auditor) traceOf(origin int) []TraceLine {
	var lines []TraceLine
	for _, r := range a.origins[origin] {
		lines = append(lines, a.requestLines(r)...)
	}
	slices.SortStableFunc(lines, func(a, b TraceLine) int { return cmp.Compare(a.At, b.At) })
	return lines
}

// requestLines returns the trace lines of one request, grouped by attempt.
func (a *auditor) requestLines(request *request) (lines []TraceLine) {
	add := func(at time.Duration, format string, args ...any) {
		lines = append(lines, TraceLine{At: at, Text: fmt.Sprintf(format, args...)})
	}
	add(request.sent.At, "%s asked of %s, %.3f s left", request.name, a.sidecarName(request.sent.Sidecar), request.sent.Duration.Seconds())
	for i, attempt := range request.attempts {
		server := a.serverName(attempt.received.Server)
		add(attempt.received.At, "%s: attempt %d comes to %s", request.name, i+1, server)
		if attempt.ended != nil {
			add(attempt.ended.At, "%s: attempt %d at %s %s", request.name, i+1, server, attempt.ended.Result)
		} else {
			add(math.MaxInt64, "%s: attempt %d at %s never ended", request.name, i+1, server)
		}
	}
	for _, answer := range request.answers {
		retry := ""
		if answer.Duration > 0 {
			retry = fmt.Sprintf(", to come back after %.3f s", answer.Duration.Seconds())
		}
		add(answer.At, "%s: answered %d%s", request.name, answer.Status, retry)
	}
	if request.ended == nil || len(request.answers) > 0 {
		return lines
	}
	how := "the sidecar closed the connection"
	if request.ended.Kind == CallerTimedOut {
		how = "the caller gave up"
	}
	add(request.ended.At, "%s: %s", request.name, how)
	return lines
}
