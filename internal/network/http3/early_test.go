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

// earlyCounter is a handler that counts requests in early data and other requests. As in the sidecar's handler, requests that are not safe
// wait until the handshake is complete.
type earlyCounter struct {
	mu       sync.Mutex
	early    int // requests processed before the handshake was complete
	other    int // requests processed after the handshake was complete
	waiting  int // requests that wait for the handshake or whose handshake failed
	rejected int // requests whose handshake failed
}

// ServeHTTP echoes a request; it waits for the handshake before if the request is not safe.
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

// confirm waits until the handshake is complete. It returns false if the handshake fails.
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

// counts returns the values of waiting and rejected.
func (e *earlyCounter) counts() (waiting, rejected int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting, e.rejected
}

// recordFlight sends a booking in early data through a relay, and returns the packets that the relay recorded.
func recordFlight(t *testing.T, test *testFront, counter *earlyCounter, relay *udp.Relay, cache tls.ClientSessionCache) [][]byte {
	t.Helper()
	// The caller gets no reply until the server has received the booking. Otherwise, on a busy machine, the handshake may be complete
	// before the caller sends the booking, and the flight has no early data to replay.
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
	// Browsers do not send POST requests in early data; this client does.
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+frontName+"/book", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := str.SendRequestHeader(r); err != nil {
		t.Fatal(err)
	}
	closeAll(t, str)
	test.until("the booking waits for the handshake", func() bool { waiting, _ := counter.counts(); return waiting == 1 })
	flight := relay.StopRecording()
	relay.SetFault(udp.Fault{})
	res, err := str.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("booking: got response %+v, want status 200", res)
	}
	if !conn.ConnectionState().Used0RTT {
		t.Fatal("the connection used no early data, so that there is nothing to replay")
	}
	return flight
}

// A first flight with a booking in early data is recorded and replayed a hundred times. The booking is executed only once, because no
// replay completes its handshake. The server restarts with the same secret in between, so that the old ticket is still valid.
func TestReplayedFirstFlight(t *testing.T) {
	counter := &earlyCounter{}
	test := openFront(t, counter.ServeHTTP, func(s *FrontSettings, _ *Bounds, security *Security) {
		// All replays of a flight have the same connection ID, so they belong to one connection. Its handshake must not time out before
		// a busy machine has read the request.
		s.EarlyData = EarlySafe
		s.HandshakeTimeout = time.Minute
		s.MaxHandshakes = 1000
		security.Secret = []byte("0123456789abcdef0123456789abcdef")
	})
	address := test.address()
	cache := tls.NewLRUClientSessionCache(10)
	first := test.caller(cache)
	if code, _, err := ask(first, "GET", address+"/", ""); code != 200 || err != nil {
		t.Fatalf("first request: got status %d, error %v; want status 200", code, err)
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
	replay() // goes to the same server, where the packets belong to the old connection
	// Replay to servers that have restarted since.
	for range 3 {
		test.close()
		test.start(address)
		waitingBefore, _ := counter.counts()
		replay()
		test.until("a replayed request waits for the handshake", func() bool { waiting, _ := counter.counts(); return waiting > waitingBefore })
		replay() // goes to the server where the replayed request waits
	}
	test.close()
	test.until("all waiting requests have been rejected", func() bool { waiting, rejected := counter.counts(); return rejected == waiting })
	counter.mu.Lock()
	defer counter.mu.Unlock()
	if counter.other != before || counter.early != 0 {
		t.Errorf("replays were executed %d times after the handshake and %d times before, want 0", counter.other-before, counter.early)
	}
}

// A safe request is processed in early data if the setting allows it, and otherwise after the handshake.
func TestEarlySafe(t *testing.T) {
	for _, policy := range []EarlyData{EarlySafe, EarlyNever} {
		counter := &earlyCounter{}
		test := openFront(t, counter.ServeHTTP, func(s *FrontSettings, _ *Bounds, _ *Security) { s.EarlyData = policy })
		cache := tls.NewLRUClientSessionCache(10)
		first := test.caller(cache)
		if code, _, err := ask(first, "GET", test.address()+"/", ""); code != 200 || err != nil {
			t.Fatalf("%s: first request: got status %d, error %v; want status 200", policy, code, err)
		}
		closeAll(t, first)
		relay, err := udp.Start(test.address(), 1)
		if err != nil {
			t.Fatal(err)
		}
		// The delay makes the caller's second flight, which completes the handshake, arrive after the request.
		relay.SetFault(udp.Fault{Delay: 20 * time.Millisecond})
		if code, _, err := ask(test.caller(cache), http3.MethodGet0RTT, relay.Address()+"/x", ""); code != 200 || err != nil {
			t.Fatalf("%s: request in early data: got status %d, error %v; want status 200", policy, code, err)
		}
		relay.Close()
		counter.mu.Lock()
		if (counter.early == 1) != (policy == EarlySafe) {
			t.Errorf("%s: %d requests were processed in early data, want 1: %v", policy, counter.early, policy == EarlySafe)
		}
		counter.mu.Unlock()
	}
}
