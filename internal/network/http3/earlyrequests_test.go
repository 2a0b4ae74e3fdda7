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

// waitForTicket waits for the session ticket of an address, which comes after the handshake.
func (t *testTransport) waitForTicket(address string) {
	t.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if _, there := (addressCache{t.transport.sessionCache, address}).Get(endpointName); there {
			return
		}
		if time.Now().After(end) {
			t.t.Fatal("no ticket")
		}
	}
}

// Only safe requests are sent in early data, and they are sent again if the endpoint rejects it.
func TestEarlyRequests(t *testing.T) {
	for _, variant := range []struct {
		name      string
		accept    bool
		safe      bool
		wantEarly bool
	}{{"safe", true, true, true}, {"keyed", true, false, false}, {"rejected", false, true, false}} {
		t.Run(variant.name, func(t *testing.T) {
			test := newTestTransport(t, func(endpoint *TransportSettings) { endpoint.EarlyRequests = true })
			var early, came atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				if h3.IsEarly(r) {
					early.Add(1)
				}
				came.Add(1)
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
				t.Fatal(res.Status)
			}
			test.waitForTicket(relay.Address())
			test.closeIdle()
			endpoint.Close()
			options.EarlyData = variant.accept
			test.serve(address, options, handler)
			test.target(relay.Address())
			relay.SetFault(udp.Fault{Delay: 20 * time.Millisecond})
			early.Store(0)
			before := came.Load()
			in := &exchange.Inbound{Method: "GET", Target: "/find", Host: "h", Safe: variant.safe}
			if res := test.attempt(in, testTimeout, nil); res.Status != balancer.StatusOK {
				t.Fatalf("%+v", res)
			}
			if got := early.Load() == 1; got != variant.wantEarly || came.Load() != before+1 {
				t.Errorf("early %v, want %v; %d came", got, variant.wantEarly, came.Load()-before)
			}
		})
	}
}
