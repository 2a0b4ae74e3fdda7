package http3

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/exchange"
)

const (
	// maxUniStreams is enough for a peer's control stream and those of QPACK, with some to spare (RFC 9114, section 6.2).
	maxUniStreams = 8
	// initialStreamWindow and initialConnectionWindow are what a peer may send before it is read, in bytes; they grow as it is.
	initialStreamWindow     = 16 << 10
	initialConnectionWindow = 64 << 10
)

// Bounds are those that callers of all protocols have.
type Bounds struct {
	MaxHeaderBytes int           // of a request
	RequestTimeout time.Duration // until a connection's first request
	IdleTimeout    time.Duration // between two requests
	WriteTimeout   time.Duration // from a request's headers to the end of its answer
}

// Front takes callers' requests over HTTP/3. It is an exchange.Front.
type Front struct {
	settings  FrontSettings
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	ctx       context.Context // ends with Close
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu           sync.Mutex
	open         map[*quic.Conn]*callerConn
	fresh        list.List // of *callerConn that have brought no request yet, the oldest first
	idle         list.List // of *callerConn that have none under way, the longest idle first
	handshakes   int       // under way
	lastAccepted time.Time
	stopping     bool
}

// NewFront makes a front on a UDP socket, which hands requests to a handler. Close closes the socket; an error leaves it open.
func NewFront(socket net.PacketConn, handler http.Handler, settings FrontSettings, b Bounds, security Security) (*Front, error) {
	f := &Front{settings: settings, socket: socket, open: map[*quic.Conn]*callerConn{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	tlsConfig := &tls.Config{
		GetCertificate: security.Certificate,
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{http3.NextProtoH3},
	}
	f.transport = &quic.Transport{Conn: socket, ConnContext: f.startHandshake, VerifySourceAddress: f.requiresRetry}
	if security.Secret != nil {
		f.useSecret(security, tlsConfig)
	}
	var err error
	if f.listener, err = f.transport.ListenEarly(tlsConfig, f.quicConfig(b)); err != nil {
		f.cancel()
		return nil, err
	}
	f.server = &http3.Server{
		Handler:        f.countRequests(handler, b),
		MaxHeaderBytes: b.MaxHeaderBytes,
		IdleTimeout:    b.IdleTimeout,
		ConnContext:    func(ctx context.Context, c *quic.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	f.running.Go(func() { f.sweep(b) })
	return f, nil
}

// useSecret has the front's keys made of a secret.
func (f *Front) useSecret(security Security, tlsConfig *tls.Config) {
	reset := quic.StatelessResetKey(deriveKey(security.Secret, purposeReset))
	token := quic.TokenGeneratorKey(deriveKey(security.Secret, purposeToken))
	f.transport.StatelessResetKey = &reset
	f.transport.TokenGeneratorKey = &token
	tlsConfig.SetSessionTicketKeys(ticketKeys(security.Secret, security.now()))
	f.running.Go(func() { security.renewTicketKeys(f.ctx, tlsConfig) })
}

// quicConfig is that of callers' connections. Larger packets are not tried: the library does not notice a path whose MTU shrinks
// later (RFC 8899, section 4.3), where all that is larger then is lost for good. Requests fit into few packets either way.
func (f *Front) quicConfig(b Bounds) *quic.Config {
	return &quic.Config{
		Allow0RTT:                      f.settings.EarlyData != EarlyNever,
		MaxIncomingStreams:             int64(f.settings.MaxStreams),
		MaxIncomingUniStreams:          maxUniStreams,
		MaxIdleTimeout:                 b.IdleTimeout,
		HandshakeIdleTimeout:           f.settings.HandshakeTimeout,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         exchange.MaxBody + initialStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     uint64(f.settings.ConnectionWindow),
	}
}

// Serve is of exchange.Front.
func (f *Front) Serve() error {
	if err := f.server.ServeListener(admittingListener{f.listener, f}); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("HTTP/3: %w", err)
	}
	return nil
}

// Address is where the front takes connections.
func (f *Front) Address() net.Addr { return f.socket.LocalAddr() }

// Quiet is of exchange.Front.
func (f *Front) Quiet(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open) == 0 && time.Since(f.lastAccepted) >= d
}

// Counts are the connections: all that are open, those without a request, and handshakes under way.
func (f *Front) Counts() (open, idle, handshakes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open), f.idle.Len() + f.fresh.Len(), f.handshakes
}

// Stop is of exchange.Front: no new connection, GOAWAY to the others, whose new requests are rejected with H3_REQUEST_REJECTED, and
// answers to all that was taken (RFC 9114, section 5.2).
func (f *Front) Stop(ctx context.Context) error {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	if err := f.server.Shutdown(ctx); err != nil {
		return err
	}
	return f.Close()
}

// Close is of exchange.Front. It returns the first error of the server, the connections and the socket.
func (f *Front) Close() error {
	f.cancel()
	_ = f.listener.Close() // never fails; what it would say the transport's Close does
	err := f.server.Close()
	if e := f.transport.Close(); err == nil {
		err = e
	}
	if e := f.socket.Close(); err == nil && !errors.Is(e, net.ErrClosed) {
		err = e
	}
	f.running.Wait()
	return err
}
