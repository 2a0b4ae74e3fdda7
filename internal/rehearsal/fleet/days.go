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
func Day(name string) (*morning.Morning, error) {
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
	Plan      *morning.Plan
	Verdict   *audit.Verdict
	Vain      float64 // attempts that no answer came of, over all
	Spread    Spread
	Decisions int // calls of the modules
}

// Play plays a day in virtual time, with a seed; 0 takes the script's. The same day and seed give the same outcome.
func Play(m *morning.Morning, seed uint64) (*Outcome, error) {
	plan := m.Plan(seed)
	r, err := dryrun.Run(plan)
	if err != nil {
		return nil, err
	}
	o := &Outcome{Plan: plan, Verdict: r.Verdict, Decisions: r.Decisions, Spread: spreadOf(plan, r.Events)}
	good := 0
	for _, e := range r.Events {
		if e.Kind == audit.Answered && e.Good {
			good++
		}
	}
	if n := r.Verdict.Attempts; n > 0 {
		o.Vain = max(0, 1-float64(good)/float64(n))
	}
	return o, nil
}

// Spread is how evenly attempts fell on the boxes while they were alike: up, listed, warm and unharmed, of the weight
// that they had at first. The boxes have to be of one speed.
type Spread struct {
	Boxes    int           // that were so for at least half as long as the one that was so longest
	Mean     float64       // attempts a second at a box
	Max, P99 float64       // over the mean
	Exposure time.Duration // how long they were so on average
	// ChanceMax and ChanceP99 are what Max and P99 come to when each attempt goes to any of the boxes, evenly (Poisson):
	// the median of the greatest, and the quantile.
	ChanceMax, ChanceP99 float64
}

// stretch is a time in which a box is like any other.
type stretch struct{ from, to time.Duration }

// alike finds when each box is like the others.
func alike(p *morning.Plan) [][]stretch {
	all := make([][]stretch, len(p.Boxes))
	// A box that has been harmed, or starts, is alike again once it is as warm as it gets: isolated ones ramp as long.
	since := make([]time.Duration, len(p.Boxes)) // from when on it is alike; never while it is not
	const never = time.Duration(1<<63 - 1)
	warm := func(box int, at time.Duration) time.Duration {
		return at + max(p.Tiers[p.Boxes[box].Tier].Warm, 2*time.Second)
	}
	listed := make([]bool, len(p.Boxes))
	for i, b := range p.Boxes {
		if listed[i] = b.From == 0; !listed[i] {
			since[i] = never
		}
	}
	for _, s := range p.Steps {
		if s.Do > morning.Tell && s.Do != morning.Weigh {
			continue
		}
		i := s.Box
		if s.At > since[i] {
			all[i] = append(all[i], stretch{since[i], s.At})
		}
		switch {
		case s.Do == morning.Weigh, s.Do == morning.Crash, s.Do == morning.Silence:
			since[i] = never
		case s.Do == morning.Pause:
			since[i] = warm(i, s.Until)
		case s.Do == morning.Tell:
			if listed[i] = s.State == "Ready"; !listed[i] {
				since[i] = never
			} else if since[i] == never || since[i] < s.At {
				since[i] = warm(i, s.At)
			}
		case s.Do == morning.Slow && s.By > 1, s.Do == morning.Fault && s.By > 0:
			since[i] = never
		case listed[i]: // a start, or the end of a harm
			since[i] = warm(i, s.At)
		}
	}
	for i, from := range since {
		if from < p.Length {
			all[i] = append(all[i], stretch{from, p.Length})
		}
	}
	return all
}

// spreadOf measures the spread over the boxes of the first tier.
func spreadOf(p *morning.Plan, events []audit.Event) (s Spread) {
	times := alike(p)
	counts := make([]float64, len(p.Boxes))
	for _, e := range events {
		if e.Kind != audit.Sent || e.Box < 0 {
			continue
		}
		for _, t := range times[e.Box] {
			if e.At >= t.from && e.At < t.to {
				counts[e.Box]++
			}
		}
	}
	exposed := make([]float64, len(p.Boxes))
	longest := 0.0
	for i, ts := range times {
		if p.Boxes[i].Tier != 0 {
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
	s.Boxes, s.Mean = len(rates), attempts/seconds
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
