// Package h3 simulates an endpoint that serves HTTP/3 on loopback, with faults on demand: its handler can reset a stream or close a
// connection, and the endpoint can send GOAWAY, be killed, be muted or restart at the same address.
package h3

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Endpoint is an HTTP/3 server on a dedicated UDP socket.
type Endpoint struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	served    chan struct{} // closed when the server has stopped accepting connections

	mu          sync.Mutex
	connections int // number of connections opened so far
}

// connectionKey is the context key for the connection of a request.
type connectionKey struct{}

// Options configures an endpoint.
type Options struct {
	ResetSecret [32]byte     // key of stateless resets and session tickets, which must be the same after a restart; zero for no configured key
	EarlyData   bool         // whether early data (0-RTT) is accepted
	MaxStreams  int64        // maximum number of concurrent requests on one connection; 0 for 100
	Muted       *atomic.Bool // while true, the endpoint receives and sends no packets; nil if it is never muted
}

// mutedConn is a socket that can be muted, to simulate a machine that has lost its network.
type mutedConn struct {
	net.PacketConn
	muted *atomic.Bool
}

// SetReadBuffer sets the size of the receive buffer. quic-go calls it, and accepts a smaller buffer if it fails.
func (m mutedConn) SetReadBuffer(bytes int) error {
	return m.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer sets the size of the send buffer. quic-go calls it, and accepts a smaller buffer if it fails.
func (m mutedConn) SetWriteBuffer(bytes int) error {
	return m.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}

// ReadFrom reads a packet. It discards packets that arrive while the socket is muted.
func (m mutedConn) ReadFrom(b []byte) (n int, from net.Addr, err error) {
	for {
		if n, from, err = m.PacketConn.ReadFrom(b); err != nil || !m.muted.Load() {
			return n, from, err
		}
	}
}

// WriteTo sends a packet. It discards the packet while the socket is muted.
func (m mutedConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if m.muted.Load() {
		return len(b), nil
	}
	return m.PacketConn.WriteTo(b, to)
}

// Start starts an endpoint on address (host:port), or on a free loopback port if address is empty. It fails if the address is invalid or
// the endpoint cannot listen.
func Start(address string, certificate *tls.Certificate, options Options, handler http.HandlerFunc) (*Endpoint, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("HTTP/3 endpoint: resolve address: %w", err)
	}
	e := &Endpoint{served: make(chan struct{})}
	if e.socket, err = net.ListenUDP("udp", udpAddress); err != nil {
		return nil, fmt.Errorf("HTTP/3 endpoint: open socket: %w", err)
	}
	if err := e.listen(certificate, &options); err != nil {
		return nil, fmt.Errorf("HTTP/3 endpoint: listen: %w", errors.Join(err, e.socket.Close()))
	}
	e.server = &http3.Server{Handler: handler, ConnContext: e.withConnection}
	go func() {
		defer close(e.served)
		_ = e.server.ServeListener(e.listener) // always returns an error, because only closing the listener ends it
	}()
	return e, nil
}

// listen creates the transport and the listener on the socket.
func (e *Endpoint) listen(certificate *tls.Certificate, options *Options) error {
	e.transport = &quic.Transport{Conn: e.socket}
	if options.Muted != nil {
		e.transport.Conn = mutedConn{e.socket, options.Muted}
	}
	tlsConfig := &tls.Config{Certificates: []tls.Certificate{*certificate}, NextProtos: []string{http3.NextProtoH3}}
	if options.ResetSecret != [32]byte{} {
		key := quic.StatelessResetKey(options.ResetSecret)
		e.transport.StatelessResetKey = &key
		tlsConfig.SetSessionTicketKeys([][32]byte{options.ResetSecret})
	}
	quicConfig := &quic.Config{Allow0RTT: options.EarlyData, MaxIncomingStreams: options.MaxStreams}
	var err error
	e.listener, err = e.transport.ListenEarly(tlsConfig, quicConfig)
	return err
}

// withConnection counts a connection, and adds it to the contexts of its requests.
func (e *Endpoint) withConnection(ctx context.Context, connection *quic.Conn) context.Context {
	e.mu.Lock()
	e.connections++
	e.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, connection)
}

// Address returns the host:port that the endpoint listens on.
func (e *Endpoint) Address() string { return e.socket.LocalAddr().String() }

// Connections returns the number of connections opened so far.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connections
}

// Shutdown accepts no new connections, sends GOAWAY, waits for pending requests until the context is done, and stops the endpoint.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	listenerErr := e.listener.Close() // refuses new connections
	serverErr := e.server.Shutdown(ctx)
	return errors.Join(listenerErr, serverErr, e.closeAll())
}

// Kill stops the endpoint without sending any packet, as if its process received SIGKILL.
func (e *Endpoint) Kill() {
	_ = e.socket.Close() // closed first, so that no packet can be sent to peers
	_ = e.closeAll()     // fails because the socket is closed
}

// Close stops the endpoint and closes its connections.
func (e *Endpoint) Close() {
	_ = e.closeAll() // an error is harmless: the endpoint is no longer used
}

// closeAll closes the server, listener, transport and socket, and waits until the server accepts no more connections. It
// returns the error of closing the server.
func (e *Endpoint) closeAll() error {
	err := e.server.Close()
	// Errors are ignored: closing one of these can already have closed the next.
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.socket.Close()
	<-e.served
	return err
}

// ResetStream resets the stream of a request with an error code (RFC 9114, section 8.1). Call it before any part of the response is
// written; after that, a handler can panic with http.ErrAbortHandler, which resets the stream with H3_INTERNAL_ERROR.
func ResetStream(w http.ResponseWriter, code http3.ErrCode) {
	stream, err := w.(http3.HTTPStreamer).HTTPStream()
	if err != nil {
		panic(err)
	}
	stream.CancelRead(quic.StreamErrorCode(code))
	stream.CancelWrite(quic.StreamErrorCode(code))
}

// CloseConnection closes the connection of a request with an error code.
func CloseConnection(r *http.Request, code http3.ErrCode) {
	_ = connectionOf(r).CloseWithError(quic.ApplicationErrorCode(code), "as the script says") // documented to always return nil
}

// IsEarly reports whether the TLS handshake of a request's connection is still incomplete, so that the request is early data (0-RTT).
func IsEarly(r *http.Request) bool {
	select {
	case <-connectionOf(r).HandshakeComplete():
		return false
	default:
		return true
	}
}

// connectionOf returns the connection of a request.
func connectionOf(r *http.Request) *quic.Conn { return r.Context().Value(connectionKey{}).(*quic.Conn) }
