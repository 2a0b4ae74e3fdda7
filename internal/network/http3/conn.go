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

// keepAlivesPerTimeout is the number of keep-alive packets in the time after which an endpoint counts as unresponsive.
const keepAlivesPerTimeout = 3

// endpointConn is a connection to an endpoint, possibly one that is still being made.
type endpointConn struct {
	ready chan struct{} // closed after the connection was made or has failed

	// Valid after ready is closed.
	conn   *quic.Conn
	client *http3.ClientConn
	err    error

	// Owned by the loop.
	attempts  int       // in progress
	idleSince time.Time // when the last attempt ended
	retired   bool      // no further attempts are allowed
}

// usable reports whether the connection may carry another attempt. One that is still being made may.
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

// close waits until the connection has been made, and closes it.
func (e *endpointConn) close() {
	<-e.ready
	if e.err == nil {
		e.abandon()
	}
}

// abandon closes a connection that has been made.
func (e *endpointConn) abandon() {
	_ = e.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") // never fails
}

// waitConfirmed waits until the handshake is complete, so that requests are no early data. It returns the reason why the connection has
// ended, or the context's error.
func (e *endpointConn) waitConfirmed(ctx context.Context) error {
	select {
	case <-e.conn.HandshakeComplete():
		return nil
	case <-e.conn.Context().Done():
		return context.Cause(e.conn.Context()) //nolint:contextcheck // the connection's own says why it ended
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dial makes a connection and closes c.ready. With early, c is ready before the handshake is complete.
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
	host, _, _ := net.SplitHostPort(address) // never fails: the address has been resolved
	config := t.tlsConfig.Clone()
	config.ServerName = cmp.Or(t.settings.ServerName, host)
	config.ClientSessionCache = addressCache{t.sessionCache, address}
	return config
}

// quicConfig returns the QUIC configuration of connections to endpoints. As at the front, path MTU discovery is off.
func (t *Transport) quicConfig() *quic.Config {
	const streamWindow = exchange.MaxBody + maxHeadBytes
	return &quic.Config{
		HandshakeIdleTimeout:           t.settings.HandshakeTimeout,
		MaxIdleTimeout:                 t.settings.UnresponsiveTimeout,
		KeepAlivePeriod:                t.settings.UnresponsiveTimeout / keepAlivesPerTimeout,
		MaxIncomingStreams:             -1, // none
		MaxIncomingUniStreams:          maxUniStreams,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     uint64(t.settings.MaxStreams) * streamWindow,
	}
}

// addressCache is the view of one address on the cache of all session tickets: only the endpoint that issued a ticket accepts it.
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

// isAuthError reports whether a connection failed because the endpoint could not prove who it is. Then there is no fallback to a protocol
// without that proof: an impostor would provoke it.
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
