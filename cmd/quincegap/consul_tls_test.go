package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// authority makes certificates that hold for an hour.
type authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	n    int64
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	a := &authority{t: t}
	der, key := a.sign(&x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, Subject: pkix.Name{CommonName: "tests"}})
	var err error
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.key = key
	return a
}

func (a *authority) sign(c *x509.Certificate) ([]byte, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.n++
	c.SerialNumber, c.NotBefore, c.NotAfter = big.NewInt(a.n), time.Now().Add(-time.Minute), time.Now().Add(time.Hour)
	parent, by := a.cert, a.key
	if parent == nil {
		parent, by = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, by)
	if err != nil {
		a.t.Fatal(err)
	}
	return der, key
}

// issue makes a certificate for a name, as PEM with its key.
func (a *authority) issue(name string) (cert, key []byte) {
	a.t.Helper()
	der, k := a.sign(&x509.Certificate{Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	text, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: text})
}

func (a *authority) pem() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// Consul over TLS asks for a client certificate. It is replaced while the sidecar runs, as is done before one
// runs out; the new one goes with the next connection.
func TestConsulOverTLS(t *testing.T) {
	t.Parallel()
	tn := build(t, 3)
	ca := newAuthority(t)
	text, key := ca.issue("consul.example.org")
	own, err := tls.X509KeyPair(text, key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	var mu sync.Mutex
	seen := map[string]int{}
	front := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.TLS.PeerCertificates[0].Subject.CommonName]++
		mu.Unlock()
		tn.consul.ServeHTTP(w, r)
	}))
	front.TLS = &tls.Config{Certificates: []tls.Certificate{own}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	front.StartTLS()
	t.Cleanup(front.Close)
	names := func(name string) int {
		mu.Lock()
		defer mu.Unlock()
		return seen[name]
	}
	dir := t.TempDir()
	put := func(name string, text []byte) string {
		t.Helper()
		at := filepath.Join(dir, name)
		if err := os.WriteFile(at+".new", text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(at+".new", at); err != nil {
			t.Fatal(err)
		}
		return at
	}
	cert, priv := ca.issue("first")
	file := strings.Replace(tn.text("127.0.0.1:1", "consul"), tn.consul.Address(), front.Listener.Addr().String(), 1)
	file = strings.Replace(file, "[consul]\n", fmt.Sprintf("[consul]\nconsul_tls = true\ntls_ca_file = %q\ntls_cert_file = %q\ntls_key_file = %q\ntls_server_name = \"consul.example.org\"\n",
		put("ca.pem", ca.pem()), put("cert.pem", cert), put("key.pem", priv)), 1)
	tn.open(file)
	tn.shows("box-0", "box-1", "box-2")
	tn.goOn(50)
	tn.drained(tn.boxes[0], tn.consul.SetStatus("box-0", "critical"))
	if names("first") == 0 {
		t.Error("the certificate was not asked for")
	}
	cert, priv = ca.issue("second")
	put("key.pem", priv)
	put("cert.pem", cert)
	front.CloseClientConnections()
	tn.until("the new certificate is used", func() bool { return names("second") > 0 })
	tn.drained(tn.boxes[1], tn.consul.SetStatus("box-1", "critical"))
	tn.shows("box-2")

	// One that another authority signed is refused, and what is known goes on.
	cert, priv = newAuthority(t).issue("stranger")
	put("key.pem", priv)
	put("cert.pem", cert)
	front.CloseClientConnections()
	tn.p.said("consul: agent " + front.Listener.Addr().String() + ":")
	tn.goOn(100)
	if n := names("stranger"); n > 0 {
		t.Errorf("%d questions of a stranger were heard", n)
	}
	cert, priv = ca.issue("third")
	put("key.pem", priv)
	put("cert.pem", cert)
	tn.until("it is heard again", func() bool { return names("third") > 0 })
	tn.consul.SetStatus("box-0", "passing")
	tn.shows("box-0", "box-2")
	tn.calm()
}
