package scenario

import (
	"math"
	"math/rand/v2"
	"time"

	"quincegap/internal/rehearsal/emulator"
)

// The lengths of one burst, and of one wave.
const (
	burstLength = 1500 * time.Millisecond
	wavePeriod  = 20 * time.Second
)

// drawArrivals draws when callers come: a Poisson process by thinning.
func (p *planner) drawArrivals(events []*event) {
	random := rand.New(emulator.RandomSource(p.Seed, "arrivals"))
	rate := p.newRate(random, events)
	if rate.highest > maxRateFactor {
		return // reported with the event
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
		// Four numbers are drawn for each candidate, so that the draws of others stay the same where a rate changes.
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

// pickClass returns the class for a number from 0 to the sum of all shares.
func (p *planner) pickClass(pick float64) int {
	class := 0
	for class < len(p.Classes)-1 && pick >= p.Classes[class].Share {
		pick -= p.Classes[class].Share
		class++
	}
	return class
}

// maxRateFactor bounds how much all events together may multiply the rate.
const maxRateFactor = 1e6

// arrivalRate is the rate of callers as a multiple of the script's.
type arrivalRate struct {
	callers *Callers
	bursts  []float64 // of a bursty shape, by burst
	loads   []*event
	highest float64 // bound of factor
}

// newRate returns the rate of a script. It draws the bursts whatever the shape is, so that the draws after them stay the same.
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

// factor returns the multiple at a time.
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
