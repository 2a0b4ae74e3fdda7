package main

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"quincegap/internal/standin/authority"
)

func newAuthority(tb testing.TB) *authority.Authority {
	tb.Helper()
	a, err := authority.New()
	if err != nil {
		tb.Fatal(err)
	}
	return a
}

func issue(tb testing.TB, a *authority.Authority, name string) (cert, key []byte) {
	tb.Helper()
	cert, key, err := a.Issue(name, time.Hour)
	if err != nil {
		tb.Fatal(err)
	}
	return cert, key
}

// tlsFront is a Consul over TLS that asks for a client certificate, and the files that a sidecar has for it.
type tlsFront struct {
	*httptest.Server
	t   *testing.T
	ca  *authority.Authority
	dir string

	mu   sync.Mutex
	seen map[string]int // questions, by the name of the certificate that was shown
}

// startTLSFront serves a town's Consul over TLS.
func startTLSFront(t *testing.T, tn *consulRig) *tlsFront {
	t.Helper()
	f := &tlsFront{t: t, ca: newAuthority(t), dir: t.TempDir(), seen: map[string]int{}}
	own, err := f.ca.Pair("consul.example.org")
	if err != nil {
		t.Fatal(err)
	}
	f.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.seen[r.TLS.PeerCertificates[0].Subject.CommonName]++
		f.mu.Unlock()
		tn.consul.ServeHTTP(w, r)
	}))
	f.TLS = &tls.Config{Certificates: []tls.Certificate{*own}, ClientCAs: f.ca.Pool(), ClientAuth: tls.RequireAndVerifyClientCert}
	f.StartTLS()
	t.Cleanup(f.Close)
	return f
}

// asked is how many questions came with a certificate of a name.
func (f *tlsFront) asked(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[name]
}

// put replaces a file at one stroke.
func (f *tlsFront) put(name string, text []byte) string {
	f.t.Helper()
	at := filepath.Join(f.dir, name)
	putFile(f.t, at+".new", string(text))
	if err := os.Rename(at+".new", at); err != nil {
		f.t.Fatal(err)
	}
	return at
}

// renew replaces the sidecar's certificate by one that an authority has signed.
func (f *tlsFront) renew(ca *authority.Authority, name string) (cert, key string) {
	f.t.Helper()
	certText, keyText := issue(f.t, ca, name)
	key = f.put("key.pem", keyText)
	return f.put("cert.pem", certText), key
}

// Consul over TLS asks for a client certificate. It is replaced while the sidecar runs, as is done before one
// runs out; the new one goes with the next connection.
func TestConsulOverTLS(t *testing.T) {
	t.Parallel()
	tn := startConsulRig(t, 3)
	front := startTLSFront(t, tn)
	cert, key := front.renew(front.ca, "first")
	file := strings.Replace(tn.text("127.0.0.1:1", "consul"), tn.consul.Address(), front.Listener.Addr().String(), 1)
	file = strings.Replace(file, "[consul]\n", fmt.Sprintf("[consul]\nconsul_tls = true\ntls_ca_file = %q\ntls_cert_file = %q\ntls_key_file = %q\ntls_server_name = \"consul.example.org\"\n",
		front.put("ca.pem", front.ca.PEM()), cert, key), 1)
	tn.open(file)
	tn.awaitReady("box-0", "box-1", "box-2")
	tn.awaitServed(50)
	tn.checkDrained(tn.endpoints[0], tn.consul.SetStatus("box-0", "critical"))
	if front.asked("first") == 0 {
		t.Error("the certificate was not asked for")
	}
	front.renew(front.ca, "second")
	front.CloseClientConnections()
	tn.until("the new certificate is used", func() bool { return front.asked("second") > 0 })
	tn.checkDrained(tn.endpoints[1], tn.consul.SetStatus("box-1", "critical"))
	tn.awaitReady("box-2")

	// One that another authority signed is refused, and what is known goes on.
	front.renew(newAuthority(t), "stranger")
	front.CloseClientConnections()
	tn.p.awaitLog("consul: agent " + front.Listener.Addr().String() + ":")
	tn.awaitServed(100)
	if n := front.asked("stranger"); n > 0 {
		t.Errorf("%d questions of a stranger were heard", n)
	}
	front.renew(front.ca, "third")
	tn.until("it is heard again", func() bool { return front.asked("third") > 0 })
	tn.consul.SetStatus("box-0", "passing")
	tn.awaitReady("box-0", "box-2")
	tn.stopCallers()
}
