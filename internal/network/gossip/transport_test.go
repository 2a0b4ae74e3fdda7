package gossip

import (
	"io"
	"log"
	"log/slog"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"quincegap/internal/modules/peers"
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
		c := Config{
			Settings: *Table.Default(), Name: "n" + at, Application: "a", ExpectedMembers: 2, OnShare: func(peers.Share) {},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		c.Listen, c.Join, c.ProbeInterval, c.SettleAfter = at, join, 100*time.Millisecond, 200*time.Millisecond
		g, err := Open(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Close)
		return g
	}
	a := open("")
	var held []net.Conn
	for range 10 * maxInboundStreams {
		c, err := net.Dial("tcp", a.config.Listen)
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
	b := open(a.config.Listen)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if s, ok := b.state(); ok && s.Instances == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("a member never got in")
		}
	}
	for _, c := range held {
		c.Close()
	}
}

// Of those that come at once so many are passed on, the others closed; each that ends makes room for another.
func TestStreamsAreBounded(t *testing.T) {
	n, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		t.Fatal(err)
	}
	b := newBoundedTransport(n, net.IPv4(127, 0, 0, 1))
	defer b.Shutdown()
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(n.GetAutoBindPort()))
	closed := make(chan struct{}, 100)
	dial := func() {
		c, err := b.DialTimeout(address, 30*time.Second)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { c.Close() })
		go func() {
			c.Read(make([]byte, 1))
			closed <- struct{}{}
		}()
	}
	var taken []net.Conn
	for range maxInboundStreams {
		dial()
		taken = append(taken, <-b.StreamCh())
	}
	for range 10 * maxInboundStreams {
		dial()
	}
	for range 10 * maxInboundStreams {
		<-closed
	}
	select {
	case <-b.StreamCh():
		t.Error("one beyond the bound was passed on")
	case <-closed:
		t.Error("one within it was closed")
	default:
	}
	taken[0].Close()
	taken[0].Close() // memberlist may close twice, which makes room for one
	<-closed
	dial()
	<-b.StreamCh()
	dial()
	<-closed
}
