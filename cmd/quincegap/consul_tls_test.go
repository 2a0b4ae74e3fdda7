package main

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"quincegap/internal/standin/authority"
)

// tlsFront serves Consul over TLS and requires a client certificate. It has the files that a sidecar needs for that.
type tlsFront struct {
	*httptest.Server
	t   *testing.T
	ca  *authority.Authority
	dir string

	mu      sync.Mutex
	queries map[string]int // by the name in the client certificate
}

// startTLSFront serves the Consul of a rig over TLS.
func startTLSFront(t *testing.T, rig *consulRig) *tlsFront {
	t.Helper()
	front := &tlsFront{t: t, ca: newAuthority(t), dir: t.TempDir(), queries: map[string]int{}}
	own, err := front.ca.Pair("consul.example.org")
	if err != nil {
		t.Fatal(err)
	}
	front.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		front.mu.Lock()
		front.queries[r.TLS.PeerCertificates[0].Subject.CommonName]++
		front.mu.Unlock()
		rig.consul.ServeHTTP(w, r)
	}))
	front.TLS = &tls.Config{Certificates: []tls.Certificate{*own}, ClientCAs: front.ca.Pool(), ClientAuth: tls.RequireAndVerifyClientCert}
	front.StartTLS()
	t.Cleanup(front.Close)
	return front
}

// queryCount returns the number of queries with a client certificate of a name.
func (f *tlsFront) queryCount(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queries[name]
}

// put replaces a file and returns its path.
func (f *tlsFront) put(name string, text []byte) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	replaceFile(f.t, path, string(text))
	return path
}

// renew replaces the sidecar's certificate and key by ones that an authority issues, and returns their paths.
func (f *tlsFront) renew(ca *authority.Authority, name string) (cert, key string) {
	f.t.Helper()
	certText, keyText := issue(f.t, ca, name)
	key = f.put("key.pem", keyText)
	return f.put("cert.pem", certText), key
}

// consulTLSFile is the head of [consul] with the settings for TLS, without the paths of the files.
const consulTLSFile = `[consul]
consul_tls = true
tls_ca_file = %q
tls_cert_file = %q
tls_key_file = %q
tls_server_name = "consul.example.org"
`

// Consul is served over TLS and requires a client certificate. It is replaced while the sidecar runs, as operators do before it expires;
// the next connection uses the new one.
func TestConsulOverTLS(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 3)
	front := startTLSFront(t, rig)
	cert, key := front.renew(front.ca, "first")
	file := strings.Replace(rig.config("127.0.0.1:1", "consul"), rig.consul.Address(), front.Listener.Addr().String(), 1)
	settings := fmt.Sprintf(consulTLSFile, front.put("ca.pem", front.ca.PEM()), cert, key)
	file = strings.Replace(file, "[consul]\n", settings, 1)
	rig.startSidecar(file)
	rig.awaitReady("box-0", "box-1", "box-2")
	rig.awaitServed(50)
	rig.checkDrained(rig.endpoints[0], rig.consul.SetStatus("box-0", "critical"))
	if front.queryCount("first") == 0 {
		t.Error("no query came with the certificate")
	}
	front.renew(front.ca, "second")
	front.CloseClientConnections()
	rig.await("the new certificate is used", func() bool { return front.queryCount("second") > 0 })
	rig.checkDrained(rig.endpoints[1], rig.consul.SetStatus("box-1", "critical"))
	rig.awaitReady("box-2")

	// A certificate that another authority has signed is rejected, and the sidecar continues with the endpoints that it has.
	front.renew(newAuthority(t), "stranger")
	front.CloseClientConnections()
	rig.sidecar.awaitLog("consul: agent " + front.Listener.Addr().String() + ":")
	rig.awaitServed(100)
	if n := front.queryCount("stranger"); n > 0 {
		t.Errorf("%d queries with the certificate of another authority were answered", n)
	}
	front.renew(front.ca, "third")
	rig.await("the third certificate is used", func() bool { return front.queryCount("third") > 0 })
	rig.consul.SetStatus("box-0", "passing")
	rig.awaitReady("box-0", "box-2")
	rig.stopCallers()
}
