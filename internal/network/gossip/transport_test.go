package gossip

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gingerlead/internal/modules/peers"
)

// However many connections strangers open and hold, few are taken, and members go on exchanging.
func TestConnectionsAreBounded(t *testing.T) {
	open := func(join string) *Group {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at := l.Addr().String()
		l.Close()
		c := Config{Settings: *Table.Default(), Name: "n" + at, Application: "a", Expected: 2, Changed: func(peers.Share) {},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
		c.Listen, c.Join, c.Pace, c.SettleAfter = at, join, 100*time.Millisecond, 200*time.Millisecond
		g, err := Open(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Close)
		return g
	}
	a := open("")
	var held []net.Conn
	for range 10 * mostStreams {
		c, err := net.Dial("tcp", a.c.Listen)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	// Those that were not taken are closed: of the last ones at least, for those before hold the room.
	held[len(held)-1].SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := held[len(held)-1].Read(make([]byte, 1)); err == nil {
		t.Error("a stranger was told something")
	}
	b := open(a.c.Listen)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if s, ok := b.state(); ok && s.Instances == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("a member never got in")
		}
	}
	n := a.network.(*bound)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.most > mostStreams || n.most == 0 {
		t.Errorf("%d connections at once, %d at most", n.most, mostStreams)
	}
	for _, c := range held {
		c.Close()
	}
}
