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

// tlsFront is a server that provides the rig's Consul over TLS and requires a client certificate. It writes the files that a sidecar needs
// to connect to it.
type tlsFront struct {
	*httptest.Server
	t   *testing.T
	ca  *authority.Authority
	dir string // the directory of the sidecar's files

	mu      sync.Mutex
	queries map[string]int // the number of queries by the common name in the client certificate
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

// queryCount returns the number of queries whose client certificate has the given common name.
func (f *tlsFront) queryCount(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queries[name]
}

// put replaces a file of the sidecar and returns its path.
func (f *tlsFront) put(name string, text []byte) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	replaceFile(f.t, path, string(text))
	return path
}

// renew replaces the sidecar's certificate and key by new ones that an authority issues for a name, and returns their paths.
func (f *tlsFront) renew(ca *authority.Authority, name string) (cert, key string) {
	f.t.Helper()
	certText, keyText := issue(f.t, ca, name)
	key = f.put("key.pem", keyText)
	return f.put("cert.pem", certText), key
}

// consulTLSFile is the first part of table [consul], with the settings for TLS. The paths of the files are filled in.
const consulTLSFile = `[consul]
consul_tls = true
tls_ca_file = %q
tls_cert_file = %q
tls_key_file = %q
tls_server_name = "consul.example.org"
`

// Consul is served over TLS and requires a client certificate. The certificate is replaced while the sidecar runs, as operators do before
// it expires. The next connection uses the new one.
func TestConsulOverTLS(t *testing.T) {
	t.Parallel()
	rig := startConsulRig(t, 3)
	front := startTLSFront(t, rig)
	cert, key := front.renew(front.ca, "first")
	file := strings.Replace(rig.settingsFile("127.0.0.1:1", "consul"), rig.consul.Address(), front.Listener.Addr().String(), 1)
	settings := fmt.Sprintf(consulTLSFile, front.put("ca.pem", front.ca.PEM()), cert, key)
	file = strings.Replace(file, "[consul]\n", settings, 1)
	rig.startSidecar(file)
	rig.awaitReady("box-0", "box-1", "box-2")
	rig.awaitServed(50)
	rig.checkDrained(rig.endpoints[0], rig.consul.SetStatus("box-0", "critical"))
	if front.queryCount("first") == 0 {
		t.Error("no query arrived with the first certificate")
	}
	front.renew(front.ca, "second")
	front.CloseClientConnections()
	rig.await("the second certificate is used", func() bool { return front.queryCount("second") > 0 })
	rig.checkDrained(rig.endpoints[1], rig.consul.SetStatus("box-1", "critical"))
	rig.awaitReady("box-2")

	// A certificate that another authority has signed is rejected. The sidecar continues with the endpoints that it has.
	front.renew(newAuthority(t), "stranger")
	front.CloseClientConnections()
	rig.sidecar.awaitLog("consul: agent " + front.Listener.Addr().String() + ":")
	rig.awaitServed(100)
	if n := front.queryCount("stranger"); n > 0 {
		t.Errorf("%d queries with the certificate of another authority were answered, want 0", n)
	}
	front.renew(front.ca, "third")
	rig.await("the third certificate is used", func() bool { return front.queryCount("third") > 0 })
	rig.consul.SetStatus("box-0", "passing")
	rig.awaitReady("box-0", "box-2")
	rig.stopCallers()
}
