package outbound

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// What has surely not run is that to the module too, whether or not it was withdrawn, and only a lost link or nobody there blames
// the endpoint: its own sidecar vouches for it.
func TestEveryOutcomeIsReportedToTheBalancer(t *testing.T) {
	c := qt.New(t)
	for k := outcome.Answered; k <= outcome.EndpointReset; k++ {
		for _, quit := range []bool{false, true} {
			st := balancerStatus(&inbound.ForwardResponse{Kind: k, Status: 200}, quit)
			attempt := k < outcome.QuotaExceeded && k != outcome.Answered || k == outcome.ConnectionLost || k == outcome.InvalidResponse || k == outcome.TimedOut || k == outcome.EndpointReset
			if attempt {
				c.Check(st.NeverRan(), qt.Equals, k.NotExecuted(), qt.Commentf("%s, withdrawn %v", k, quit))
			}
			blames := st == balancer.StatusReset || st == balancer.StatusConnectFailed
			if attempt && !quit {
				c.Check(blames, qt.Equals, k.Entry().SuspectsEndpoint, qt.Commentf("%s", k))
			}
		}
	}
	c.Assert(balancerStatus(&inbound.ForwardResponse{Kind: outcome.Answered, Status: 500}, false), qt.Equals, balancer.StatusError)
}

func TestResponseOfAForwardCall(t *testing.T) {
	c := qt.New(t)
	whole := codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.Draining})
	for _, x := range []struct {
		body []byte
		err  error
		kind outcome.Kind
	}{
		{whole, nil, outcome.Draining},
		{nil, nil, outcome.AtCapacity},
		{[]byte{0xff}, nil, outcome.InvalidResponse},
		{codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.Answered, Status: 200}), nil, outcome.Answered},
		{codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.Answered}), nil, outcome.InvalidResponse}, // no server could write it
		{codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.Answered, Status: 1000}), nil, outcome.InvalidResponse},
		{nil, &transport.ConnectionError{Sent: true}, outcome.ConnectionLost},
		{nil, &transport.ConnectionError{}, outcome.Unreachable},
		{nil, errors.New("anything else"), outcome.ConnectionLost},
	} {
		c.Check(parseResponse(x.body, x.err).Kind, qt.Equals, x.kind)
	}
}

// The table has a line for every kind; only what has surely not run is promised so, and a promise says when to come back.
func TestOutcomeTableIsComplete(t *testing.T) {
	c := qt.New(t)
	for k := outcome.Answered; k <= outcome.EndpointReset; k++ {
		e := k.Entry()
		c.Check(e.Name, qt.Not(qt.Equals), "unknown", qt.Commentf("%d", k))
		promises := e.Status == 429 || e.Status == 503 || e.Status == 408 || e.Status == 421
		if promises {
			c.Check(e.NotExecuted, qt.IsTrue, qt.Commentf("%s", k))
		}
		if e.Status == 429 || e.Status == 503 {
			c.Check(e.RetryAfter > 0, qt.IsTrue, qt.Commentf("%s", k))
		}
	}
	c.Assert(outcome.Kind(999).NotExecuted(), qt.IsFalse)
}

// Hundreds of changes each give a route new times. Its requests stay what they are: those that may be repeated, and those that may not,
// by classes whose times are near.
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
