package http3

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/exchange"
)

// keepAlivesPerTimeout is the number of keep-alive packets that are sent within the time after which an endpoint counts as unresponsive.
const keepAlivesPerTimeout = 3

// endpointConn is a connection to an endpoint, which may still be in the process of connecting.
type endpointConn struct {
	ready chan struct{} // closed when the connection can be used or has failed

	// The fields below are valid after ready is closed.
	conn   *quic.Conn
	client *http3.ClientConn
	err    error

	// The fields below are accessed by the loop only.
	attempts  int       // number of attempts in progress
	idleSince time.Time // when the last attempt ended
	retired   bool      // whether further attempts are disallowed
}

// usable reports whether the connection may be used for another attempt. A connection that is still being made is usable.
func (e *endpointConn) usable() bool {
	if e.retired {
		return false
	}
	select {
	case <-e.ready:
		return e.err == nil && e.conn.Context().Err() == nil
	default:
		return true
	}
}

// close waits until the connection is ready, and closes it unless it has failed.
func (e *endpointConn) close() {
	<-e.ready
	if e.err == nil {
		e.closeEstablished()
	}
}

// closeEstablished closes a connection that is ready and has not failed.
func (e *endpointConn) closeEstablished() {
	_ = e.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") // never fails
}

// waitHandshake waits until the handshake is complete, so that a request is not sent in early data. If the connection ends before, it
// returns the reason; if ctx is done before, it returns the context's error.
func (e *endpointConn) waitHandshake(ctx context.Context) error {
	select {
	case <-e.conn.HandshakeComplete():
		return nil
	case <-e.conn.Context().Done():
		return context.Cause(e.conn.Context()) //nolint:contextcheck // the connection's own says why it ended
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dial makes a connection, stores it or the error in c and closes c.ready. If early is set and a session is resumed, c is ready before the
// handshake is complete.
func (t *Transport) dial(c *endpointConn, address string, early bool) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(t.ctx, t.settings.HandshakeTimeout)
	defer cancel()
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		c.err = err
		return
	}
	dial := t.quic.Dial
	if early {
		dial = t.quic.DialEarly
	}
	if c.conn, c.err = dial(ctx, remote, t.tlsConfigFor(address), t.quicConfig()); c.err == nil {
		c.client = t.h3.NewClientConn(c.conn)
	}
}

// tlsConfigFor returns the TLS configuration for an address.
func (t *Transport) tlsConfigFor(address string) *tls.Config {
	host, _, _ := net.SplitHostPort(address) // never fails because the address has been resolved
	config := t.tlsConfig.Clone()
	config.ServerName = cmp.Or(t.settings.ServerName, host)
	config.ClientSessionCache = addressCache{t.sessionCache, address}
	return config
}

// quicConfig returns the QUIC configuration of connections to endpoints. Path MTU discovery is off for the reason given at
// Front.quicConfig.
func (t *Transport) quicConfig() *quic.Config {
	const streamWindow = exchange.MaxBody + maxHeadBytes
	return &quic.Config{
		HandshakeIdleTimeout:           t.settings.HandshakeTimeout,
		MaxIdleTimeout:                 t.settings.UnresponsiveTimeout,
		KeepAlivePeriod:                t.settings.UnresponsiveTimeout / keepAlivesPerTimeout,
		MaxIncomingStreams:             -1, // endpoints may not open bidirectional streams
		MaxIncomingUniStreams:          maxUniStreams,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     uint64(t.settings.MaxStreams) * streamWindow,
	}
}

// addressCache is a session cache for one address on top of the cache for all addresses, by adding the address to the keys. Tickets are
// separated by address because only the endpoint that issued a ticket accepts it.
type addressCache struct {
	tls.ClientSessionCache
	address string
}

// Get implements tls.ClientSessionCache.
func (a addressCache) Get(key string) (*tls.ClientSessionState, bool) {
	return a.ClientSessionCache.Get(a.address + " " + key)
}

// Put implements tls.ClientSessionCache.
func (a addressCache) Put(key string, s *tls.ClientSessionState) {
	a.ClientSessionCache.Put(a.address+" "+key, s)
}

// isAuthError reports whether a connection failed because the endpoint could not be authenticated. There must be no fallback to a protocol
// without authentication then, since an impostor could force it.
func isAuthError(err error) bool {
	if _, bad := errors.AsType[*tls.CertificateVerificationError](err); bad {
		return true
	}
	if _, bad := errors.AsType[x509.UnknownAuthorityError](err); bad {
		return true
	}
	e, ok := errors.AsType[*quic.TransportError](err)
	return ok && e.ErrorCode.IsCryptoError() && !e.Remote
}
