package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/standin/udp"
)

// Callers book over HTTP/3 and HTTP/1.1 while the certificate is replaced and SIGHUP comes, with a good and with a bad file. Each booking
// is served.
func TestHTTP3Day(t *testing.T) {
	t.Parallel()
	rig := newHTTP3Rig(t)
	site := startSite(t, 3)
	sidecar := launch(t, rig.text(site.Address(), "127.0.0.1:0"))
	address := udpAddressOf(sidecar)
	var overHTTP3, overHTTP1 atomic.Int64
	stop := sidecar.over(rig.caller(nil), address).startCallers(4, &overHTTP3)
	stopHTTP1 := sidecar.startCallers(2, &overHTTP1)
	awaitMore(t, &overHTTP3, 100)
	awaitMore(t, &overHTTP1, 100)
	status, header, err := get(http.DefaultClient, sidecar.url+"/nothing")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(address)
	if got, want := header.Get("Alt-Svc"), fmt.Sprintf(`h3=":%s"; ma=3600`, port); status == 400 && got != want && got != "" {
		t.Errorf("Alt-Svc: %q, want %q", got, want)
	}
	rig.renew("second.example.org")
	time.Sleep(1100 * time.Millisecond) // the sidecar looks at the files once a second
	for end := time.Now().Add(testTimeout); !rig.shown("second.example.org"); {
		if status, err := sidecar.over(rig.caller(nil), address).book(nil, "trip"); err != nil || status != 200 {
			t.Fatalf("a new caller: %d, %v", status, err)
		}
		if time.Now().After(end) {
			t.Fatal("the old certificate is still in use")
		}
	}
	sidecar.signal(syscall.SIGHUP)
	sidecar.awaitLog("reload: discovery is")
	awaitMore(t, &overHTTP3, 100)
	// A change of a setting that takes effect only at a start is rejected.
	sidecar.writeFile(strings.Replace(rig.text(site.Address(), "127.0.0.1:0"), `"safe"`, `"never"`, 1))
	sidecar.signal(syscall.SIGHUP)
	sidecar.awaitLog("reload: refused")
	awaitMore(t, &overHTTP3, 100)
	stop()
	stopHTTP1()
}

// The sidecar is killed and starts again at the same address: its callers' old connections end at once, and their tickets stay valid.
func TestHTTP3Killed(t *testing.T) {
	t.Parallel()
	rig := newHTTP3Rig(t)
	site := startSite(t, 2)
	p := launch(t, rig.text(site.Address(), "127.0.0.1:0"))
	address := udpAddressOf(p)
	cache := tls.NewLRUClientSessionCache(4)
	caller := rig.caller(cache)
	if status, err := p.over(caller, address).book(nil, "trip"); err != nil || status != 200 {
		t.Fatal(status, err)
	}
	p.kill()
	p = launch(t, rig.text(site.Address(), address))
	// A request on the old connection is answered with a reset and does not time out; then the caller connects again.
	began := time.Now()
	for end := began.Add(testTimeout); ; {
		if status, err := p.over(caller, address).book(nil, "trip"); err == nil && status == 200 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("never served again")
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
}

// UDP to an endpoint is blocked: attempts go over HTTP/1.1, HTTP/3 is not tried again for a while, and what was sent over it never arrives.
func TestHTTP3BlockedToEndpoint(t *testing.T) {
	t.Parallel()
	ca := newAuthority(t)
	endpoint := startDualEndpoint(t, ca)
	discovery := startDiscovery(t, endpoint.overHTTP1.Target())
	file := filepath.Join(t.TempDir(), "ca.pem")
	writeFile(t, file, string(ca.PEM()))
	sidecar := launch(t, fmt.Sprintf(sidecarFile, discovery.Address())+fmt.Sprintf(`
[http3-endpoints]
http3_to_endpoints = "prefer"
http3_ca_file = %q
http3_server_name = "slot-keeper.example.org"
http3_silence = "600ms"
`, file))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	book := func() {
		t.Helper()
		if status, err := sidecar.book(client, "trip"); err != nil || status != 200 {
			t.Fatalf("%d %v", status, err)
		}
	}
	for range 20 {
		book()
	}
	if endpoint.http3Requests.Load() != 20 || endpoint.http1Requests.Load() != 0 {
		t.Fatalf("%d over HTTP/3, %d over HTTP/1.1", endpoint.http3Requests.Load(), endpoint.http1Requests.Load())
	}
	endpoint.relay.SetFault(udp.Fault{Blackhole: true})
	// Whether the next bookings were executed is unknown; their class allows a repeat with the key at the same endpoint.
	before := endpoint.http1Requests.Load()
	for end := time.Now().Add(testTimeout); endpoint.http1Requests.Load() == before; {
		_, _ = sidecar.book(client, "trip") // it may fail, at first
		if time.Now().After(end) {
			t.Fatal("nothing comes over HTTP/1.1")
		}
	}
	sidecar.awaitLog("HTTP/1.1 for 1m0s")
	began := time.Now()
	for range 50 {
		book()
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("50 bookings took %v: HTTP/3 is tried again each time", took)
	}
	endpoint.relay.SetFault(udp.Fault{})
	if n := endpoint.http3Requests.Load(); n != 20 {
		t.Errorf("%d over HTTP/3", n)
	}
}
