package scenario

import (
	"math"
	"math/rand/v2"
	"time"

	"quincegap/internal/rehearsal/emulator"
)

// The periods of the bursty and the wave shape: the rate is constant within a burst, and repeats after a wave.
const (
	burstLength = 1500 * time.Millisecond
	wavePeriod  = 20 * time.Second
)

// drawArrivals draws the arrivals of the callers, as a Poisson process whose rate varies, by thinning. It adds a finding if there are
// more than MaxRequests.
func (p *planner) drawArrivals(events []*event) {
	random := rand.New(emulator.RandomSource(p.Seed, "arrivals"))
	rate := p.newRate(random, events)
	if rate.highest > maxRateFactor {
		return // planEvent adds a finding for a load that is too high
	}
	var shares float64
	for _, class := range p.Classes {
		shares += class.Share
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (p.Callers.Rate * rate.highest) * 1e9)
		if at >= p.Length {
			return
		}
		// Four numbers are drawn for every candidate, accepted or not, so that a change of the rate doesn't change the draws of the others.
		accept, pick, patience, honour := random.Float64(), random.Float64()*shares, random.Float64(), random.Float64()
		if accept*rate.highest >= rate.factor(at) {
			continue
		}
		if len(p.Arrivals) == MaxRequests {
			p.add(p.position("callers", "rate"), "more than %d requests", MaxRequests)
			return
		}
		p.Arrivals = append(p.Arrivals, Arrival{
			At: at, Class: p.pickClass(pick), Patience: p.Callers.Patience.interpolate(patience),
			HonoursRetryAfter: honour < p.Callers.HonoursRetryAfter,
		})
	}
}

// pickClass returns the index of the class that a number from 0 to the sum of all shares falls into.
func (p *planner) pickClass(pick float64) int {
	class := 0
	for class < len(p.Classes)-1 && pick >= p.Classes[class].Share {
		pick -= p.Classes[class].Share
		class++
	}
	return class
}

// maxRateFactor is the maximum factor by which all events together may multiply the rate.
const maxRateFactor = 1e6

// arrivalRate is the rate of callers over time, as a multiple of the rate in the script.
type arrivalRate struct {
	callers *Callers
	bursts  []float64 // factors of the bursty shape, by burst
	loads   []*event  // events that multiply the rate
	highest float64   // upper bound of factor at any time
}

// newRate returns the rate of the script with its load events. It draws the bursts for every shape, so that the draws after them don't
// depend on the shape.
func (p *planner) newRate(random *rand.Rand, events []*event) *arrivalRate {
	r := &arrivalRate{callers: &p.Callers, highest: 1 + p.Callers.Swing}
	for at := time.Duration(0); at < p.Length; at += burstLength {
		r.bursts = append(r.bursts, 1+p.Callers.Swing*(2*random.Float64()-1))
	}
	for _, event := range events {
		if event.Load != nil {
			r.loads = append(r.loads, event)
			r.highest *= max(1, event.Load.Times)
		}
	}
	return r
}

// factor returns the multiple of the script's rate at the given time.
func (r *arrivalRate) factor(at time.Duration) float64 {
	factor := 1.0
	switch r.callers.Shape {
	case "bursty":
		factor = r.bursts[at/burstLength]
	case "wave":
		factor = 1 + r.callers.Swing*math.Sin(2*math.Pi*float64(at)/float64(wavePeriod))
	}
	for _, event := range r.loads {
		if at >= time.Duration(event.At) && at < time.Duration(event.At+event.Load.For) {
			factor *= event.Load.Times
		}
	}
	return factor
}
