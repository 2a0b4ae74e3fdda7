package http3

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/standin/udp"
)

func TestServes(t *testing.T) {
	test := openFront(t, echo, nil)
	client := test.caller(nil)
	for i := range 3 {
		code, text, err := ask(client, "POST", test.address()+"/trips?a=1", "trip")
		if code != 200 || text != "/trips?a=1 trip" || err != nil {
			t.Fatalf("%d: %d %q %v", i, code, text, err)
		}
	}
	open, idle, handshakes := test.front.Counts()
	if open != 1 || handshakes != 0 {
		t.Errorf("%d connections, %d idle, %d handshakes", open, idle, handshakes)
	}
	test.until("it is idle", func() bool { _, idle, _ := test.front.Counts(); return idle == 1 })
	if test.front.Quiet(0) {
		t.Error("quiet with a connection")
	}
	closeAll(t, client)
	test.until("it is forgotten", func() bool { open, idle, _ := test.front.Counts(); return open+idle == 0 })
}

// Of a thousand requests at once on one connection, those beyond the bound on streams wait at the caller, and each is answered.
func TestThousandStreams(t *testing.T) {
	var now, most atomic.Int64
	test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(time.Millisecond)
		now.Add(-1)
		echo(w, r)
	}, func(c *FrontSettings, _ *Bounds, _ *Security) { c.MaxStreams = 50 })
	c := test.caller(nil)
	var all sync.WaitGroup
	for i := range 1000 {
		all.Go(func() {
			target := fmt.Sprintf("/%d", i)
			if code, text, err := ask(c, "POST", test.address()+target, "x"); code != 200 || text != target+" x" || err != nil {
				t.Errorf("%d: %d %q %v", i, code, text, err)
			}
		})
	}
	all.Wait()
	if most.Load() > 50 {
		t.Errorf("%d at once", most.Load())
	}
}

// When connections use up their bound, fresh and idle ones are closed, and busy ones never.
func TestRoomIsMade(t *testing.T) {
	serve := make(chan bool)
	test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-serve
		}
		echo(w, r)
	}, func(c *FrontSettings, _ *Bounds, _ *Security) { c.MaxConnections = 4 })
	busy := test.caller(nil)
	answered := askSlow(busy, test.address())
	test.until("it is busy", func() bool { open, idle, _ := test.front.Counts(); return open == 1 && idle == 0 })
	for i := range 12 {
		if code, _, err := ask(test.caller(nil), "GET", test.address()+"/", ""); code != 200 || err != nil {
			t.Fatalf("%d: %d %v", i, code, err)
		}
	}
	if open, _, _ := test.front.Counts(); open > 4 {
		t.Errorf("%d connections", open)
	}
	close(serve)
	if err := <-answered; err != nil {
		t.Errorf("the busy one: %v", err)
	}
}

// A connection that brings no request, or only a part of one, is closed after its timeout though the caller keeps it alive.
func TestConnectionsWithoutRequestAreClosed(t *testing.T) {
	test := openFront(t, echo, func(_ *FrontSettings, b *Bounds, _ *Security) {
		b.RequestTimeout = 300 * time.Millisecond
		b.IdleTimeout = 700 * time.Millisecond
	})
	for name, bytes := range map[string]string{"nothing": "", "half a header": "\x01\x40", "part of a header": "\x01\x20\x00\x00\xd1"} {
		keepAlive := &quic.Config{KeepAlivePeriod: 50 * time.Millisecond}
		conn, err := quic.DialAddr(t.Context(), test.address(), test.tlsConfig(nil), keepAlive)
		if err != nil {
			t.Fatal(err)
		}
		str, err := conn.OpenStreamSync(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := str.Write([]byte(bytes)); err != nil {
			t.Error(err)
		}
		select {
		case <-conn.Context().Done():
		case <-time.After(testTimeout):
			t.Errorf("%s: it stays", name)
		}
		closeConn(conn, 0)
	}
	test.until("all are forgotten", func() bool { open, _, _ := test.front.Counts(); return open == 0 })
}

// In a flood of Initials whose senders complete no handshake, the handshakes stay bounded, and a caller that answers a Retry is served.
func TestFloodOfInitials(t *testing.T) {
	test := openFront(t, echo, func(c *FrontSettings, _ *Bounds, _ *Security) {
		c.MaxHandshakes = 8
		c.HandshakeTimeout = 500 * time.Millisecond
	})
	relay, err := udp.Start(test.address(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.SetFault(udp.Fault{DropReplies: true})
	ctx, stop := context.WithCancel(t.Context())
	var flood sync.WaitGroup
	for range 8 {
		flood.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) { // leaves processor time for the callers on a small machine
				once, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				config := test.tlsConfig(nil)
				if conn, err := quic.DialAddr(once, relay.Address(), config, nil); err == nil {
					t.Error("a caller that gets no replies completed its handshake")
					closeConn(conn, 0)
				}
				cancel()
			}
		})
	}
	test.until("handshakes are under way", func() bool { _, _, n := test.front.Counts(); return n >= 4 })
	for i := range 5 {
		if code, _, err := ask(test.caller(nil), "GET", test.address()+"/", ""); code != 200 || err != nil {
			t.Errorf("%d: %d %v", i, code, err)
		}
		if _, _, n := test.front.Counts(); n > 8 {
			t.Errorf("%d handshakes", n)
		}
	}
	stop()
	flood.Wait()
	test.until("the flood is forgotten", func() bool { _, _, n := test.front.Counts(); return n == 0 })
}

// After Stop the accepted requests are answered, new ones are rejected as not processed, and the front ends.
func TestStop(t *testing.T) {
	serve := make(chan bool)
	test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-serve
		}
		echo(w, r)
	}, nil)
	config := test.tlsConfig(nil)
	conn, err := quic.DialAddr(t.Context(), test.address(), config, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn, 0)
	h3 := &http3.Transport{}
	client := h3.NewClientConn(conn)
	answered := askSlow(client, test.address())
	test.until("it is taken", func() bool { open, idle, _ := test.front.Counts(); return open == 1 && idle == 0 })
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		stopped <- test.front.Stop(ctx)
	}()
	// A caller that has not heard the GOAWAY opens one more stream.
	test.until("a new request is rejected", func() bool {
		str, err := conn.OpenStreamSync(t.Context())
		if err != nil {
			return true
		}
		_, _ = str.Write([]byte{0x01, 0x40}) // the server may have rejected the stream already
		if err := str.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Error(err)
		}
		_, err = str.Read(make([]byte, 1))
		str.CancelWrite(0x10c)
		e, ok := errors.AsType[*quic.StreamError](err)
		return ok && e.Remote && e.ErrorCode == quic.StreamErrorCode(http3.ErrCodeRequestRejected)
	})
	if _, _, err := ask(test.caller(nil), "GET", test.address()+"/", ""); err == nil {
		t.Error("a new connection is served")
	}
	close(serve)
	if err := <-answered; err != nil {
		t.Errorf("what was taken: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// A caller whose address changes during a request gets one answer, and its connection counts once.
func TestRebinding(t *testing.T) {
	var runs atomic.Int64
	serve := make(chan bool)
	test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-serve
		echo(w, r)
	}, nil)
	relay, err := udp.Start(test.address(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	c := test.caller(nil)
	c.QUICConfig.KeepAlivePeriod = 50 * time.Millisecond
	answered := make(chan string, 1)
	go func() {
		code, text, err := ask(c, "POST", relay.Address()+"/a", "trip")
		answered <- fmt.Sprint(code, text, err)
	}()
	test.until("it is taken", func() bool { return runs.Load() == 1 })
	relay.Rebind()
	carried := relay.Received()
	test.until("packets come from the new port", func() bool { return relay.Received() > carried+2 })
	if open, _, _ := test.front.Counts(); open != 1 {
		t.Errorf("%d connections", open)
	}
	close(serve)
	if got := <-answered; got != "200/a trip<nil>" {
		t.Errorf("got %s", got)
	}
	if runs.Load() != 1 {
		t.Errorf("it ran %d times", runs.Load())
	}
}

// quicTransport returns a transport on a socket of its own. The test's end closes both.
func quicTransport(t *testing.T) *quic.Transport {
	t.Helper()
	socket := listenUDP(t)
	transport := &quic.Transport{Conn: socket}
	t.Cleanup(func() { closeAll(t, transport, socket) })
	return transport
}

// readAnswer reads the answer to a stream's request in the background.
func readAnswer(str *http3.RequestStream) <-chan string {
	answered := make(chan string, 1)
	go func() {
		res, err := str.ReadResponse()
		if err != nil {
			answered <- err.Error()
			return
		}
		defer func() { _ = res.Body.Close() }()
		text, err := io.ReadAll(str)
		answered <- fmt.Sprint(res.StatusCode, string(text), err)
	}()
	return answered
}

// Migration: the caller itself moves to another socket during a request.
func TestMigration(t *testing.T) {
	serve := make(chan bool)
	var runs atomic.Int64
	test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-serve
		echo(w, r)
	}, nil)
	conn, err := quicTransport(t).Dial(t.Context(), test.front.Address(), test.tlsConfig(nil), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn, 0)
	// Not by RoundTrip, which reads the connection's address while it changes.
	str, err := (&http3.Transport{DisableCompression: true}).NewClientConn(conn).OpenRequestStream(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+frontName+"/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := str.SendRequestHeader(r); err != nil {
		t.Fatal(err)
	}
	closeAll(t, str)
	answered := readAnswer(str)
	test.until("it is taken", func() bool { return runs.Load() == 1 })
	path, err := conn.AddPath(quicTransport(t))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := path.Probe(ctx); err != nil {
		t.Fatal(err)
	}
	if err := path.Switch(); err != nil {
		t.Fatal(err)
	}
	close(serve)
	if got := <-answered; got != "200/a <nil>" || runs.Load() != 1 {
		t.Errorf("got %s after %d runs", got, runs.Load())
	}
	if open, _, _ := test.front.Counts(); open != 1 {
		t.Errorf("%d connections", open)
	}
}

// Loss, reordering, duplicated datagrams and a path whose MTU shrinks delay answers and lose none.
func TestBadPaths(t *testing.T) {
	for name, fault := range map[string]udp.Fault{
		"loss":  {LossShare: 0.05, Delay: time.Millisecond},
		"chaos": {LossShare: 0.02, DuplicateShare: 0.1, ReorderShare: 0.2, Delay: 2 * time.Millisecond},
		"mtu":   {MTU: 1300},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				echo(w, r)
			}, nil)
			relay, err := udp.Start(test.address(), 7)
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			c := test.caller(nil)
			c.QUICConfig.DisablePathMTUDiscovery = true // the caller's own packets have to fit too
			body := strings.Repeat("trip ", 2000)
			for i := range 30 {
				if i == 10 {
					relay.SetFault(fault)
				}
				if code, text, err := ask(c, "POST", relay.Address()+"/a", body); code != 200 || text != "/a "+body || err != nil {
					t.Fatalf("%d: %d, %d bytes, %v", i, code, len(text), err)
				}
			}
			if runs.Load() != 30 {
				t.Errorf("%d ran", runs.Load())
			}
		})
	}
}

// A request whose answer the caller does not read ends after WriteTimeout, and others are served meanwhile.
func TestSlowReader(t *testing.T) {
	ended := make(chan bool, 1)
	test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/large" {
			echo(w, r)
			return
		}
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 32<<10)); err != nil {
				break
			}
		}
		ended <- true
	}, func(_ *FrontSettings, b *Bounds, _ *Security) { b.WriteTimeout = 500 * time.Millisecond })
	c := test.caller(nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, "GET", "https://"+test.address()+"/large", nil)
	res, err := c.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }() // nothing of it is read
	if code, _, err := ask(c, "GET", test.address()+"/", ""); code != 200 || err != nil {
		t.Errorf("another one: %d %v", code, err)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("it goes on writing")
	}
}
