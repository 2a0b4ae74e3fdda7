package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/standin/authority"
	"quincegap/internal/standin/booking"
	"quincegap/internal/standin/h3"
	"quincegap/internal/standin/udp"
)

// http3File is the part of a settings file with which a sidecar serves HTTP/3, without the address and the paths of files.
const http3File = `
[http3]
http3_listen = %q
http3_cert_file = %q
http3_key_file = %q
http3_secret_file = %q
early_data = "safe"
alt_svc = "1h"
`

// http3Rig has the certificate authority and the files that a sidecar needs to serve HTTP/3, and makes its callers.
type http3Rig struct {
	tb        testing.TB
	ca        *authority.Authority
	dir       string
	cert, key string   // the paths of the sidecar's certificate and key
	secret    string   // the path of the file with the secret for session tickets
	seenNames sync.Map // the common names in the certificates that the sidecar has presented to callers
}

// newHTTP3Rig returns a rig with a new authority, a certificate for front.example.org and a secret.
func newHTTP3Rig(tb testing.TB) *http3Rig {
	tb.Helper()
	h := &http3Rig{tb: tb, ca: newAuthority(tb), dir: tb.TempDir()}
	h.secret = h.put("secret", strings.Repeat("s3cret", 6))
	h.renew("front.example.org")
	return h
}

// put replaces a file of the rig's directory and returns its path.
func (h *http3Rig) put(name, text string) string {
	h.tb.Helper()
	path := filepath.Join(h.dir, name)
	replaceFile(h.tb, path, text)
	return path
}

// renew replaces the sidecar's certificate and key by new ones with a name.
func (h *http3Rig) renew(name string) {
	cert, key := issue(h.tb, h.ca, name)
	h.key = h.put("key.pem", string(key))
	h.cert = h.put("cert.pem", string(cert))
}

// settingsFile returns the text of a settings file with the address of a discovery service and the UDP address on which to listen.
func (h *http3Rig) settingsFile(discovery, listen string) string {
	return fmt.Sprintf(sidecarFile, discovery) + fmt.Sprintf(http3File, listen, h.cert, h.key, h.secret)
}

// udpAddressOf returns the UDP address on which a sidecar listens, from its log.
func udpAddressOf(p *process) string {
	return regexp.MustCompile(`HTTP/3 on (127\.0\.0\.1:\d+)`).FindStringSubmatch(p.startLog)[1]
}

// caller returns an HTTP/3 client. It accepts certificates of the authority with any name. It stores session tickets in the cache, unless
// that is nil.
func (h *http3Rig) caller(cache tls.ClientSessionCache) *http3.Transport {
	tlsConfig := &tls.Config{
		InsecureSkipVerify: true,
		ClientSessionCache: cache,
		ServerName:         "front.example.org",
		VerifyConnection: func(s tls.ConnectionState) error {
			h.seenNames.Store(s.PeerCertificates[0].Subject.CommonName, true)
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: h.ca.Pool()})
			return err
		},
	}
	quicConfig := &quic.Config{MaxIdleTimeout: 10 * time.Second, KeepAlivePeriod: 200 * time.Millisecond}
	transport := &http3.Transport{TLSClientConfig: tlsConfig, QUICConfig: quicConfig}
	h.tb.Cleanup(func() { closeNow(transport) })
	return transport
}

// certificateSeen reports whether the sidecar has presented a certificate with the given common name to a caller.
func (h *http3Rig) certificateSeen(name string) bool {
	_, ok := h.seenNames.Load(name)
	return ok
}

// over returns the process as seen by callers over HTTP/3: requests go to the UDP address through the transport.
func (p *process) over(transport *http3.Transport, address string) *process {
	return &process{tb: p.tb, cmd: p.cmd, file: p.file, log: p.log, url: "https://" + address, transport: transport}
}

// dualEndpoint is an endpoint that serves HTTP/1.1 and, through a relay on the same port, HTTP/3.
type dualEndpoint struct {
	http1Requests, http3Requests atomic.Int64 // the numbers of requests so far
	overHTTP1                    *booking.Endpoint
	relay                        *udp.Relay
}

// startDualEndpoint starts an endpoint with a certificate of the authority.
func startDualEndpoint(t *testing.T, ca *authority.Authority) *dualEndpoint {
	t.Helper()
	cert, err := ca.Pair("slot-keeper.example.org")
	if err != nil {
		t.Fatal(err)
	}
	dual := &dualEndpoint{}
	// The relay listens on the endpoint's UDP port. The server behind it listens on another one.
	overHTTP3, err := h3.Start("", cert, h3.Options{}, countingOK(&dual.http3Requests))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(overHTTP3.Close)
	for dual.relay == nil {
		if dual.overHTTP1, err = booking.StartEndpoint("box-0", countingOK(&dual.http1Requests)); err != nil {
			t.Fatal(err)
		}
		if dual.relay, err = udp.StartAt(dual.overHTTP1.Target().Address, overHTTP3.Address(), 1); err != nil {
			dual.overHTTP1.Close()
		}
	}
	t.Cleanup(dual.overHTTP1.Close)
	t.Cleanup(dual.relay.Close)
	return dual
}
