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
	maxHeadBytes = 16 << 10 // of an answer
	maxTickets   = 1024     // sessions that may be resumed
)

// Transport makes attempts over HTTP/3: several at once on one connection, each on a stream of its own. It is an exchange.Transport.
type Transport struct {
	settings     TransportSettings
	maxOpen      int // connections
	maxIdle      time.Duration
	socket       net.PacketConn
	quic         *quic.Transport
	h3           *http3.Transport // makes clients of connections; it makes no connections itself
	tlsConfig    *tls.Config
	sessionCache tls.ClientSessionCache

	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	dialing sync.WaitGroup

	// The loop's, without a lock.
	conns map[*exchange.Endpoint][]*endpointConn
	open  int
}

// NewTransport makes a transport on a UDP socket, which Close closes: for so many connections at once, each kept so long without
// attempts. pool has the authorities for endpoints' certificates, nil for the system's.
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

// Counts are the connections: all that are open, and those without attempts.
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

// Acquire is of exchange.Transport.
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

func (t *Transport) add(e *exchange.Endpoint, c *endpointConn) {
	t.conns[e] = append(t.conns[e], c)
	t.open++
}

// evictOne closes the connection that has been idle for the longest, and tells whether there was one.
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

// close closes a connection without attempts.
func (t *Transport) close(e *exchange.Endpoint, c *endpointConn) {
	conns := slices.DeleteFunc(t.conns[e], func(other *endpointConn) bool { return other == c })
	t.open--
	if len(conns) > 0 {
		t.conns[e] = conns
	} else {
		delete(t.conns, e)
	}
	go c.close() // it waits for the connection's own goroutine
}

// Release is of exchange.Transport.
func (t *Transport) Release(e *exchange.Endpoint, acquired, left exchange.Conn) {
	c, _ := acquired.(*endpointConn)
	if c == nil {
		return
	}
	c.attempts--
	if c.attempts == 0 {
		c.idleSince = time.Now()
	}
	if other, _ := left.(*endpointConn); other != nil && other != c {
		// Run made another one, for the first was of no more use.
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

// CloseIdle is of exchange.Transport.
func (t *Transport) CloseIdle(e *exchange.Endpoint) {
	for _, c := range slices.Clone(t.conns[e]) {
		if c.attempts == 0 {
			t.close(e, c)
		}
	}
}

// Sweep is of exchange.Transport.
func (t *Transport) Sweep(now time.Time) {
	for e, conns := range maps.Clone(t.conns) {
		for _, c := range slices.Clone(conns) {
			if c.attempts == 0 && (now.Sub(c.idleSince) >= t.maxIdle || !c.usable()) {
				t.close(e, c)
			}
		}
	}
}

// Close is of exchange.Transport. Nothing may be acquired any more.
func (t *Transport) Close() {
	t.cancel()
	t.dialing.Wait()
	_ = t.quic.Close() // what an endpoint has not read by now is lost either way
	_ = t.socket.Close()
}
