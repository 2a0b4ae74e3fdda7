package rehearse

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// startOneServer starts only the first server of a script, with the rehearsal's clock at 0.
func startOneServer(t *testing.T, script string) (*rehearsal, *server) {
	t.Helper()
	var found finding.List
	parsed := scenario.Read("m", []byte(script), &found)
	if parsed == nil {
		t.Fatal(found.Err())
	}
	rehearsal := newRehearsal(context.Background(), parsed.Plan(0))
	if err := rehearsal.claimNetwork(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := rehearsal.networkClaim.Close(); err != nil {
			t.Error(err)
		}
	})
	rehearsal.clockOffset.Store(0)
	rehearsal.clockOffset.Store(int64(rehearsal.now()))
	s := newServer(rehearsal, 0)
	if err := s.start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return rehearsal, s
}

// A silent machine does not reset connections: open ones stay open and new ones are not established until the server restarts. After
// that, its address belongs to a new incarnation, which resets old connections.
func TestSilence(t *testing.T) {
	rehearsal, server := startOneServer(t, small+safe)
	address := rehearsal.serverAddress(0)
	open := dialServer(t, address)
	open.ask(t, "r1t1")
	if got := open.read(t, time.Second); !strings.Contains(got, "served r1t1 ") {
		t.Fatalf("response before the silence is %q, want one that contains %q", got, "served r1t1 ")
	}
	server.silence()
	open.ask(t, "r2t1")
	if got := open.read(t, 200*time.Millisecond); got != "nothing" {
		t.Errorf("received %q from a silent machine, want nothing", got)
	}
	if c, err := dialWithin(address, 200*time.Millisecond); err == nil {
		closeConn(c)
		t.Error("new connection to a silent machine was established, want a timeout")
	} else if !strings.Contains(err.Error(), "timeout") {
		t.Errorf("new connection to a silent machine failed with %v, want a timeout", err)
	}
	server.stop()
	if err := server.start(true); err != nil {
		t.Fatal(err)
	}
	if got := open.read(t, time.Second); !strings.Contains(got, "reset") {
		t.Errorf("read %q on an old connection after the restart, want a reset", got)
	}
	reopened := dialServer(t, address)
	reopened.ask(t, "r3t1")
	if got := reopened.read(t, time.Second); !strings.Contains(got, "served r3t1 ") {
		t.Errorf("response after the restart is %q, want one that contains %q", got, "served r3t1 ")
	}
	events, _ := rehearsal.log.Events()
	received := slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.AttemptReceived && e.Request == "r2t1"
	})
	answered := slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.AttemptEnded && e.Request == "r2t1" && e.Result != audit.Dropped
	})
	if !received || answered {
		t.Errorf("request to a silent machine: received %v, answered %v, want true and false", received, answered)
	}
}

// A server records an incomplete request as truncated, resets connections above its limit, and reports its load.
func TestServerOnItsSocket(t *testing.T) {
	rehearsal, _ := startOneServer(t, strings.Replace(small, "conns 0", "conns 2 report 20ms", 1)+keyed)
	one, two := dialServer(t, rehearsal.serverAddress(0)), dialServer(t, rehearsal.serverAddress(0))
	two.ask(t, "r7t1")
	two.read(t, time.Second)
	one.ask(t, "r8t1")
	one.read(t, time.Second)
	if got := dialAndRead(t, rehearsal.serverAddress(0)); !strings.Contains(got, "reset") && !strings.Contains(got, "EOF") {
		t.Errorf("read %q on a connection above the limit, want a reset or EOF", got)
	}
	time.Sleep(50 * time.Millisecond)
	two.ask(t, "r9t1")
	if got := two.read(t, time.Second); !strings.Contains(got, "X-Pressure: inflight=") {
		t.Errorf("response is %q, want one with a load report in X-Pressure", got)
	}
	// An incomplete request followed by the end of the connection never runs.
	incomplete := "POST /trips HTTP/1.1\r\nHost: a\r\nX-Txn: r5t1\r\nX-Lane: ask\r\nContent-Length: 99\r\n\r\nhalf"
	if _, err := io.WriteString(one, incomplete); err != nil {
		t.Fatal(err)
	}
	if err := one.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	one.read(t, time.Second)
	events, _ := rehearsal.log.Events()
	if !slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.AttemptEnded && e.Request == "r5t1" && e.Result == audit.Truncated
	}) {
		t.Error("incomplete request r5t1 has no event with result Truncated, want one")
	}
	// A request repeated with the same key in the same cell has no second effect.
	if rehearsal.repeatedEffects != 0 || len(rehearsal.effects) != 1 {
		t.Errorf("%d keys with effects, %d repeated effects, want 1 and 0", len(rehearsal.effects), rehearsal.repeatedEffects)
	}
}

// The emulator records that it is late.
func TestLateEmulatorIsSeen(t *testing.T) {
	rehearsal, server := startOneServer(t, small+safe)
	conn := dialServer(t, rehearsal.serverAddress(0))
	conn.ask(t, "r1t1")
	conn.read(t, time.Second)
	conn.ask(t, "r2t1")
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		server.mu.Lock()
		if len(server.accepted) > 0 {
			time.Sleep(150 * time.Millisecond) // blocks the server, as if the emulator had no processor time
			server.mu.Unlock()
			break
		}
		server.mu.Unlock()
	}
	conn.read(t, time.Second)
	events, _ := rehearsal.log.Events()
	if !slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.EmulatorLate && e.Duration > 100*time.Millisecond
	}) {
		t.Error("no EmulatorLate event above 100ms after the server was blocked for 150ms, want one")
	}
}
