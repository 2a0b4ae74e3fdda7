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

// keepAlivesPerTimeout is how often an endpoint is asked for a sign of life before it counts as unresponsive.
const keepAlivesPerTimeout = 3

// endpointConn is a connection to an endpoint, or one that is being made.
type endpointConn struct {
	ready chan struct{} // closed once the connection is made, or has failed

	// Valid once it is ready.
	conn   *quic.Conn
	client *http3.ClientConn
	err    error

	// The loop's.
	attempts  int // on it now
	idleSince time.Time
	retired   bool // it gets no further attempts
}

// usable tells whether it may carry another attempt.
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

// close closes the connection, once it is made.
func (e *endpointConn) close() {
	<-e.ready
	if e.err == nil {
		e.abandon()
	}
}

// abandon closes a connection that is of no more use.
func (e *endpointConn) abandon() {
	_ = e.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "") // never fails
}

// waitConfirmed waits until what is sent can't be early data any more.
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

// dial makes a connection; with early it is ready before its handshake is complete.
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

// tlsConfigFor is that of connections to an address.
func (t *Transport) tlsConfigFor(address string) *tls.Config {
	host, _, _ := net.SplitHostPort(address) // it has been resolved
	config := t.tlsConfig.Clone()
	config.ServerName = cmp.Or(t.settings.ServerName, host)
	config.ClientSessionCache = addressCache{t.sessionCache, address}
	return config
}

// quicConfig is that of connections to endpoints. As at the front, larger packets are not tried.
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

// addressCache has the session tickets of one address in the cache of all: a ticket is of use only with the endpoint that gave it.
type addressCache struct {
	tls.ClientSessionCache
	address string
}

// Get is of tls.ClientSessionCache.
func (a addressCache) Get(key string) (*tls.ClientSessionState, bool) {
	return a.ClientSessionCache.Get(a.address + " " + key)
}

// Put is of tls.ClientSessionCache.
func (a addressCache) Put(key string, s *tls.ClientSessionState) {
	a.ClientSessionCache.Put(a.address+" "+key, s)
}

// isAuthError tells whether a connection failed for who answered, and not for want of a way: to fall back from that to a protocol
// that proves nothing would be what an impostor is after.
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
