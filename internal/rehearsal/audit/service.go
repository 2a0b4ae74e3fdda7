package audit

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// worstWindow is the length of the windows that WorstService compares, in seconds.
const worstWindow = 10

// judgeService counts the outcomes of all arrivals and sums the value of the answers, by second and for the whole run.
func (a *auditor) judgeService() {
	verdict := a.verdict
	wanted, gained := make([]float64, len(verdict.Seconds)), make([]float64, len(verdict.Seconds))
	var latencies []float64 // seconds
	for origin, arrival := range a.Arrivals {
		class := a.Classes[arrival.Class]
		index := min(int(arrival.At/time.Second), len(verdict.Seconds)-1)
		second := &verdict.Seconds[index]
		verdict.Requests++
		second.Offered++
		wanted[index] += class.Value
		at, status := a.bestAnswer(origin)
		if status == statusOK {
			latencies = append(latencies, (at - arrival.At).Seconds())
		}
		switch {
		case status == statusOK && at <= arrival.At+class.LatencyTarget:
			verdict.InTime++
			second.Served++
			gained[index] += class.Value
		case status == statusOK:
			verdict.Late++
			second.Late++
		case rejected(status):
			verdict.Rejected++
			second.Rejected++
		default:
			verdict.Failed++
			second.Failed++
		}
	}
	verdict.Service = serviceShare(wanted, gained)
	verdict.WorstService, verdict.WorstFrom = worstService(wanted, gained)
	slices.Sort(latencies)
	if len(latencies) > 0 {
		verdict.P50 = quantile(0.5, latencies)
		verdict.P99 = quantile(0.99, latencies)
	}
}

// quantile returns the quantile p, from 0 to 1, of latencies in ascending order.
func quantile(p float64, sortedSeconds []float64) time.Duration {
	return time.Duration(stat.Quantile(p, stat.Empirical, sortedSeconds, nil) * 1e9)
}

// serviceShare returns the ratio of the sum of gained to the sum of wanted, or 1 if nothing was wanted. Both are values by second.
func serviceShare(wanted, gained []float64) float64 {
	var wantedSum, gainedSum float64
	for second := range wanted {
		wantedSum += wanted[second]
		gainedSum += gained[second]
	}
	if wantedSum == 0 {
		return 1
	}
	return gainedSum / wantedSum
}

// worstService returns the lowest service share of all windows of worstWindow seconds, and the start of the first window that has it.
func worstService(wanted, gained []float64) (worst float64, from time.Duration) {
	worst = 1
	length := min(worstWindow, len(wanted))
	for first := 0; first+length <= len(wanted); first++ {
		if share := serviceShare(wanted[first:first+length], gained[first:first+length]); share < worst {
			worst = share
			from = time.Duration(first) * time.Second
		}
	}
	return worst, from
}

// bestAnswer returns the time and status of the best answer to an arrival: the earliest with status 200, else the last one. The status
// is 0 if there was no answer.
func (a *auditor) bestAnswer(origin int) (at time.Duration, status int) {
	at = math.MaxInt64
	for _, r := range a.origins[origin] {
		if r.sent.CallerAttempt == 0 || len(r.answers) == 0 {
			continue
		}
		switch answer := &r.answers[0]; {
		case answer.Status == statusOK && (status != statusOK || answer.At < at):
			at, status = answer.At, statusOK
		case status != statusOK:
			at, status = answer.At, answer.Status
		}
	}
	return at, status
}

// judgeWork sums the work of the servers, and the part of it that was wasted because no successful answer came of it.
func (a *auditor) judgeWork() {
	requests := 0
	var all, wasted time.Duration
	for _, r := range a.order {
		if !r.unknown {
			requests++
		}
		answered := len(r.answers) > 0 && r.answers[0].Status == statusOK
		for _, attempt := range r.attempts {
			if attempt.ended == nil {
				continue
			}
			all += attempt.ended.Work
			if attempt.ended.Result != Served || !answered {
				wasted += attempt.ended.Work
			}
		}
	}
	if requests > 0 {
		a.verdict.AttemptsPerCall = float64(a.verdict.ServerAttempts) / float64(requests)
	}
	if all > 0 {
		a.verdict.WastedShare = float64(wasted) / float64(all)
	}
}
