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

// Callers book over HTTP/3 and HTTP/1.1 while the certificate is replaced, and while the sidecar gets SIGHUP with an acceptable and with an
// unacceptable file. Each booking is served.
func TestHTTP3DuringReloads(t *testing.T) {
	t.Parallel()
	rig := newHTTP3Rig(t)
	site := startSite(t, 3)
	sidecar := launch(t, rig.settingsFile(site.Address(), "127.0.0.1:0"))
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
		t.Errorf("header Alt-Svc: got %q, want %q or none", got, want)
	}
	rig.renew("second.example.org")
	time.Sleep(1100 * time.Millisecond) // the sidecar checks its certificate files once a second
	for end := time.Now().Add(testTimeout); !rig.certificateSeen("second.example.org"); {
		if status, err := sidecar.over(rig.caller(nil), address).book(nil, "trip"); err != nil || status != 200 {
			t.Fatalf("a booking of a new caller: got status %d, error %v, want status 200", status, err)
		}
		if time.Now().After(end) {
			t.Fatalf("the new certificate was not used within %v", testTimeout)
		}
	}
	sidecar.signal(syscall.SIGHUP)
	sidecar.awaitLog("reload: discovery is")
	awaitMore(t, &overHTTP3, 100)
	// A change of a setting that takes effect only at a start is rejected.
	sidecar.writeFile(strings.Replace(rig.settingsFile(site.Address(), "127.0.0.1:0"), `"safe"`, `"never"`, 1))
	sidecar.signal(syscall.SIGHUP)
	sidecar.awaitLog("reload: rejected")
	awaitMore(t, &overHTTP3, 100)
	stop()
	stopHTTP1()
}

// The sidecar is killed and starts again at the same address. Old connections of its callers end at once, and their session tickets stay
// valid.
func TestHTTP3Killed(t *testing.T) {
	t.Parallel()
	rig := newHTTP3Rig(t)
	site := startSite(t, 2)
	sidecar := launch(t, rig.settingsFile(site.Address(), "127.0.0.1:0"))
	address := udpAddressOf(sidecar)
	cache := tls.NewLRUClientSessionCache(4)
	caller := rig.caller(cache)
	if status, err := sidecar.over(caller, address).book(nil, "trip"); err != nil || status != 200 {
		t.Fatalf("a booking before the kill: got status %d, error %v, want status 200", status, err)
	}
	sidecar.kill()
	sidecar = launch(t, rig.settingsFile(site.Address(), address))
	// A request on the old connection is answered with a reset and does not time out. The caller then connects again.
	began := time.Now()
	for end := began.Add(testTimeout); ; {
		if status, err := sidecar.over(caller, address).book(nil, "trip"); err == nil && status == 200 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no booking was served within %v after the restart", testTimeout)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("a booking was served %v after the restart, want at most 5s", took)
	}
}

// UDP to an endpoint is blocked. Attempts then use HTTP/1.1, and HTTP/3 is not tried again for a while. What was sent over HTTP/3 while UDP
// was blocked never arrives.
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
			t.Fatalf("a booking: got status %d, error %v, want status 200", status, err)
		}
	}
	for range 20 {
		book()
	}
	if endpoint.http3Requests.Load() != 20 || endpoint.http1Requests.Load() != 0 {
		t.Fatalf("20 bookings: got %d over HTTP/3 and %d over HTTP/1.1, want 20 and 0",
			endpoint.http3Requests.Load(), endpoint.http1Requests.Load())
	}
	endpoint.relay.SetFault(udp.Fault{Blackhole: true})
	// Whether the endpoint executes the next bookings is unknown to the sidecar. Their class allows it to repeat them with the key at the
	// same endpoint.
	before := endpoint.http1Requests.Load()
	for end := time.Now().Add(testTimeout); endpoint.http1Requests.Load() == before; {
		_, _ = sidecar.book(client, "trip") // the first bookings may fail
		if time.Now().After(end) {
			t.Fatalf("no booking arrived over HTTP/1.1 within %v", testTimeout)
		}
	}
	sidecar.awaitLog("HTTP/1.1 for 1m0s")
	began := time.Now()
	for range 50 {
		book()
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("50 bookings took %v, want at most 5s: HTTP/3 is tried again each time", took)
	}
	endpoint.relay.SetFault(udp.Fault{})
	if n := endpoint.http3Requests.Load(); n != 20 {
		t.Errorf("%d bookings arrived over HTTP/3, want the 20 from before UDP was blocked", n)
	}
}
