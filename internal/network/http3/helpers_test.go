package http3

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"quincegap/internal/network/exchange"
	"quincegap/internal/standin/authority"
)

const (
	testTimeout  = 20 * time.Second
	frontName    = "front.example.org"
	endpointName = "slot-keeper.example.org"
)

// noError is the error code H3_NO_ERROR.
const noError = quic.ApplicationErrorCode(http3.ErrCodeNoError)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newAuthority returns a new certificate authority.
func newAuthority(tb testing.TB) *authority.Authority {
	tb.Helper()
	a, err := authority.New()
	if err != nil {
		tb.Fatal(err)
	}
	return a
}

// newCertificate returns a certificate for a name that an authority has signed.
func newCertificate(tb testing.TB, a *authority.Authority, name string) *tls.Certificate {
	tb.Helper()
	certificate, err := a.Pair(name)
	if err != nil {
		tb.Fatal(err)
	}
	return certificate
}

// listenUDP returns a UDP socket on the loopback interface.
func listenUDP(tb testing.TB) *net.UDPConn {
	tb.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	return socket
}

// clientConfig returns the TLS configuration for a caller of a front.
func clientConfig(pool *x509.CertPool, cache tls.ClientSessionCache) *tls.Config {
	return &tls.Config{RootCAs: pool, ServerName: frontName, NextProtos: []string{"h3"}, ClientSessionCache: cache}
}

// newClient returns an HTTP/3 client of a front.
func newClient(pool *x509.CertPool) *http3.Transport {
	return &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: frontName},
		QUICConfig:      &quic.Config{MaxIdleTimeout: 10 * time.Second, HandshakeIdleTimeout: testTimeout},
	}
}

// testFront is a running front and what is needed to restart it.
type testFront struct {
	t        *testing.T
	front    *Front
	served   chan error
	pool     *x509.CertPool
	settings FrontSettings
	bounds   Bounds
	security Security
	handler  http.Handler
	close    func()
}

// openFront starts a front on a free port. change modifies its settings unless it is nil. The front is closed at the end of the test.
func openFront(t *testing.T, handler http.HandlerFunc, change func(*FrontSettings, *Bounds, *Security)) *testFront {
	t.Helper()
	ca := newAuthority(t)
	certificate := newCertificate(t, ca, frontName)
	f := &testFront{
		t:        t,
		pool:     ca.Pool(),
		settings: *FrontTable.Default(),
		handler:  handler,
		bounds:   Bounds{MaxHeaderBytes: 8 << 10, RequestTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second},
		security: Security{Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificate, nil }},
	}
	if change != nil {
		change(&f.settings, &f.bounds, &f.security)
	}
	f.start("127.0.0.1:0")
	t.Cleanup(func() { f.close() })
	return f
}

// start starts a front at an address; after close it restarts the front.
func (f *testFront) start(address string) {
	f.t.Helper()
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		f.t.Fatal(err)
	}
	front, err := NewFront(socket, f.handler, f.settings, f.bounds, f.security)
	if err != nil {
		f.t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- front.Serve() }()
	f.front = front
	f.served = served
	f.close = sync.OnceFunc(func() {
		if err := front.Close(); err != nil {
			f.t.Errorf("Close of the front returned %v, want nil", err)
		}
		if err := <-served; err != nil {
			f.t.Errorf("Serve of the front returned %v, want nil", err)
		}
	})
}

// caller returns a client of the front, which is closed at the end of the test.
func (f *testFront) caller(cache tls.ClientSessionCache) *http3.Transport {
	f.t.Helper()
	client := newClient(f.pool)
	client.TLSClientConfig.ClientSessionCache = cache
	f.t.Cleanup(func() { closeAll(f.t, client) })
	return client
}

// tlsConfig returns the TLS configuration for a caller of this front.
func (f *testFront) tlsConfig(cache tls.ClientSessionCache) *tls.Config {
	return clientConfig(f.pool, cache)
}

func (f *testFront) address() string { return f.front.Address().String() }

// until waits until a condition is true; what describes the condition. It fails the test after testTimeout.
func (f *testFront) until(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not reached within %v: %s", testTimeout, what)
		}
	}
}

// ask makes a request and reads the response.
func ask(client http.RoundTripper, method, url string, body string) (code int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "https://"+url, reader)
	if err != nil {
		return 0, "", err
	}
	res, err := client.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	all, err := io.ReadAll(res.Body)
	return res.StatusCode, string(all), err
}

// askSlow makes a request for /slow in the background, and sends its error; nil for a response with status 200.
func askSlow(client http.RoundTripper, address string) <-chan error {
	answered := make(chan error, 1)
	go func() {
		code, _, err := ask(client, "GET", address+"/slow", "")
		if code != 200 && err == nil {
			err = fmt.Errorf("got status %d, want 200", code)
		}
		answered <- err
	}()
	return answered
}

// echo responds with the request's target and body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply(w, fmt.Sprintf("%s %s", r.RequestURI, body))
}

// reply writes a response body. Errors are ignored, since the caller may have disconnected.
func reply(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// closeConn closes a connection with an error code. CloseWithError never fails.
func closeConn(conn *quic.Conn, code quic.ApplicationErrorCode) { _ = conn.CloseWithError(code, "") }

// closeAll closes sockets, streams and clients, which may have been closed before.
func closeAll(tb testing.TB, all ...io.Closer) {
	tb.Helper()
	for _, c := range all {
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			tb.Error(err)
		}
	}
}

// largeBudget returns a memory budget that is sufficient for every test.
func largeBudget() *exchange.Budget {
	b := &exchange.Budget{}
	b.Release(1 << 30)
	return b
}
