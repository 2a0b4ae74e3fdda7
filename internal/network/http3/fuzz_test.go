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

// Whatever a caller writes on its streams, the front goes on serving others, and its handler gets whole requests
// alone.
func FuzzRequestStream(f *testing.F) {
	for _, seed := range []string{
		"", "\x01", "\x01\x00", "\x00\x04trip", "\x01\x03\x00\x00\xd1", "\x01\x40\x40", "\x04\x00", "\x07\x01\x00", "\x21\x02xx",
		"\x01\x0d\x00\x00\xd1\xd7\x50\x01a\xc1\x27\x00\x00\x00\x00\x00",
	} {
		f.Add([]byte(seed), []byte("\x00\x04\x00"))
		f.Add([]byte(seed), []byte(seed))
	}
	ca := newAuthority(f)
	cert := newCertificate(f, ca, "front.example.org")
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	front, err := NewFront(socket, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "" || r.RequestURI == "" || exchange.CallerOf(r) == nil {
			f.Errorf("a request %+v", r)
		}
		if _, err := exchange.ReadAll(r.Body); err != nil {
			w.WriteHeader(400)
		}
	}), *FrontTable.Default(), Bounds{MaxHeaderBytes: 8 << 10, RequestTimeout: time.Second, IdleTimeout: time.Second, WriteTimeout: time.Second},
		Security{Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert, nil }})
	if err != nil {
		f.Fatal(err)
	}
	go front.Serve()
	f.Cleanup(func() { front.Close() })
	conf := &tls.Config{RootCAs: ca.Pool(), ServerName: "front.example.org", NextProtos: []string{"h3"}}
	good := (&testFront{pool: ca.Pool()}).client()
	f.Cleanup(func() { good.Close() })
	f.Fuzz(func(t *testing.T, request, control []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		conn, err := quic.DialAddr(ctx, front.Address().String(), conf, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.CloseWithError(0x100, "")
		if s, err := conn.OpenUniStream(); err == nil {
			s.Write(control)
			s.Close()
		}
		if s, err := conn.OpenStreamSync(ctx); err == nil {
			s.Write(request)
			s.Close()
			s.SetReadDeadline(time.Now().Add(testTimeout))
			io.Copy(io.Discard, s) // an answer, a reset or the connection's end: never silence
			if ctx.Err() != nil {
				t.Errorf("silence after %q", request)
			}
		}
		if code, _, err := ask(good, "GET", front.Address().String()+"/", ""); err != nil || code != 200 {
			t.Errorf("another caller: %d, %v", code, err)
		}
	})
}

// Whatever an endpoint writes, the attempt ends, and what may have run does not pass for what never ran.
func FuzzAnswerStream(f *testing.F) {
	for _, seed := range []string{"", "\x01", "\x01\x03\x00\x00\xd9", "\x01\x03\x00\x00\xd9\x00\x02ok", "\x00\x02ok", "\x01\x03\x00\x00\xd9\x00\x40\x40ok", "\x01\x03\x00\x00\xd8", "\x04\x00"} {
		f.Add([]byte(seed), []byte("\x00\x04\x00"))
	}
	ca := newAuthority(f)
	cert := newCertificate(f, ca, "slot-keeper.example.org")
	under, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	server := &quic.Transport{Conn: under}
	l, err := server.Listen(&tls.Config{Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h3"}}, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() {
		l.Close()
		server.Close() // and its connections
		under.Close()
	})
	var now atomic.Value // of [2][]byte: an answer, and what goes on the control stream
	go func() {
		for {
			conn, err := l.Accept(context.Background())
			if err != nil {
				return
			}
			go func() {
				a := now.Load().([2][]byte)
				if s, err := conn.OpenUniStream(); err == nil {
					s.Write(a[1])
				}
				s, err := conn.AcceptStream(context.Background())
				if err != nil {
					return
				}
				io.Copy(io.Discard, s)
				s.Write(a[0])
				s.Close()
			}()
		}
	}()
	f.Fuzz(func(t *testing.T, answer, control []byte) {
		socket, err := net.ListenUDP("udp", nil)
		if err != nil {
			t.Fatal(err)
		}
		set := *TransportTable.Default()
		set.ServerName, set.HandshakeTimeout = "slot-keeper.example.org", testTimeout
		to := NewTransport(socket, set, ca.Pool(), 4, time.Minute)
		defer to.Close()
		e := &exchange.Endpoint{Address: l.Addr().String()}
		e.Open.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		a := &exchange.Attempt{Request: &exchange.Inbound{Method: "POST", Target: "/", Host: "h", Body: []byte("trip")}, Endpoint: e, Sent: time.Now(), Context: ctx, Bodies: largeBudget()}
		now.Store([2][]byte{answer, control})
		c, _ := to.Acquire(e, time.Now())
		res := to.Run(a, c)
		if res.Status.NeverRan() || res.Status == balancer.StatusTimeout || res.Unreachable {
			t.Errorf("%q gave %v", answer, res.Status)
		}
		if res.Response != nil && len(res.Response.Body) > exchange.MaxBody {
			t.Error("a body beyond its bound")
		}
		to.Release(e, c, res.Conn)
		e.Open.Store(false)
		to.CloseIdle(e)
	})
}
