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

// earlyCounter counts a handler's requests by when they came. Those that are not safe wait for the handshake, as the desk has them do.
type earlyCounter struct {
	mu       sync.Mutex
	early    int // requests that the handler went on with before the handshake's end
	other    int // and after it
	waiting  int // that came before it, and waited for it
	rejected int // of those, for which it never came
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

// confirm waits for the handshake's end.
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

// counts are the requests that wait, or waited in vain, and the latter alone.
func (e *earlyCounter) counts() (waiting, rejected int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting, e.rejected
}

// recordFlight sends a booking in early data by way of a relay, and returns the packets of that.
func recordFlight(t *testing.T, test *testFront, e *earlyCounter, relay *udp.Relay, cache tls.ClientSessionCache) [][]byte {
	t.Helper()
	// The caller hears nothing until the server has its booking: on a busy machine the handshake was over before the caller came to
	// send that, the flight held no early data, and no replay of it was ever taken up.
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
	// By a client that does what browsers do not.
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+frontName+"/book", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := str.SendRequestHeader(r); err != nil {
		t.Fatal(err)
	}
	closeAll(t, str)
	test.until("the booking came early, and waits", func() bool { waiting, _ := e.counts(); return waiting == 1 })
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

// A first flight with a booking in early data, recorded and sent a hundred times more, runs once: no replay ever ends its handshake.
// The server restarts with the same secret in between, so that the old ticket still holds.
func TestReplayedFirstFlight(t *testing.T) {
	e := &earlyCounter{}
	test := openFront(t, e.ServeHTTP, func(s *FrontSettings, _ *Bounds, security *Security) {
		// All replays of a flight are one connection, for they have one connection ID. Where its handshake timed out before a busy
		// machine had read the request, there was no other: it stands until the server ends.
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
	flight := recordFlight(t, test, e, relay, cache)
	e.mu.Lock()
	before := e.other
	e.mu.Unlock()
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
		had, _ := e.counts()
		replay()
		test.until("a replay was taken up, and waits", func() bool { waiting, _ := e.counts(); return waiting > had })
		replay() // to the server where it waits
	}
	test.close()
	test.until("all that waited have failed", func() bool { waiting, rejected := e.counts(); return rejected == waiting })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.other != before || e.early != 0 {
		t.Errorf("replays ran %d times, and %d early", e.other-before, e.early)
	}
}

// A safe request is taken early where that is set, and not where it is not.
func TestEarlySafe(t *testing.T) {
	for _, choice := range []EarlyData{EarlySafe, EarlyNever} {
		e := &earlyCounter{}
		test := openFront(t, e.ServeHTTP, func(c *FrontSettings, _ *Bounds, _ *Security) { c.EarlyData = choice })
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
		e.mu.Lock()
		if (e.early == 1) != (choice == EarlySafe) {
			t.Errorf("%s: %d came early", choice, e.early)
		}
		e.mu.Unlock()
	}
}
