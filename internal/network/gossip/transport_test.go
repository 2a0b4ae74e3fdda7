package gossip

import (
	"errors"
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

// If other programs open many connections and do not close them, only maxInboundStreams of them are accepted, and members still exchange
// their records.
func TestConnectionsAreBounded(t *testing.T) {
	open := func(join string) *Group {
		t.Helper()
		address := freeAddress(t)
		config := Config{
			Settings: *Table.Default(), Name: "n" + address, Application: "a", ExpectedMembers: 2, OnShare: func(peers.Share) {},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		config.Listen = address
		config.Join = join
		config.ProbeInterval = 100 * time.Millisecond
		config.SettleAfter = 200 * time.Millisecond
		g, err := Open(config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Close)
		return g
	}
	first := open("")
	var last net.Conn
	for range 10 * maxInboundStreams {
		var err error
		if last, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", first.config.Listen); err != nil {
			t.Fatal(err)
		}
		defer closeConn(t, last)
	}
	// Connections above the bound are closed: at least the last one, since the earlier ones use all slots.
	if err := last.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := last.Read(make([]byte, 1)); err == nil {
		t.Error("read data from a connection above the bound; want it to be closed")
	}
	second := open(first.config.Listen)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if s, ok := second.currentShare(); ok && s.Instances == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("a second member did not join within 30 s while other programs held the connections")
		}
	}
}

// freeAddress returns an address on loopback that no process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// closeConn closes a connection, which may be closed already.
func closeConn(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// At most maxInboundStreams concurrent connections are handed over and the others are closed. The end of one frees a slot for another.
func TestStreamsAreBounded(t *testing.T) {
	sockets, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{"127.0.0.1"},
		Logger:    log.New(io.Discard, "", 0),
	})
	if err != nil {
		t.Fatal(err)
	}
	bounded := newBoundedTransport(sockets, net.IPv4(127, 0, 0, 1))
	defer func() {
		if err := bounded.Shutdown(); err != nil {
			t.Error(err)
		}
	}()
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(sockets.GetAutoBindPort()))
	closed := make(chan struct{}, 100)
	dial := func() {
		c, err := bounded.DialTimeout(address, 30*time.Second)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { closeConn(t, c) })
		go func() {
			_, _ = c.Read(make([]byte, 1)) // returns when the other end closes
			closed <- struct{}{}
		}()
	}
	var accepted []net.Conn
	for range maxInboundStreams {
		dial()
		accepted = append(accepted, <-bounded.StreamCh())
	}
	for range 10 * maxInboundStreams {
		dial()
	}
	for range 10 * maxInboundStreams {
		<-closed
	}
	select {
	case <-bounded.StreamCh():
		t.Error("a connection above the bound was handed over")
	case <-closed:
		t.Error("a connection within the bound was closed")
	default:
	}
	closeConn(t, accepted[0])
	closeConn(t, accepted[0]) // memberlist may close a connection twice, which must free only one slot
	<-closed
	dial()
	<-bounded.StreamCh()
	dial()
	<-closed
}
