package http3

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
	"quincegap/internal/standin/h3"
	"quincegap/internal/standin/udp"
)

// waitForTicket waits for the session ticket of an address, which arrives after the handshake.
func (t *testTransport) waitForTicket(address string) {
	t.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if _, found := (addressCache{t.transport.sessionCache, address}).Get(endpointName); found {
			return
		}
		if time.Now().After(end) {
			t.t.Fatalf("no session ticket of %s after %v", address, testTimeout)
		}
	}
}

// Only safe requests are sent in early data. If the endpoint rejects the early data, they are sent again.
func TestEarlyRequests(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		accept    bool // whether the endpoint accepts early data
		safe      bool // whether the request is safe
		wantEarly bool
	}{{"safe", true, true, true}, {"keyed", true, false, false}, {"rejected", false, true, false}} {
		t.Run(testCase.name, func(t *testing.T) {
			test := newTestTransport(t, func(s *TransportSettings) { s.EarlyRequests = true })
			var early, received atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				if h3.IsEarly(r) {
					early.Add(1)
				}
				received.Add(1)
				ok(w, r)
			}
			options := h3.Options{ResetSecret: [32]byte{2}, EarlyData: true}
			endpoint := test.serve("", options, handler)
			address := endpoint.Address()
			relay, err := udp.Start(address, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			test.target(relay.Address())
			if res := test.attempt(nil, testTimeout, nil); res.Status != balancer.StatusOK {
				t.Fatalf("first attempt: got status %v, want %v", res.Status, balancer.StatusOK)
			}
			test.waitForTicket(relay.Address())
			test.closeIdle()
			endpoint.Close()
			options.EarlyData = testCase.accept
			test.serve(address, options, handler)
			test.target(relay.Address())
			relay.SetFault(udp.Fault{Delay: 20 * time.Millisecond})
			early.Store(0)
			before := received.Load()
			in := &exchange.Inbound{Method: "GET", Target: "/find", Host: "h", Safe: testCase.safe}
			if res := test.attempt(in, testTimeout, nil); res.Status != balancer.StatusOK {
				t.Fatalf("attempt on a resumed session: got %+v, want status %v", res, balancer.StatusOK)
			}
			if got := early.Load() == 1; got != testCase.wantEarly || received.Load() != before+1 {
				t.Errorf("got early data %v, %d requests received; want %v, 1", got, received.Load()-before, testCase.wantEarly)
			}
		})
	}
}
