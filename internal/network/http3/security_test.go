package http3

import (
	"context"
	"crypto/tls"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/standin/udp"
)

// The keys of session tickets change each day, and those of the neighbouring days stay valid: clocks may differ.
func TestTicketKeys(t *testing.T) {
	secret := []byte("0123456789abcdef0123456789abcdef")
	now := time.Unix(1_800_000_000, 0)
	today, tomorrow := ticketKeys(secret, now), ticketKeys(secret, now.Add(24*time.Hour))
	if today[0] == tomorrow[0] || today[0] != tomorrow[1] || today[2] != tomorrow[0] {
		t.Error("a ticket of today does not hold tomorrow, or at a clock that is ahead")
	}
	if ticketKeys([]byte("another secret"), now)[0] == today[0] {
		t.Error("the secret does not matter")
	}
	if deriveKey(secret, "token") == deriveKey(secret, "stateless reset") {
		t.Error("one key for two purposes")
	}
}

// A server that restarts with the same secret resets the old callers' connections at once.
func TestRestartResetsOldConnections(t *testing.T) {
	test := openFront(t, echo, func(_ *FrontSettings, _ *Bounds, s *Security) { s.Secret = []byte("0123456789abcdef0123456789abcdef") })
	address := test.address()
	config := test.tlsConfig(nil)
	relay, err := udp.Start(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	conn, err := quic.DialAddr(t.Context(), relay.Address(), config, &quic.Config{KeepAlivePeriod: 100 * time.Millisecond, MaxIdleTimeout: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn, 0)
	if code, _, err := ask((&http3.Transport{}).NewClientConn(conn), "GET", relay.Address()+"/", ""); code != 200 || err != nil {
		t.Fatal(code, err)
	}
	relay.SetFault(udp.Fault{Blackhole: true}) // as after SIGKILL: no CONNECTION_CLOSE arrives
	relay.Rebind()                             // nor later, from the old port
	test.close()
	test.start(address)
	relay.SetFault(udp.Fault{})
	select {
	case <-conn.Context().Done():
		if _, ok := errors.AsType[*quic.StatelessResetError](context.Cause(conn.Context())); !ok {
			t.Errorf("it ended with %v", context.Cause(conn.Context()))
		}
	case <-time.After(testTimeout):
		t.Error("the old connection goes on")
	}
}

// Tickets stay valid if the clocks of a sidecar and its successor differ by less than a day. If they differ by more, the handshake is a
// full one, and the caller is served too.
func TestTicketsAndClocks(t *testing.T) {
	for _, skew := range []time.Duration{0, 23 * time.Hour, -23 * time.Hour, 72 * time.Hour} {
		var ahead atomic.Int64
		test := openFront(t, echo, func(c *FrontSettings, _ *Bounds, s *Security) {
			c.EarlyData = EarlySafe
			s.Secret = []byte("0123456789abcdef0123456789abcdef")
			s.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
		})
		address := test.address()
		cache := tls.NewLRUClientSessionCache(10)
		c := test.caller(cache)
		if code, _, err := ask(c, "GET", address+"/", ""); code != 200 || err != nil {
			t.Fatal(code, err)
		}
		time.Sleep(50 * time.Millisecond) // for the ticket
		closeAll(t, c)
		test.close()
		ahead.Store(int64(skew))
		test.start(address)
		config := test.tlsConfig(cache)
		conn, err := quic.DialAddr(t.Context(), address, config, nil)
		if err != nil {
			t.Fatalf("skew %v: %v", skew, err)
		}
		if got, want := conn.ConnectionState().TLS.DidResume, skew.Abs() < 24*time.Hour; got != want {
			t.Errorf("skew %v: resumed %v", skew, got)
		}
		if code, _, err := ask((&http3.Transport{}).NewClientConn(conn), "GET", address+"/", ""); code != 200 || err != nil {
			t.Errorf("skew %v: %d %v", skew, code, err)
		}
		closeConn(conn, 0x100)
		test.close()
	}
}
