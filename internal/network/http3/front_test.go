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

func TestFrontServesRequests(t *testing.T) {
	test := openFront(t, echo, nil)
	client := test.caller(nil)
	for i := range 3 {
		code, text, err := ask(client, "POST", test.address()+"/trips?a=1", "trip")
		if code != 200 || text != "/trips?a=1 trip" || err != nil {
			t.Fatalf("request %d: got status %d, body %q, error %v; want status 200 and the body /trips?a=1 trip", i, code, text, err)
		}
	}
	open, idle, handshakes := test.front.Counts()
	if open != 1 || handshakes != 0 {
		t.Errorf("got %d connections, %d idle, %d handshakes; want 1 connection and 0 handshakes", open, idle, handshakes)
	}
	test.until("the connection is idle", func() bool { _, idle, _ := test.front.Counts(); return idle == 1 })
	if test.front.Quiet(0) {
		t.Error("Quiet(0) is true though a connection is open")
	}
	closeAll(t, client)
	test.until("the closed connection is removed", func() bool { open, idle, _ := test.front.Counts(); return open+idle == 0 })
}

// A caller sends a thousand concurrent requests on one connection. Those above the limit on streams wait at the caller, and all get a
// response.
func TestThousandStreams(t *testing.T) {
	var concurrent, highest atomic.Int64
	test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
		if n := concurrent.Add(1); n > highest.Load() {
			highest.Store(n)
		}
		time.Sleep(time.Millisecond)
		concurrent.Add(-1)
		echo(w, r)
	}, func(s *FrontSettings, _ *Bounds, _ *Security) { s.MaxStreams = 50 })
	client := test.caller(nil)
	var all sync.WaitGroup
	for i := range 1000 {
		all.Go(func() {
			target := fmt.Sprintf("/%d", i)
			if code, text, err := ask(client, "POST", test.address()+target, "x"); code != 200 || text != target+" x" || err != nil {
				t.Errorf("request %d: got status %d, body %q, error %v; want status 200 and the body %s x", i, code, text, err, target)
			}
		})
	}
	all.Wait()
	if highest.Load() > 50 {
		t.Errorf("%d requests were processed concurrently, want at most 50", highest.Load())
	}
}

// A new connection at the limit on connections replaces one that is fresh or idle, and never one with a request in progress.
func TestFrontAtLimitClosesInactiveConnections(t *testing.T) {
	serve := make(chan bool)
	test := openFront(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-serve
		}
		echo(w, r)
	}, func(s *FrontSettings, _ *Bounds, _ *Security) { s.MaxConnections = 4 })
	busy := test.caller(nil)
	answered := askSlow(busy, test.address())
	test.until("the request is in progress", func() bool { open, idle, _ := test.front.Counts(); return open == 1 && idle == 0 })
	for i := range 12 {
		if code, _, err := ask(test.caller(nil), "GET", test.address()+"/", ""); code != 200 || err != nil {
			t.Fatalf("connection %d: got status %d, error %v; want status 200", i, code, err)
		}
	}
	if open, _, _ := test.front.Counts(); open > 4 {
		t.Errorf("%d connections are open, want at most 4", open)
	}
	close(serve)
	if err := <-answered; err != nil {
		t.Errorf("request on the busy connection: %v", err)
	}
}

// A connection without a request, or with only a part of one, is closed after its timeout even if the caller sends keep-alive packets.
func TestConnectionsWithoutRequestAreClosed(t *testing.T) {
	test := openFront(t, echo, func(_ *FrontSettings, b *Bounds, _ *Security) {
		b.RequestTimeout = 300 * time.Millisecond
		b.IdleTimeout = 700 * time.Millisecond
	})
	for name, data := range map[string]string{"nothing": "", "half a header": "\x01\x40", "part of a header": "\x01\x20\x00\x00\xd1"} {
		keepAlive := &quic.Config{KeepAlivePeriod: 50 * time.Millisecond}
		conn, err := quic.DialAddr(t.Context(), test.address(), test.tlsConfig(nil), keepAlive)
		if err != nil {
			t.Fatal(err)
		}
		str, err := conn.OpenStreamSync(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := str.Write([]byte(data)); err != nil {
			t.Error(err)
		}
		select {
		case <-conn.Context().Done():
		case <-time.After(testTimeout):
			t.Errorf("%s: the connection is still open after %v", name, testTimeout)
		}
		closeConn(conn, 0)
	}
	test.until("all connections are removed", func() bool { open, _, _ := test.front.Counts(); return open == 0 })
}

// During a flood of Initials whose senders do not complete their handshakes, the number of handshakes stays limited, and a caller that
// responds to a Retry is served.
func TestFloodOfInitials(t *testing.T) {
	test := openFront(t, echo, func(s *FrontSettings, _ *Bounds, _ *Security) {
		s.MaxHandshakes = 8
		s.HandshakeTimeout = 500 * time.Millisecond
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
			for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) { // leaves CPU time for the callers on a small machine
				dialCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				config := test.tlsConfig(nil)
				if conn, err := quic.DialAddr(dialCtx, relay.Address(), config, nil); err == nil {
					t.Error("a caller that gets no replies completed its handshake")
					closeConn(conn, 0)
				}
				cancel()
			}
		})
	}
	test.until("at least 4 handshakes are in progress", func() bool { _, _, n := test.front.Counts(); return n >= 4 })
	for i := range 5 {
		if code, _, err := ask(test.caller(nil), "GET", test.address()+"/", ""); code != 200 || err != nil {
			t.Errorf("caller %d: got status %d, error %v; want status 200", i, code, err)
		}
		if _, _, n := test.front.Counts(); n > 8 {
			t.Errorf("%d handshakes are in progress, want at most 8", n)
		}
	}
	stop()
	flood.Wait()
	test.until("no handshake is in progress", func() bool { _, _, n := test.front.Counts(); return n == 0 })
}

// After Stop is called, accepted requests are completed, new ones are rejected as not processed, and the front ends.
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
	test.until("the request is in progress", func() bool { open, idle, _ := test.front.Counts(); return open == 1 && idle == 0 })
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		stopped <- test.front.Stop(ctx)
	}()
	// Simulates a caller that has not received the GOAWAY yet and opens another stream.
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
		t.Error("a request on a new connection was served after Stop")
	}
	close(serve)
	if err := <-answered; err != nil {
		t.Errorf("accepted request: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Stop returned %v, want nil", err)
	}
}

// A caller whose address changes during a request gets one response, and its connection counts once.
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
	client := test.caller(nil)
	client.QUICConfig.KeepAlivePeriod = 50 * time.Millisecond
	answered := make(chan string, 1)
	go func() {
		code, text, err := ask(client, "POST", relay.Address()+"/a", "trip")
		answered <- fmt.Sprint(code, text, err)
	}()
	test.until("the request is in progress", func() bool { return runs.Load() == 1 })
	relay.Rebind()
	before := relay.Received()
	test.until("packets arrive from the new port", func() bool { return relay.Received() > before+2 })
	if open, _, _ := test.front.Counts(); open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
	close(serve)
	if got := <-answered; got != "200/a trip<nil>" {
		t.Errorf("got status, body and error %s, want 200/a trip<nil>", got)
	}
	if runs.Load() != 1 {
		t.Errorf("the request was executed %d times, want once", runs.Load())
	}
}

// quicTransport returns a transport on a new socket. Both are closed at the end of the test.
func quicTransport(t *testing.T) *quic.Transport {
	t.Helper()
	socket := listenUDP(t)
	transport := &quic.Transport{Conn: socket}
	t.Cleanup(func() { closeAll(t, transport, socket) })
	return transport
}

// readAnswer reads the response to a stream's request in the background, and sends its status, body and error.
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

// A caller that migrates to another socket during a request gets one response, and its connection counts once.
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
	// RoundTrip is not used because it would read the connection's address concurrently with the migration, which changes it.
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
	test.until("the request is in progress", func() bool { return runs.Load() == 1 })
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
		t.Errorf("got status, body and error %s after %d executions, want 200/a <nil> after 1", got, runs.Load())
	}
	if open, _, _ := test.front.Counts(); open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
}

// No response is lost if datagrams are lost, reordered or duplicated, or if the path's MTU shrinks.
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
			client := test.caller(nil)
			client.QUICConfig.DisablePathMTUDiscovery = true // the caller's packets must fit the path too
			body := strings.Repeat("trip ", 2000)
			for i := range 30 {
				if i == 10 {
					relay.SetFault(fault)
				}
				if code, text, err := ask(client, "POST", relay.Address()+"/a", body); code != 200 || text != "/a "+body || err != nil {
					t.Fatalf("request %d: got status %d, %d bytes, error %v; want status 200 and the echo of %d bytes", i, code, len(text), err, len(body))
				}
			}
			if runs.Load() != 30 {
				t.Errorf("%d requests were executed, want 30", runs.Load())
			}
		})
	}
}

// If a caller does not read the response, the request ends after WriteTimeout. Other requests on the connection are served in the meantime.
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
	client := test.caller(nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "GET", "https://"+test.address()+"/large", nil)
	res, err := client.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }() // the body is not read
	if code, _, err := ask(client, "GET", test.address()+"/", ""); code != 200 || err != nil {
		t.Errorf("another request: got status %d, error %v; want status 200", code, err)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Errorf("the handler is still writing after %v", testTimeout)
	}
}
