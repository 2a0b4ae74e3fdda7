package fleet

import (
	"embed"
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/dryrun"
	"quincegap/internal/rehearsal/morning"
)

//go:embed days/*.morning
var scripts embed.FS

// Days are the hard days of large fleets, by name.
func Days() (names []string) {
	files, _ := scripts.ReadDir("days")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".morning"))
	}
	return names
}

// Day is the script of a day.
func Day(name string) (*morning.Scenario, error) {
	file := path.Join("days", name+".morning")
	text, err := scripts.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%s", finding.UnknownName("day", name, Days()))
	}
	var found finding.List
	m := morning.Read(file, text, &found)
	if m == nil {
		return nil, found.Err()
	}
	return m, nil
}

// Outcome is what came of a day.
type Outcome struct {
	Plan            *morning.Plan
	Verdict         *audit.Verdict
	UnansweredShare float64 // attempts that no answer came of, over all
	Spread          Spread
	Decisions       int // calls of the modules
}

// Play plays a day in virtual time, with a seed; 0 takes the script's. The same day and seed give the same outcome.
func Play(m *morning.Scenario, seed uint64) (*Outcome, error) {
	plan := m.Plan(seed)
	r, err := dryrun.Run(plan)
	if err != nil {
		return nil, err
	}
	o := &Outcome{Plan: plan, Verdict: r.Verdict, Decisions: r.Decisions, Spread: spreadOf(plan, r.Events)}
	good := 0
	for _, e := range r.Events {
		if e.Kind == audit.AnswerReceived && e.Authentic {
			good++
		}
	}
	if n := r.Verdict.ServerAttempts; n > 0 {
		o.UnansweredShare = max(0, 1-float64(good)/float64(n))
	}
	return o, nil
}

// Spread is how evenly attempts fell on the boxes while they were alike: up, listed, warm and unharmed, of the weight
// that they had at first. The boxes have to be of one speed.
type Spread struct {
	Servers  int           // that were so for at least half as long as the one that was so longest
	Mean     float64       // attempts a second at a box
	Max, P99 float64       // over the mean
	Exposure time.Duration // how long they were so on average
	// ChanceMax and ChanceP99 are what Max and P99 come to when each attempt goes to any of the boxes, evenly (Poisson):
	// the median of the greatest, and the quantile.
	ChanceMax, ChanceP99 float64
}

// interval is a time in which a box is like any other.
type interval struct{ from, to time.Duration }

// comparableIntervals finds when each box is like the others.
func comparableIntervals(p *morning.Plan) [][]interval {
	all := make([][]interval, len(p.Servers))
	// A box that has been harmed, or starts, is alike again once it is as warm as it gets: isolated ones ramp as long.
	since := make([]time.Duration, len(p.Servers)) // from when on it is alike; never while it is not
	const never = time.Duration(1<<63 - 1)
	warm := func(box int, at time.Duration) time.Duration {
		return at + max(p.Tiers[p.Servers[box].Tier].WarmUp, 2*time.Second)
	}
	listed := make([]bool, len(p.Servers))
	for i, b := range p.Servers {
		if listed[i] = b.StartsAt == 0; !listed[i] {
			since[i] = never
		}
	}
	for _, s := range p.Steps {
		if s.Kind > morning.DiscoveryUpdate && s.Kind != morning.DiscoveryWeight {
			continue
		}
		i := s.Server
		if s.At > since[i] {
			all[i] = append(all[i], interval{since[i], s.At})
		}
		switch {
		case s.Kind == morning.DiscoveryWeight, s.Kind == morning.ServerCrash, s.Kind == morning.ServerSilence:
			since[i] = never
		case s.Kind == morning.ServerPause:
			since[i] = warm(i, s.Until)
		case s.Kind == morning.DiscoveryUpdate:
			if listed[i] = s.State == "Ready"; !listed[i] {
				since[i] = never
			} else if since[i] == never || since[i] < s.At {
				since[i] = warm(i, s.At)
			}
		case s.Kind == morning.ServerSlowdown && s.Amount > 1, s.Kind == morning.ServerFault && s.Amount > 0:
			since[i] = never
		case listed[i]: // a start, or the end of a harm
			since[i] = warm(i, s.At)
		}
	}
	for i, from := range since {
		if from < p.Length {
			all[i] = append(all[i], interval{from, p.Length})
		}
	}
	return all
}

// spreadOf measures the spread over the boxes of the first tier.
func spreadOf(p *morning.Plan, events []audit.Event) (s Spread) {
	times := comparableIntervals(p)
	counts := make([]float64, len(p.Servers))
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
	exposed := make([]float64, len(p.Servers))
	longest := 0.0
	for i, ts := range times {
		if p.Servers[i].Tier != 0 {
			continue
		}
		for _, t := range ts {
			exposed[i] += (t.to - t.from).Seconds()
		}
		longest = max(longest, exposed[i])
	}
	var rates []float64
	attempts, seconds := 0.0, 0.0
	for i, n := range counts {
		if exposed[i] > 0 && exposed[i] >= longest/2 {
			rates = append(rates, n/exposed[i])
			attempts, seconds = attempts+n, seconds+exposed[i]
		}
	}
	if attempts == 0 {
		return s
	}
	slices.Sort(rates)
	s.Servers, s.Mean = len(rates), attempts/seconds
	s.Max = rates[len(rates)-1] / s.Mean
	s.P99 = stat.Quantile(0.99, stat.Empirical, rates, nil) / s.Mean
	each := seconds / float64(len(rates))
	s.Exposure = time.Duration(each * float64(time.Second))
	chance := distuv.Poisson{Lambda: s.Mean * each}
	for n := 1.0; s.ChanceP99 == 0 || s.ChanceMax == 0; n++ {
		below := chance.CDF(n)
		if s.ChanceP99 == 0 && below >= 0.99 {
			s.ChanceP99 = n / chance.Lambda
		}
		if s.ChanceMax == 0 && math.Pow(below, float64(len(rates))) >= 0.5 {
			s.ChanceMax = n / chance.Lambda
		}
	}
	return s
}
