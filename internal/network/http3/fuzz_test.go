package http3

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// startFuzzed starts a front whose handler fails the test if a request is incomplete. The caller of startFuzzed closes the front.
func startFuzzed(f *testing.F, cert *tls.Certificate) *Front {
	f.Helper()
	front, err := NewFront(listenUDP(f), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "" || r.RequestURI == "" || exchange.CallerOf(r) == nil {
			f.Errorf("the handler got a request without method, target or Caller: %+v", r)
		}
		if _, err := exchange.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}), *FrontTable.Default(), Bounds{MaxHeaderBytes: 8 << 10, RequestTimeout: time.Second, IdleTimeout: time.Second, WriteTimeout: time.Second},
		Security{Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert, nil }})
	if err != nil {
		f.Fatal(err)
	}
	go func() {
		if err := front.Serve(); err != nil {
			f.Error(err)
		}
	}()
	return front
}

// Regardless of what a caller writes on its streams, the front serves other callers, and its handler gets complete requests only.
func FuzzRequestStream(f *testing.F) {
	for _, seed := range []string{
		"", "\x01", "\x01\x00", "\x00\x04trip", "\x01\x03\x00\x00\xd1", "\x01\x40\x40", "\x04\x00", "\x07\x01\x00", "\x21\x02xx",
		"\x01\x0d\x00\x00\xd1\xd7\x50\x01a\xc1\x27\x00\x00\x00\x00\x00",
	} {
		f.Add([]byte(seed), []byte("\x00\x04\x00"))
		f.Add([]byte(seed), []byte(seed))
	}
	ca := newAuthority(f)
	front := startFuzzed(f, newCertificate(f, ca, frontName))
	wellBehaved := newClient(ca.Pool())
	f.Cleanup(func() { closeAll(f, wellBehaved, front) })
	config := clientConfig(ca.Pool(), nil)
	f.Fuzz(func(t *testing.T, request, control []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		conn, err := quic.DialAddr(ctx, front.Address().String(), config, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer closeConn(conn, noError)
		if s, err := conn.OpenUniStream(); err == nil {
			send(s, control)
		}
		if s, err := conn.OpenStreamSync(ctx); err == nil {
			send(s, request)
			if err := s.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Error(err)
			}
			_, _ = io.Copy(io.Discard, s) // ends with a response, a reset or the end of the connection
			if ctx.Err() != nil {
				t.Errorf("the stream did not end within %v after %q", testTimeout, request)
			}
		}
		if code, _, err := ask(wellBehaved, "GET", front.Address().String()+"/", ""); err != nil || code != 200 {
			t.Errorf("another caller: got status %d, error %v; want status 200", code, err)
		}
	})
}

// send writes b to a stream and closes it. Errors are ignored, since the peer may have stopped the stream.
func send(s io.WriteCloser, b []byte) {
	_, _ = s.Write(b)
	_ = s.Close()
}

// rawEndpoint is a QUIC server that responds with given bytes.
type rawEndpoint struct {
	listener *quic.Listener
	answer   atomic.Value // [2][]byte: the bytes of the request's stream and those of the control stream
}

// startRaw starts a rawEndpoint, which is closed at the end of the test.
func startRaw(f *testing.F, cert *tls.Certificate) *rawEndpoint {
	f.Helper()
	socket := listenUDP(f)
	server := &quic.Transport{Conn: socket}
	l, err := server.Listen(&tls.Config{Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h3"}}, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { closeAll(f, l, server, socket) }) // the server closes its connections
	e := &rawEndpoint{listener: l}
	go e.serve()
	return e
}

// serve accepts connections until the listener is closed.
func (r *rawEndpoint) serve() {
	for {
		conn, err := r.listener.Accept(context.Background())
		if err != nil {
			return
		}
		go r.respond(conn)
	}
}

// respond responds to one request of a connection.
func (r *rawEndpoint) respond(conn *quic.Conn) {
	answer := r.answer.Load().([2][]byte)
	if s, err := conn.OpenUniStream(); err == nil {
		_, _ = s.Write(answer[1]) // the control stream stays open
	}
	s, err := conn.AcceptStream(context.Background())
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, s)
	send(s, answer[0])
}

// Regardless of what an endpoint writes, the attempt ends, and its status does not tell that the request was not executed.
func FuzzAnswerStream(f *testing.F) {
	for _, seed := range []string{
		"", "\x01", "\x01\x03\x00\x00\xd9", "\x01\x03\x00\x00\xd9\x00\x02ok", "\x00\x02ok", "\x01\x03\x00\x00\xd9\x00\x40\x40ok",
		"\x01\x03\x00\x00\xd8", "\x04\x00",
	} {
		f.Add([]byte(seed), []byte("\x00\x04\x00"))
	}
	ca := newAuthority(f)
	raw := startRaw(f, newCertificate(f, ca, endpointName))
	f.Fuzz(func(t *testing.T, answer, control []byte) {
		socket, err := net.ListenUDP("udp", nil)
		if err != nil {
			t.Fatal(err)
		}
		settings := *TransportTable.Default()
		settings.ServerName = endpointName
		settings.HandshakeTimeout = testTimeout
		transport := NewTransport(socket, settings, ca.Pool(), 4, time.Minute)
		defer transport.Close()
		endpoint := &exchange.Endpoint{Address: raw.listener.Addr().String()}
		endpoint.Open.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		a := &exchange.Attempt{
			Request:  &exchange.Inbound{Method: "POST", Target: "/", Host: "h", Body: []byte("trip")},
			Endpoint: endpoint, Sent: time.Now(), Context: ctx, Bodies: largeBudget(),
		}
		raw.answer.Store([2][]byte{answer, control})
		c, _ := transport.Acquire(endpoint, time.Now())
		res := transport.Run(a, c)
		if res.Status.NeverRan() || res.Status == balancer.StatusTimeout || res.Unreachable {
			t.Errorf("response %q: got status %v, unreachable %v; want a status of a request that may have been executed",
				answer, res.Status, res.Unreachable)
		}
		if res.Response != nil && len(res.Response.Body) > exchange.MaxBody {
			t.Errorf("got a body of %d bytes, want at most %d", len(res.Response.Body), exchange.MaxBody)
		}
		transport.Release(endpoint, c, res.Conn)
		endpoint.Open.Store(false)
		transport.CloseIdle(endpoint)
	})
}
