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
	// maxUniStreams is enough for a peer's control stream and the two QPACK streams (RFC 9114, section 6.2), with a reserve.
	maxUniStreams = 8
	// initialStreamWindow and initialConnectionWindow are the numbers of bytes that a peer may send before any are read. The windows
	// grow as data is read.
	initialStreamWindow     = 16 << 10
	initialConnectionWindow = 64 << 10
)

// Bounds are the limits that the fronts of all protocols have in common.
type Bounds struct {
	MaxHeaderBytes int           // size of a request's headers
	RequestTimeout time.Duration // time until a connection's first request
	IdleTimeout    time.Duration // time between two requests on a connection
	WriteTimeout   time.Duration // time from receiving a request's headers to the end of its response
}

// Front serves callers over HTTP/3. It implements exchange.Front.
type Front struct {
	settings  FrontSettings
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
	running   sync.WaitGroup

	// mu guards the fields below.
	mu           sync.Mutex
	open         map[*quic.Conn]*callerConn
	fresh        list.List // list of *callerConn that have had no request yet; the oldest is first
	idle         list.List // list of *callerConn between two requests; the one that has been idle the longest is first
	handshakes   int       // number of handshakes in progress
	lastAccepted time.Time
	stopping     bool
}

// NewFront returns a front that serves the requests on a UDP socket with a handler. Close closes the socket; if NewFront returns an error,
// the socket stays open.
func NewFront(socket net.PacketConn, handler http.Handler, settings FrontSettings, bounds Bounds, security Security) (*Front, error) {
	front := &Front{settings: settings, socket: socket, open: map[*quic.Conn]*callerConn{}}
	front.ctx, front.cancel = context.WithCancel(context.Background())
	tlsConfig := &tls.Config{
		GetCertificate: security.Certificate,
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{http3.NextProtoH3},
	}
	front.transport = &quic.Transport{Conn: socket, ConnContext: front.startHandshake, VerifySourceAddress: front.requiresRetry}
	if security.Secret != nil {
		front.useSecret(security, tlsConfig)
	}
	var err error
	if front.listener, err = front.transport.ListenEarly(tlsConfig, front.quicConfig(bounds)); err != nil {
		front.cancel()
		return nil, err
	}
	front.server = &http3.Server{
		Handler:        front.countRequests(handler, bounds),
		MaxHeaderBytes: bounds.MaxHeaderBytes,
		IdleTimeout:    bounds.IdleTimeout,
		ConnContext:    func(ctx context.Context, c *quic.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	front.running.Go(func() { front.sweep(bounds) })
	return front, nil
}

// useSecret sets keys that are derived from the secret, and starts to renew those of session tickets.
func (f *Front) useSecret(security Security, tlsConfig *tls.Config) {
	reset := quic.StatelessResetKey(deriveKey(security.Secret, purposeReset))
	token := quic.TokenGeneratorKey(deriveKey(security.Secret, purposeToken))
	f.transport.StatelessResetKey = &reset
	f.transport.TokenGeneratorKey = &token
	tlsConfig.SetSessionTicketKeys(ticketKeys(security.Secret, security.now()))
	f.running.Go(func() { security.renewTicketKeys(f.ctx, tlsConfig) })
}

// quicConfig returns the QUIC configuration of callers' connections. Path MTU discovery is off because the library does not detect that a
// path's MTU shrinks later (RFC 8899, section 4.3), and all larger packets would be lost. Requests need few packets in any case.
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

// Serve implements exchange.Front.
func (f *Front) Serve() error {
	if err := f.server.ServeListener(admittingListener{f.listener, f}); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers over HTTP/3: %w", err)
	}
	return nil
}

// Address returns the UDP address of the front.
func (f *Front) Address() net.Addr { return f.socket.LocalAddr() }

// Quiet implements exchange.Front.
func (f *Front) Quiet(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open) == 0 && time.Since(f.lastAccepted) >= d
}

// Counts returns the number of open connections, how many of them have no request in progress, and the number of handshakes in progress.
func (f *Front) Counts() (open, idle, handshakes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open), f.idle.Len() + f.fresh.Len(), f.handshakes
}

// Stop implements exchange.Front. It refuses new connections, sends GOAWAY on existing ones, rejects their new requests with
// H3_REQUEST_REJECTED, and completes all requests that have been accepted (RFC 9114, section 5.2).
func (f *Front) Stop(ctx context.Context) error {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	if err := f.server.Shutdown(ctx); err != nil {
		return err
	}
	return f.Close()
}

// Close implements exchange.Front. It returns the first error from closing the server, the connections and the socket.
func (f *Front) Close() error {
	f.cancel()
	_ = f.listener.Close() // never fails
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
