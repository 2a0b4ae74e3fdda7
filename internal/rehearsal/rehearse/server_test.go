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

// startOneServer starts the first server of a script, with the clock at 0, and nothing else of the rehearsal.
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

// A machine that is silent resets nothing: open connections stay open, and new ones do not come up, until it is back. Its address then
// belongs to another incarnation of the server.
func TestSilence(t *testing.T) {
	rehearsal, server := startOneServer(t, small+safe)
	address := rehearsal.serverAddress(0)
	open := dialServer(t, address)
	open.ask(t, "r1t1")
	if got := open.read(t, time.Second); !strings.Contains(got, "served r1t1 ") {
		t.Fatalf("%q", got)
	}
	server.silence()
	open.ask(t, "r2t1")
	if got := open.read(t, 200*time.Millisecond); got != "nothing" {
		t.Errorf("a silent machine says %q", got)
	}
	if c, err := dialFor(address, 200*time.Millisecond); err == nil {
		closeConn(c)
		t.Error("a connection to a silent machine comes up")
	} else if !strings.Contains(err.Error(), "timeout") {
		t.Errorf("a connection to a silent machine is refused: %v", err)
	}
	server.stop()
	if err := server.start(true); err != nil {
		t.Fatal(err)
	}
	if got := open.read(t, time.Second); !strings.Contains(got, "reset") {
		t.Errorf("an old connection: %q", got)
	}
	again := dialServer(t, address)
	again.ask(t, "r3t1")
	if got := again.read(t, time.Second); !strings.Contains(got, "served r3t1 ") {
		t.Errorf("%q", got)
	}
	events, _ := rehearsal.log.Events()
	received := slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.AttemptReceived && e.Request == "r2t1"
	})
	answered := slices.ContainsFunc(events, func(e audit.Event) bool {
		return e.Kind == audit.AttemptEnded && e.Request == "r2t1" && e.Result != audit.Dropped
	})
	if !received || answered {
		t.Errorf("what a silent machine was sent: seen %v, answered %v", received, answered)
	}
}

// A server closes what is half sent, rejects connections beyond its limit, and reports its load.
func TestServerOnItsSocket(t *testing.T) {
	rehearsal, _ := startOneServer(t, strings.Replace(small, "conns 0", "conns 2 report 20ms", 1)+keyed)
	one, two := dialServer(t, rehearsal.serverAddress(0)), dialServer(t, rehearsal.serverAddress(0))
	two.ask(t, "r7t1")
	two.read(t, time.Second)
	one.ask(t, "r8t1")
	one.read(t, time.Second)
	three := dialServer(t, rehearsal.serverAddress(0))
	if got := three.read(t, time.Second); !strings.Contains(got, "reset") && !strings.Contains(got, "EOF") {
		t.Errorf("a connection too many: %q", got)
	}
	time.Sleep(50 * time.Millisecond)
	two.ask(t, "r9t1")
	if got := two.read(t, time.Second); !strings.Contains(got, "X-Pressure: inflight=") {
		t.Errorf("no load report: %q", got)
	}
	// Half a request, and the end: it never ran.
	half := "POST /trips HTTP/1.1\r\nHost: a\r\nX-Txn: r5t1\r\nX-Lane: ask\r\nContent-Length: 99\r\n\r\nhalf"
	if _, err := io.WriteString(one, half); err != nil {
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
		t.Error("half a request is not noted as cut off")
	}
	// A keyed repeat in its cell has no second effect.
	if rehearsal.repeatedEffects != 0 || len(rehearsal.effects) != 1 {
		t.Errorf("%d effects, %d beyond the first", len(rehearsal.effects), rehearsal.repeatedEffects)
	}
}

// An emulator that is late records it.
func TestLateEmulatorIsSeen(t *testing.T) {
	rehearsal, server := startOneServer(t, small+safe)
	conn := dialServer(t, rehearsal.serverAddress(0))
	conn.ask(t, "r1t1")
	conn.read(t, time.Second)
	conn.ask(t, "r2t1")
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		server.mu.Lock()
		if len(server.accepted) > 0 {
			time.Sleep(150 * time.Millisecond) // the server cannot work meanwhile, as if the emulator had no processor
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
		t.Error("not seen")
	}
}
