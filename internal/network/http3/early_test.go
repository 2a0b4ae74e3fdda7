package http3

import (
	"crypto/tls"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/exchange"
	"quincegap/internal/standin/udp"
)

// earlyCounter is a handler that counts requests in early data and others. Those that are not safe wait for the handshake, as in the
// sidecar's own handler.
type earlyCounter struct {
	mu       sync.Mutex
	early    int // requests processed before the end of the handshake
	other    int // requests processed after it
	waiting  int // requests that wait for it, or waited in vain
	rejected int // requests that waited in vain
}

// ServeHTTP echoes a request once it may run.
func (e *earlyCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller := exchange.CallerOf(r)
	early := caller.Early()
	safe := r.Method == http.MethodGet
	if early && !safe && !e.confirm(r, caller) {
		return
	}
	e.mu.Lock()
	if early && safe {
		e.early++
	} else {
		e.other++
	}
	e.mu.Unlock()
	echo(w, r)
}

// confirm waits for the end of the handshake. It returns false if the handshake fails.
func (e *earlyCounter) confirm(r *http.Request, caller exchange.Caller) bool {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	ok := caller.Confirm(r.Context())
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		e.waiting--
	} else {
		e.rejected++
	}
	return ok
}

// counts returns waiting and rejected.
func (e *earlyCounter) counts() (waiting, rejected int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting, e.rejected
}

// recordFlight sends a booking in early data through a relay, and returns the recorded packets.
func recordFlight(t *testing.T, test *testFront, counter *earlyCounter, relay *udp.Relay, cache tls.ClientSessionCache) [][]byte {
	t.Helper()
	// The caller gets no reply until the server has the booking. Otherwise, on a busy machine, the handshake is complete before the
	// caller sends it, and the flight has no early data to replay.
	relay.SetFault(udp.Fault{DropReplies: true})
	relay.StartRecording()
	conn, err := quic.DialAddrEarly(t.Context(), relay.Address(), test.tlsConfig(cache), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn, 0)
	h3 := &http3.Transport{DisableCompression: true}
	str, err := h3.NewClientConn(conn).OpenRequestStream(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	// Browsers send no POST in early data; this client does.
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+frontName+"/book", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := str.SendRequestHeader(r); err != nil {
		t.Fatal(err)
	}
	closeAll(t, str)
	test.until("the booking came early, and waits", func() bool { waiting, _ := counter.counts(); return waiting == 1 })
	flight := relay.StopRecording()
	relay.SetFault(udp.Fault{})
	res, err := str.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("%+v", res)
	}
	if !conn.ConnectionState().Used0RTT {
		t.Fatal("no early data was used: nothing is tested")
	}
	return flight
}

// A first flight with a booking in early data, recorded and replayed a hundred times, runs once: no replay completes its handshake. The
// server restarts with the same secret in between, so that the old ticket is still valid.
func TestReplayedFirstFlight(t *testing.T) {
	counter := &earlyCounter{}
	test := openFront(t, counter.ServeHTTP, func(s *FrontSettings, _ *Bounds, security *Security) {
		// All replays of a flight have one connection ID, and are one connection. Its handshake must not time out before a busy machine
		// has read the request.
		s.EarlyData = EarlySafe
		s.HandshakeTimeout = time.Minute
		s.MaxHandshakes = 1000
		security.Secret = []byte("0123456789abcdef0123456789abcdef")
	})
	address := test.address()
	cache := tls.NewLRUClientSessionCache(10)
	first := test.caller(cache)
	if code, _, err := ask(first, "GET", address+"/", ""); code != 200 || err != nil {
		t.Fatal(code, err)
	}
	closeAll(t, first)
	test.close()
	test.start(address)
	relay, err := udp.Start(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	flight := recordFlight(t, test, counter, relay, cache)
	counter.mu.Lock()
	before := counter.other
	counter.mu.Unlock()
	replay := func() {
		t.Helper()
		for range 100 {
			if err := relay.Replay(flight); err != nil {
				t.Fatal(err)
			}
		}
	}
	replay() // to the same server, where it is an old connection's
	// To ones that have restarted since.
	for range 3 {
		test.close()
		test.start(address)
		had, _ := counter.counts()
		replay()
		test.until("a replay was taken up, and waits", func() bool { waiting, _ := counter.counts(); return waiting > had })
		replay() // to the server where it waits
	}
	test.close()
	test.until("all that waited have failed", func() bool { waiting, rejected := counter.counts(); return rejected == waiting })
	counter.mu.Lock()
	defer counter.mu.Unlock()
	if counter.other != before || counter.early != 0 {
		t.Errorf("replays ran %d times, and %d early", counter.other-before, counter.early)
	}
}

// A safe request is processed in early data if the setting allows it, and else after the handshake.
func TestEarlySafe(t *testing.T) {
	for _, choice := range []EarlyData{EarlySafe, EarlyNever} {
		counter := &earlyCounter{}
		test := openFront(t, counter.ServeHTTP, func(c *FrontSettings, _ *Bounds, _ *Security) { c.EarlyData = choice })
		cache := tls.NewLRUClientSessionCache(10)
		first := test.caller(cache)
		if code, _, err := ask(first, "GET", test.address()+"/", ""); code != 200 || err != nil {
			t.Fatal(code, err)
		}
		closeAll(t, first)
		relay, err := udp.Start(test.address(), 1)
		if err != nil {
			t.Fatal(err)
		}
		// The caller's second flight, that ends the handshake, comes late.
		relay.SetFault(udp.Fault{Delay: 20 * time.Millisecond})
		if code, _, err := ask(test.caller(cache), http3.MethodGet0RTT, relay.Address()+"/x", ""); code != 200 || err != nil {
			t.Fatal(code, err)
		}
		relay.Close()
		counter.mu.Lock()
		if (counter.early == 1) != (choice == EarlySafe) {
			t.Errorf("%s: %d came early", choice, counter.early)
		}
		counter.mu.Unlock()
	}
}
