package outbound

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/balancer"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// A request that was certainly not executed is reported to the balancer as one that never ran, whether or not the attempt was cancelled.
// Only a lost link or a refused connection makes the balancer suspect the endpoint, as the endpoint's own sidecar monitors its health.
func TestEveryOutcomeIsReportedToTheBalancer(t *testing.T) {
	for kind := outcome.Answered; kind <= outcome.EndpointReset; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			endsAttempt := kind < outcome.QuotaExceeded && kind != outcome.Answered
			switch kind {
			case outcome.ConnectionLost, outcome.InvalidResponse, outcome.TimedOut, outcome.EndpointReset:
				endsAttempt = true
			}
			if !endsAttempt {
				return
			}
			c := qt.New(t)
			for _, cancelled := range []bool{false, true} {
				status := balancerStatus(&inbound.ForwardResponse{Kind: kind, Status: 200}, cancelled)
				c.Check(status.NeverRan(), qt.Equals, kind.NotExecuted(),
					qt.Commentf("NeverRan of status %d, attempt cancelled: %v", status, cancelled))
				suspects := status == balancer.StatusReset || status == balancer.StatusConnectFailed
				if !cancelled {
					c.Check(suspects, qt.Equals, kind.Entry().SuspectsEndpoint)
				}
			}
		})
	}
	failure := &inbound.ForwardResponse{Kind: outcome.Answered, Status: 500}
	qt.Assert(t, balancerStatus(failure, false), qt.Equals, balancer.StatusError)
}

func TestResponseOfAForwardCall(t *testing.T) {
	encoded := func(kind outcome.Kind, status int) []byte {
		return codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: kind, Status: status})
	}
	for _, test := range []struct {
		name string
		body []byte
		err  error
		kind outcome.Kind
	}{
		{"not executed", encoded(outcome.Draining, 0), nil, outcome.Draining},
		{"answered", encoded(outcome.Answered, 200), nil, outcome.Answered},
		{"empty reply", nil, nil, outcome.AtCapacity},
		{"invalid encoding", []byte{0xff}, nil, outcome.InvalidResponse},
		{"no status", encoded(outcome.Answered, 0), nil, outcome.InvalidResponse}, // the HTTP server can't write status 0
		{"status above 999", encoded(outcome.Answered, 1000), nil, outcome.InvalidResponse},
		{"lost after it was sent", nil, &transport.ConnectionError{Sent: true}, outcome.ConnectionLost},
		{"lost before it was sent", nil, &transport.ConnectionError{}, outcome.Unreachable},
		{"another error", nil, errors.New("some other error"), outcome.ConnectionLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, parseResponse(codec.BuffersOf(test.body), test.err).Kind, qt.Equals, test.kind)
		})
	}
}
