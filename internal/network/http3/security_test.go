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

// The keys for session tickets change every day. Those of the previous and the next day are accepted too, since clocks may differ.
func TestTicketKeys(t *testing.T) {
	secret := []byte("0123456789abcdef0123456789abcdef")
	now := time.Unix(1_800_000_000, 0)
	today, tomorrow := ticketKeys(secret, now), ticketKeys(secret, now.Add(24*time.Hour))
	if today[0] == tomorrow[0] || today[0] != tomorrow[1] || today[2] != tomorrow[0] {
		t.Error("the keys do not change each day, or those of today and tomorrow are not valid on the other day")
	}
	if ticketKeys([]byte("another secret"), now)[0] == today[0] {
		t.Error("two secrets give the same key")
	}
	if deriveKey(secret, "token") == deriveKey(secret, "stateless reset") {
		t.Error("two purposes give the same key")
	}
}

// A server that restarts with the same secret resets its callers' old connections at their next request.
func TestRestartResetsOldConnections(t *testing.T) {
	test := openFront(t, echo, func(_ *FrontSettings, _ *Bounds, s *Security) { s.Secret = []byte("0123456789abcdef0123456789abcdef") })
	address := test.address()
	config := test.tlsConfig(nil)
	relay, err := udp.Start(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	// Without the probes of path MTU discovery the request below is the only packet large enough to be answered with a reset.
	settings := &quic.Config{KeepAlivePeriod: 100 * time.Millisecond, MaxIdleTimeout: time.Hour, DisablePathMTUDiscovery: true}
	conn, err := quic.DialAddr(t.Context(), relay.Address(), config, settings)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn, 0)
	client := (&http3.Transport{}).NewClientConn(conn)
	if code, _, err := ask(client, "GET", relay.Address()+"/", ""); code != 200 || err != nil {
		t.Fatalf("request before the restart: got status %d, error %v; want status 200", code, err)
	}
	relay.SetFault(udp.Fault{Blackhole: true}) // as after SIGKILL, no CONNECTION_CLOSE arrives,
	relay.Rebind()                             // not even later from the old port
	test.close()
	test.start(address)
	relay.SetFault(udp.Fault{})
	if code, _, err := ask(client, "GET", relay.Address()+"/", ""); !isStatelessReset(err) {
		t.Errorf("request on the old connection: got status %d, error %v; want a stateless reset", code, err)
	}
	select {
	case <-conn.Context().Done():
		if !isStatelessReset(context.Cause(conn.Context())) {
			t.Errorf("the old connection ended with %v, want a stateless reset", context.Cause(conn.Context()))
		}
	case <-time.After(testTimeout):
		t.Errorf("the old connection is still open after %v", testTimeout)
	}
}

func isStatelessReset(err error) bool {
	_, ok := errors.AsType[*quic.StatelessResetError](err)
	return ok
}

// Tickets stay valid if the clocks of a sidecar and its successor differ by less than a day. If they differ by more, the caller makes a
// full handshake and is served too.
func TestTicketsAndClocks(t *testing.T) {
	for _, skew := range []time.Duration{0, 23 * time.Hour, -23 * time.Hour, 72 * time.Hour} {
		var offset atomic.Int64
		test := openFront(t, echo, func(settings *FrontSettings, _ *Bounds, security *Security) {
			settings.EarlyData = EarlySafe
			security.Secret = []byte("0123456789abcdef0123456789abcdef")
			security.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
		})
		address := test.address()
		cache := tls.NewLRUClientSessionCache(10)
		client := test.caller(cache)
		if code, _, err := ask(client, "GET", address+"/", ""); code != 200 || err != nil {
			t.Fatalf("skew %v: request before the restart: got status %d, error %v; want status 200", skew, code, err)
		}
		time.Sleep(50 * time.Millisecond) // for the session ticket to arrive
		closeAll(t, client)
		test.close()
		offset.Store(int64(skew))
		test.start(address)
		config := test.tlsConfig(cache)
		conn, err := quic.DialAddr(t.Context(), address, config, nil)
		if err != nil {
			t.Fatalf("skew %v: dial after the restart: %v", skew, err)
		}
		if got, want := conn.ConnectionState().TLS.DidResume, skew.Abs() < 24*time.Hour; got != want {
			t.Errorf("skew %v: got resumed session %v, want %v", skew, got, want)
		}
		if code, _, err := ask((&http3.Transport{}).NewClientConn(conn), "GET", address+"/", ""); code != 200 || err != nil {
			t.Errorf("skew %v: request after the restart: got status %d, error %v; want status 200", skew, code, err)
		}
		closeConn(conn, 0x100)
		test.close()
	}
}
