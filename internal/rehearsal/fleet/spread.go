package fleet

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// Spread describes how evenly attempts were distributed over the servers of the first tier while these were comparable: up, in discovery,
// warm, without a fault and with their initial weight. The servers must have the same speed.
type Spread struct {
	Servers  int           // number of servers that were comparable for at least half of the longest time of any server
	Mean     float64       // mean rate of attempts at a server, per second
	Max, P99 float64       // maximum and 99% quantile of the rates, over the mean
	Exposure time.Duration // mean time for which the servers were comparable
	// ChanceMax and ChanceP99 are the values of Max (its median) and P99 if each attempt went to a server chosen uniformly at random
	// (Poisson).
	ChanceMax, ChanceP99 float64
}

// interval is a time interval in which a server is comparable; to is not part of it.
type interval struct{ from, to time.Duration }

// comparableIntervals returns the intervals in which each server is comparable, by index of the server.
func comparableIntervals(plan *scenario.Plan) [][]interval {
	comparison := &comparison{
		plan: plan, intervals: make([][]interval, len(plan.Servers)), since: make([]time.Duration, len(plan.Servers)),
		listed: make([]bool, len(plan.Servers)),
	}
	for i, server := range plan.Servers {
		comparison.listed[i] = server.StartsAt == 0
		if !comparison.listed[i] {
			comparison.since[i] = never
		}
	}
	for i := range plan.Steps {
		if step := &plan.Steps[i]; step.Kind <= scenario.DiscoveryUpdate || step.Kind == scenario.DiscoveryWeight {
			comparison.apply(step)
		}
	}
	for i, from := range comparison.since {
		if from < plan.Length {
			comparison.intervals[i] = append(comparison.intervals[i], interval{from, plan.Length})
		}
	}
	return comparison.intervals
}

// never is later than the end of any scenario.
const never = time.Duration(math.MaxInt64)

// minWarmUp is the minimum time from the start of a server, or the end of its fault, until it is comparable.
const minWarmUp = 2 * time.Second

// comparison tracks which servers are comparable while it applies the steps of a plan.
type comparison struct {
	plan      *scenario.Plan
	intervals [][]interval    // completed intervals, by server
	since     []time.Duration // start of the current interval, by server; never while the server is not comparable
	listed    []bool          // whether discovery has the server as Ready
}

// apply ends the current interval of the step's server, and sets the start of the next one.
func (c *comparison) apply(step *scenario.Step) {
	server := step.Server
	if step.At > c.since[server] {
		c.intervals[server] = append(c.intervals[server], interval{c.since[server], step.At})
	}
	switch step.Kind {
	case scenario.DiscoveryWeight, scenario.ServerCrash, scenario.ServerSilence:
		c.since[server] = never
	case scenario.ServerPause:
		c.since[server] = c.warm(server, step.Until)
	case scenario.DiscoveryUpdate:
		c.applyUpdate(step)
	default:
		faulty := step.Kind == scenario.ServerSlowdown && step.Amount > 1 || step.Kind == scenario.ServerFault && step.Amount > 0
		if faulty {
			c.since[server] = never
		} else if c.listed[server] { // the step is a start or the end of a fault
			c.since[server] = c.warm(server, step.At)
		}
	}
}

// applyUpdate applies an update of a server's state in discovery.
func (c *comparison) applyUpdate(step *scenario.Step) {
	server := step.Server
	c.listed[server] = step.State == "Ready"
	if !c.listed[server] {
		c.since[server] = never
	} else if c.since[server] == never || c.since[server] < step.At {
		c.since[server] = c.warm(server, step.At)
	}
}

// warm returns the time from which a server is warm that starts, or whose fault ends, at the given time. The end of a fault counts like
// a start, because a server that was ejected warms up for the same time.
func (c *comparison) warm(server int, at time.Duration) time.Duration {
	return at + max(c.plan.Tiers[c.plan.Servers[server].Tier].WarmUp, minWarmUp)
}

// spreadOf returns the spread of a run over the servers of the first tier, or a zero Spread if there were no attempts.
func spreadOf(plan *scenario.Plan, events []audit.Event) Spread {
	times := comparableIntervals(plan)
	counts := countAttempts(times, events)
	exposed, longest := exposures(plan, times)
	var rates []float64
	attempts, seconds := 0.0, 0.0
	for i, count := range counts {
		if exposed[i] > 0 && exposed[i] >= longest/2 {
			rates = append(rates, count/exposed[i])
			attempts += count
			seconds += exposed[i]
		}
	}
	if attempts == 0 {
		return Spread{}
	}
	slices.Sort(rates)
	s := Spread{Servers: len(rates), Mean: attempts / seconds}
	s.Max = rates[len(rates)-1] / s.Mean
	s.P99 = stat.Quantile(0.99, stat.Empirical, rates, nil) / s.Mean
	each := seconds / float64(len(rates))
	s.Exposure = time.Duration(each * float64(time.Second))
	s.ChanceMax, s.ChanceP99 = chanceSpread(s.Mean*each, len(rates))
	return s
}

// countAttempts returns the number of attempts at each server while it was comparable.
func countAttempts(times [][]interval, events []audit.Event) []float64 {
	counts := make([]float64, len(times))
	for _, e := range events {
		if e.Kind != audit.AttemptReceived || e.Server < 0 {
			continue
		}
		for _, t := range times[e.Server] {
			if e.At >= t.from && e.At < t.to {
				counts[e.Server]++
			}
		}
	}
	return counts
}

// exposures returns the seconds for which each server of the first tier was comparable, and the maximum of these.
func exposures(plan *scenario.Plan, times [][]interval) (exposed []float64, longest float64) {
	exposed = make([]float64, len(times))
	for i, intervals := range times {
		if plan.Servers[i].Tier != 0 {
			continue
		}
		for _, t := range intervals {
			exposed[i] += (t.to - t.from).Seconds()
		}
		longest = max(longest, exposed[i])
	}
	return exposed, longest
}

// chanceSpread returns the median of the maximum, and the 99% quantile, of Poisson variables with the same mean, both over that mean.
// There is one variable per server.
func chanceSpread(mean float64, servers int) (greatest, p99 float64) {
	chance := distuv.Poisson{Lambda: mean}
	for n := 1.0; p99 == 0 || greatest == 0; n++ {
		below := chance.CDF(n)
		if p99 == 0 && below >= 0.99 {
			p99 = n / chance.Lambda
		}
		if greatest == 0 && math.Pow(below, float64(servers)) >= 0.5 {
			greatest = n / chance.Lambda
		}
	}
	return greatest, p99
}
