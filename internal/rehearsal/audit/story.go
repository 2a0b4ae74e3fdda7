package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// pickTraces picks the requests that went worst, and tells what happened to each: first those with a breach, then those
// that failed, by how often they were tried, then the slowest.
func (j *auditor) pickTraces() {
	type bad struct {
		origin int
		rank   float64
		why    string
	}
	var all []bad
	why := map[int]string{}
	for _, b := range j.verdict.Breaches {
		if b.Origin >= 0 && why[b.Origin] == "" {
			why[b.Origin] = b.Message
			all = append(all, bad{b.Origin, 1e9 - float64(len(all)), b.Message})
		}
	}
	for origin, ask := range j.Arrivals {
		if why[origin] != "" {
			continue
		}
		at, status := j.bestAnswer(origin)
		n := 0
		for _, q := range j.origins[origin] {
			n += len(q.attempts)
		}
		if status == 200 {
			took := at - ask.At
			all = append(all, bad{origin, took.Seconds(), fmt.Sprintf("answered after %.3f s", took.Seconds())})
			continue
		}
		text := "no answer"
		if status > 0 {
			text = fmt.Sprintf("ended with %d", status)
		}
		all = append(all, bad{origin, 1e6 + float64(n), text})
	}
	slices.SortStableFunc(all, func(a, b bad) int { return cmp.Compare(b.rank, a.rank) })
	for _, b := range all[:min(maxTraces, len(all))] {
		j.verdict.Traces = append(j.verdict.Traces, Trace{b.origin, j.Arrivals[b.origin].At, b.why, j.traceOf(b.origin)})
	}
}

// traceOf is the story of one arrival, calls of its boxes included.
func (j *auditor) traceOf(origin int) (lines []TraceLine) {
	say := func(at time.Duration, format string, args ...any) {
		lines = append(lines, TraceLine{at, fmt.Sprintf(format, args...)})
	}
	for _, q := range j.origins[origin] {
		what := q.name
		say(q.asked.At, "%s asked of %s, %.3f s left", what, j.sidecarName(q.asked.Sidecar), q.asked.Duration.Seconds())
		for i, a := range q.attempts {
			say(a.received.At, "%s: attempt %d comes to %s", what, i+1, j.serverName(a.received.Server))
			if a.ended != nil {
				say(a.ended.At, "%s: attempt %d at %s %s", what, i+1, j.serverName(a.received.Server), a.ended.Result)
			} else {
				say(math.MaxInt64, "%s: attempt %d at %s never ended", what, i+1, j.serverName(a.received.Server))
			}
		}
		for _, a := range q.answers {
			text := fmt.Sprintf("%s: answered %d", what, a.Status)
			if a.Duration > 0 {
				text += fmt.Sprintf(", to come back after %.3f s", a.Duration.Seconds())
			}
			say(a.At, "%s", text)
		}
		if q.ended != nil && len(q.answers) == 0 {
			say(q.ended.At, "%s: %s", what, map[Kind]string{ConnectionClosed: "the sidecar closed the connection", CallerTimedOut: "the caller gave up"}[q.ended.Kind])
		}
	}
	slices.SortStableFunc(lines, func(a, b TraceLine) int { return cmp.Compare(a.At, b.At) })
	return lines
}
