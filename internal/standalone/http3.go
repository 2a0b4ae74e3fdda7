package standalone

import (
	"crypto/x509"
	"errors"
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

// openHTTP3Front opens the front for HTTP/3; it returns nil if http3_listen is not set. Its errors name the file or http3_listen.
func openHTTP3Front(config *Config, handler http.Handler, bounds http1.Bounds) (*http3.Front, error) {
	settings := config.tuning.http3Callers
	if settings.Listen == "" {
		return nil, nil
	}
	security, err := loadSecurity(config, settings)
	if err != nil {
		return nil, err
	}
	socket, err := listenUDP(settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("http3_listen: %w", err)
	}
	front, err := http3.NewFront(socket, handler, settings, http3.Bounds{
		MaxHeaderBytes: bounds.MaxHeaderBytes, RequestTimeout: bounds.RequestTimeout,
		IdleTimeout: bounds.IdleTimeout, WriteTimeout: bounds.WriteTimeout,
	}, security)
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	log.Printf("%s: HTTP/3 on %s", config.Name, socket.LocalAddr())
	return front, nil
}

// loadSecurity reads the certificate and, if the settings name one, the secret of the front.
func loadSecurity(config *Config, settings http3.FrontSettings) (security http3.Security, err error) {
	pair, err := certfile.NewReloader(config.product.Resolve(settings.CertFile), config.product.Resolve(settings.KeyFile), log.Printf)
	if err != nil {
		return security, err
	}
	security.Certificate = pair.GetCertificate
	if settings.SecretFile == "" {
		return security, nil
	}
	secret, err := secretfile.ReadToken(config.product.Resolve(settings.SecretFile))
	if err != nil {
		return security, err
	}
	security.Secret = []byte(secret)
	return security, nil
}

// listenUDP opens a UDP socket that is bound to a host:port.
func listenUDP(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", at)
}

// altSvcHeader returns the value of the Alt-Svc header that announces HTTP/3 at the same host to callers over HTTP/1.1 (RFC 7838,
// section 3); empty for no announcement. Callers may cache it for maxAge.
func altSvcHeader(address net.Addr, maxAge time.Duration) string {
	udp, ok := address.(*net.UDPAddr)
	if !ok || maxAge <= 0 {
		return ""
	}
	return fmt.Sprintf(`h3=":%d"; ma=%d`, udp.Port, int64(maxAge.Seconds()))
}

// openHTTP3Transport opens the transport for HTTP/3 to endpoints; it returns nil if the settings do not use HTTP/3.
func openHTTP3Transport(config *Config, maxConnections int, idleTimeout time.Duration) (*http3.Transport, error) {
	settings := config.tuning.http3Endpoints
	if settings.Use == http3.Never {
		return nil, nil
	}
	var pool *x509.CertPool
	if settings.CAFile != "" {
		var err error
		if pool, err = certfile.LoadPool(config.product.Resolve(settings.CAFile)); err != nil {
			return nil, err
		}
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	return http3.NewTransport(socket, settings, pool, maxConnections, idleTimeout), nil
}
