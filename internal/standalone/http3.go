package standalone

import (
	"crypto/x509"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"

	"quincegap/internal/files/certfile"
	"quincegap/internal/files/secretfile"
	"quincegap/internal/network/http1"
	"quincegap/internal/network/http3"
)

// openHTTP3Front opens the front for HTTP/3; nil where none is set.
func openHTTP3Front(c *Config, handler http.Handler, b http1.Bounds) (*http3.Front, error) {
	set := c.tuning.http3Callers
	if set.Listen == "" {
		return nil, nil
	}
	pair, err := certfile.NewReloader(c.product.Resolve(set.Cert), c.product.Resolve(set.Key), log.Printf)
	if err != nil {
		return nil, err
	}
	sec := http3.Security{Certificate: pair.GetCertificate}
	if set.Secret != "" {
		secret, err := secretfile.ReadToken(c.product.Resolve(set.Secret))
		if err != nil {
			return nil, err
		}
		sec.Secret = []byte(secret)
	}
	socket, err := listenUDP(set.Listen)
	if err != nil {
		return nil, fmt.Errorf("http3_listen: %w", err)
	}
	front, err := http3.NewFront(socket, handler, set, http3.Bounds{
		MaxHeader: b.MaxHeader, RequestTimeout: b.RequestTimeout,
		IdleTimeout: b.IdleTimeout, WriteTimeout: b.WriteTimeout,
	}, sec)
	if err != nil {
		socket.Close()
		return nil, err
	}
	log.Printf("%s: HTTP/3 on %s", c.Name, socket.LocalAddr())
	return front, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", at)
}

// altSvcHeader tells callers over HTTP/1.1 of HTTP/3 at the same host (RFC 7838, section 3).
func altSvcHeader(at net.Addr, lasts time.Duration) string {
	udp, ok := at.(*net.UDPAddr)
	if !ok || lasts <= 0 {
		return ""
	}
	return fmt.Sprintf(`h3=":%d"; ma=%d`, udp.Port, int64(lasts.Seconds()))
}

// openHTTP3Transport opens the transport for HTTP/3 to endpoints; nil where none is set.
func openHTTP3Transport(c *Config, most int, maxIdle time.Duration) (*http3.Transport, error) {
	set := c.tuning.http3Endpoints
	if set.Use == http3.Never {
		return nil, nil
	}
	var pool *x509.CertPool
	if set.CA != "" {
		var err error
		if pool, err = certfile.LoadPool(c.product.Resolve(set.CA)); err != nil {
			return nil, err
		}
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	return http3.NewTransport(socket, set, pool, most, maxIdle), nil
}
