package outbound

import (
	"math"
	"math/rand/v2"
	"sync"

	"quincegap/internal/mesh/control/configuration"
)

// goldenStep is the fractional part of the golden ratio. Its multiples modulo 1 are spread evenly over the interval from 0 to 1, whatever
// their number.
const goldenStep = math.Phi - 1

// splitSequences choose the services of routes that are split by weights, with one low-discrepancy sequence for each route. With
// independent random draws, a service's share of 300 requests would be off by 3 in 100 on average; with a sequence it is off by one or two
// requests at each sidecar. Sequences begin at random points, so that those of different sidecars differ.
type splitSequences struct {
	drawStart func() float64 // draws the start of a sequence from [0, 1); nil for the global random source
	mu        sync.Mutex
	last      map[string]float64 // last number of each route's sequence, in [0, 1)
}

// chooseService returns the service that a request of a route is sent to.
func (s *splitSequences) chooseService(route *configuration.Route) string {
	if len(route.Split) < 2 {
		return route.PickService(0)
	}
	return route.PickService(s.next(route.Name))
}

// next returns the next number of a route's sequence, in [0, 1).
func (s *splitSequences) next(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]float64{}
	}
	x, begun := s.last[route]
	if !begun {
		x = s.randomStart()
	}
	_, x = math.Modf(x + goldenStep)
	s.last[route] = x
	return x
}

// randomStart draws the start of a new sequence.
func (s *splitSequences) randomStart() float64 {
	if s.drawStart != nil {
		return s.drawStart()
	}
	return rand.Float64()
}

// retain discards the sequences of routes that a configuration does not have.
func (s *splitSequences) retain(config *configuration.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retained := map[string]float64{}
	for _, route := range config.Routes {
		if x, ok := s.last[route.Name]; ok {
			retained[route.Name] = x
		}
	}
	s.last = retained
}
