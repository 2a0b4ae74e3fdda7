package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// Hundreds of changes each give a route new times. Its requests stay what they are, idempotent or not, by classes whose times are
// near.
func TestRoutesKeepTheirKindThroughHundredsOfChanges(t *testing.T) {
	c := qt.New(t)
	b, err := newServiceBalancer(New(Options{}).dispatcher, "s", 1)
	c.Assert(err, qt.IsNil)
	route := func(kind configuration.RouteKind, change int) *configuration.Route {
		return &configuration.Route{Kind: kind, Target: 300 * time.Millisecond, Timeout: 2*time.Second + time.Duration(change)*time.Millisecond}
	}
	used := map[int]classKey{}
	for change := range 3 * maxClasses {
		for _, kind := range []configuration.RouteKind{configuration.Idempotent, configuration.NonIdempotent} {
			r := route(kind, change)
			n := b.classes.number(r)
			first, ok := used[n]
			if !ok {
				first = classKey{r.Kind, r.Target, r.Timeout}
				used[n] = first
			}
			c.Assert(n, qt.Not(qt.Equals), 0)
			c.Assert(first.kind, qt.Equals, kind, qt.Commentf("change %d", change))
		}
	}
	c.Assert(len(used), qt.Equals, maxClasses)
	c.Assert(b.classes.number(route(configuration.Idempotent, 7)), qt.Equals, b.classes.number(route(configuration.Idempotent, 7)))
}
