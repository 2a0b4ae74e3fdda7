package http3

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/exchange"
)

const (
	maxHeadBytes = 16 << 10 // size of a response's headers
	maxTickets   = 1024     // number of tickets in the session cache
)

// Transport makes attempts over HTTP/3: several concurrently on one connection, each on a separate stream. It implements
// exchange.Transport.
type Transport struct {
	settings     TransportSettings
	maxOpen      int           // maximum number of connections
	maxIdle      time.Duration // time after which a connection without attempts is closed
	socket       net.PacketConn
	quic         *quic.Transport
	h3           *http3.Transport // wraps connections in HTTP/3 clients; it does not dial
	tlsConfig    *tls.Config
	sessionCache tls.ClientSessionCache

	ctx     context.Context // canceled by Close
	cancel  context.CancelFunc
	dialing sync.WaitGroup

	// The fields below are accessed by the loop only, without a lock.
	conns map[*exchange.Endpoint][]*endpointConn
	open  int // number of connections in conns
}

// NewTransport returns a transport that uses a UDP socket, which Close closes. It has at most maxOpen connections, and closes those that
// have had no attempt for maxIdle. pool holds the certificate authorities for endpoints; nil means those of the system.
func NewTransport(socket net.PacketConn, settings TransportSettings, pool *x509.CertPool, maxOpen int, maxIdle time.Duration) *Transport {
	t := &Transport{
		settings: settings,
		maxOpen:  maxOpen,
		maxIdle:  maxIdle,
		socket:   socket,
		quic:     &quic.Transport{Conn: socket},
		h3:       &http3.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
		tlsConfig: &tls.Config{
			RootCAs:    pool,
			ServerName: settings.ServerName,
			MinVersion: tls.VersionTLS13,
			NextProtos: []string{http3.NextProtoH3},
		},
		sessionCache: tls.NewLRUClientSessionCache(maxTickets),
		conns:        map[*exchange.Endpoint][]*endpointConn{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Counts returns the number of open connections, and how many of them have no attempt in progress.
func (t *Transport) Counts() (open, idle int) {
	for _, conns := range t.conns {
		for _, c := range conns {
			if c.attempts == 0 {
				idle++
			}
		}
	}
	return t.open, idle
}

// Acquire implements exchange.Transport.
func (t *Transport) Acquire(e *exchange.Endpoint, _ time.Time) (exchange.Conn, bool) {
	for _, c := range t.conns[e] {
		if c.attempts < t.settings.MaxStreams && c.usable() {
			c.attempts++
			return c, true
		}
	}
	if t.open >= t.maxOpen && !t.evictOne() {
		return nil, false
	}
	c := &endpointConn{ready: make(chan struct{}), attempts: 1}
	t.add(e, c)
	t.dialing.Go(func() { t.dial(c, e.Address, t.settings.EarlyRequests) })
	return c, true
}

// add adds a connection to those of an endpoint.
func (t *Transport) add(e *exchange.Endpoint, c *endpointConn) {
	t.conns[e] = append(t.conns[e], c)
	t.open++
}

// evictOne closes the connection that has been idle the longest. It reports whether it closed one.
func (t *Transport) evictOne() bool {
	var oldest *endpointConn
	var endpoint *exchange.Endpoint
	for e, conns := range t.conns {
		for _, c := range conns {
			if c.attempts == 0 && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				oldest = c
				endpoint = e
			}
		}
	}
	if oldest == nil {
		return false
	}
	t.close(endpoint, oldest)
	return true
}

// close removes a connection without attempts, and closes it in the background.
func (t *Transport) close(e *exchange.Endpoint, c *endpointConn) {
	conns := slices.DeleteFunc(t.conns[e], func(other *endpointConn) bool { return other == c })
	t.open--
	if len(conns) > 0 {
		t.conns[e] = conns
	} else {
		delete(t.conns, e)
	}
	go c.close() // runs in the background since it waits for a handshake in progress and for the connection's goroutine
}

// Release implements exchange.Transport.
func (t *Transport) Release(e *exchange.Endpoint, acquired, reusable exchange.Conn) {
	c, _ := acquired.(*endpointConn)
	if c == nil {
		return
	}
	c.attempts--
	if c.attempts == 0 {
		c.idleSince = time.Now()
	}
	if other, _ := reusable.(*endpointConn); other != nil && other != c {
		// Run has made another connection because the acquired one could not be used or broke.
		c.retired = true
		other.idleSince = time.Now()
		t.add(e, other)
		if !e.Open.Load() || t.open > t.maxOpen {
			t.close(e, other)
		}
	}
	if c.attempts == 0 && (!e.Open.Load() || !c.usable()) {
		t.close(e, c)
	}
}

// CloseIdle implements exchange.Transport.
func (t *Transport) CloseIdle(e *exchange.Endpoint) {
	for _, c := range slices.Clone(t.conns[e]) {
		if c.attempts == 0 {
			t.close(e, c)
		}
	}
}

// Sweep implements exchange.Transport.
func (t *Transport) Sweep(now time.Time) {
	for e, conns := range maps.Clone(t.conns) {
		for _, c := range slices.Clone(conns) {
			if c.attempts == 0 && (now.Sub(c.idleSince) >= t.maxIdle || !c.usable()) {
				t.close(e, c)
			}
		}
	}
}

// Close implements exchange.Transport. It closes all connections and the socket.
func (t *Transport) Close() {
	t.cancel()
	t.dialing.Wait()
	_ = t.quic.Close() // an error changes nothing, since data that endpoints have not received yet is lost in any case
	_ = t.socket.Close()
}
