package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// Hundreds of configuration changes each give a route new times, so that the classes run out and routes share those with the nearest times.
// Idempotent and non-idempotent requests never share a class.
func TestRoutesKeepTheirKindThroughHundredsOfChanges(t *testing.T) {
	c := qt.New(t)
	balancer, err := newServiceBalancer(New(Options{}).dispatcher, "s", 1)
	c.Assert(err, qt.IsNil)
	route := func(kind configuration.RouteKind, change int) *configuration.Route {
		return &configuration.Route{Kind: kind, Target: 300 * time.Millisecond, Timeout: 2*time.Second + time.Duration(change)*time.Millisecond}
	}
	firstKeys := map[int]classKey{} // key of the first route in each class
	for change := range 3 * maxClasses {
		for _, kind := range []configuration.RouteKind{configuration.Idempotent, configuration.NonIdempotent} {
			r := route(kind, change)
			class := balancer.classes.number(r)
			first, ok := firstKeys[class]
			if !ok {
				first = classKey{r.Kind, r.Target, r.Timeout}
				firstKeys[class] = first
			}
			c.Assert(class, qt.Not(qt.Equals), 0)
			c.Assert(first.kind, qt.Equals, kind, qt.Commentf("kind of the route's class after change %d", change))
		}
	}
	c.Assert(len(firstKeys), qt.Equals, maxClasses)
	c.Assert(balancer.classes.number(route(configuration.Idempotent, 7)), qt.Equals,
		balancer.classes.number(route(configuration.Idempotent, 7)))
}
