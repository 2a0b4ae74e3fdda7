package outbound

import (
	"math"
	"math/rand/v2"
	"sync"

	"quincegap/internal/mesh/control/configuration"
)

// goldenStep is the fractional part of the golden ratio: multiples of it, taken modulo one, are spread evenly over any number of steps.
const goldenStep = math.Phi - 1

// splitSequences draw the parts of routes that are split by weights. Draws by lot would leave a part's share of 300 requests 3 in 100
// off, in the mean; in a sequence each sidecar is off by one request or two. Each sidecar begins at random, so that their sequences
// do not agree.
type splitSequences struct {
	start func() float64 // draws where a sequence begins, from 0 up to but not including 1; nil for the global random source
	mu    sync.Mutex
	last  map[string]float64 // by route, from 0 up to but not including 1
}

// chooseService is the service that a request of a route goes to.
func (s *splitSequences) chooseService(r *configuration.Route) string {
	if len(r.Split) < 2 {
		return r.PickService(0)
	}
	return r.PickService(s.next(r.Name))
}

func (s *splitSequences) next(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]float64{}
	}
	x, begun := s.last[route]
	if !begun {
		x = s.first()
	}
	_, x = math.Modf(x + goldenStep)
	s.last[route] = x
	return x
}

// first is where a new sequence begins.
func (s *splitSequences) first() float64 {
	if s.start != nil {
		return s.start()
	}
	return rand.Float64()
}

// retain forgets the routes that a configuration does not have.
func (s *splitSequences) retain(c *configuration.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[string]float64{}
	for _, r := range c.Routes {
		if x, ok := s.last[r.Name]; ok {
			kept[r.Name] = x
		}
	}
	s.last = kept
}
