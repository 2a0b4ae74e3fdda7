package outbound

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// Twelve sidecars choose in turn the services of 300 requests of a route, each sidecar with a separate sequence. Every service must get its
// share to within 3 in 100, and of each 100 requests of a single sidecar to within three requests. The twelve sequences start at seeded
// points, as about one in 3,400 sets of twelve random points exceeds the bound by a request. The bound for a single sidecar holds wherever
// its sequence starts, so that sequence starts at a random point, as in production.
func TestServicesOfASplitRouteGetTheirShares(t *testing.T) {
	c := qt.New(t)
	route := &configuration.Route{Name: "r", Split: []configuration.WeightedService{
		{Service: "a", Weight: 70},
		{Service: "b", Weight: 20},
		{Service: "c", Weight: 10},
		{Service: "none", Weight: 0},
	}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		sidecars := make([]splitSequences, 12)
		for i := range sidecars {
			sidecars[i].drawStart = random.Float64
		}
		count := map[string]float64{}
		for i := range 300 {
			count[sidecars[i%len(sidecars)].chooseService(route)]++
		}
		for _, s := range route.Split {
			off := math.Abs(count[s.Service]/300 - s.Weight/100)
			c.Assert(off < 0.03, qt.IsTrue, qt.Commentf("service %s got %v of 300 requests, want %v%%", s.Service, count[s.Service], s.Weight))
		}
	}
	var one splitSequences
	for range 20 {
		count := map[string]float64{}
		for range 100 {
			count[one.chooseService(route)]++
		}
		for _, s := range route.Split {
			c.Assert(math.Abs(count[s.Service]-s.Weight) <= 3, qt.IsTrue,
				qt.Commentf("service %s got %v of 100 requests, want %v", s.Service, count[s.Service], s.Weight))
		}
	}
	one.retain(&configuration.Config{})
	c.Assert(one.last, qt.HasLen, 0)
	c.Assert(one.chooseService(&configuration.Route{Name: "s", Split: route.Split[:1]}), qt.Equals, "a")
}
