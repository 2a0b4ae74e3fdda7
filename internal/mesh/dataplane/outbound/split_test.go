package outbound

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// A dozen sidecars choose the services of 300 requests of a route, in turn and each by a sequence of its own: every service gets its
// share within three in a hundred, and of each hundred requests of one sidecar within three requests. The dozen's sequences begin at
// seeded points: of sets of a dozen random points, one in some 3,400 misses the bound by a request. One sidecar's bound holds wherever its
// sequence begins, so that one begins at random, as in production.
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
			c.Assert(off < 0.03, qt.IsTrue, qt.Commentf("%s: %v of 300", s.Service, count[s.Service]))
		}
	}
	var one splitSequences
	for range 20 {
		count := map[string]float64{}
		for range 100 {
			count[one.chooseService(route)]++
		}
		for _, s := range route.Split {
			c.Assert(math.Abs(count[s.Service]-s.Weight) <= 3, qt.IsTrue, qt.Commentf("%s: %v of 100", s.Service, count[s.Service]))
		}
	}
	one.retain(&configuration.Config{})
	c.Assert(one.last, qt.HasLen, 0)
	c.Assert(one.chooseService(&configuration.Route{Name: "s", Split: route.Split[:1]}), qt.Equals, "a")
}
