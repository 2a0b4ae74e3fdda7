// Package h3 is a stand-in for an endpoint that speaks HTTP/3 on loopback, with faults on demand: its handler may reset a stream
// or close a connection, and the endpoint as a whole may send GOAWAY, be killed, be muted or come back at the same address.
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

// Endpoint is an HTTP/3 server on a UDP socket of its own.
type Endpoint struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	served    chan struct{} // closed when nothing is accepted any more

	mu          sync.Mutex
	connections int
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Options are the options of an endpoint.
type Options struct {
	ResetSecret [32]byte     // for stateless resets and session tickets, the same after a restart; zero for none
	EarlyData   bool         // accept early data (0-RTT)
	MaxStreams  int64        // concurrent requests on one connection; 0 for 100
	Muted       *atomic.Bool // while it is true nothing is received and nothing is sent; nil for never
}

// mutedConn is a socket that can be muted, like that of a machine that has lost its network.
type mutedConn struct {
	net.PacketConn
	muted *atomic.Bool
}

// SetReadBuffer is asked for by the library, which does with less if it must.
func (m mutedConn) SetReadBuffer(bytes int) error {
	return m.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer is asked for by the library, which does with less if it must.
func (m mutedConn) SetWriteBuffer(bytes int) error {
	return m.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}

// ReadFrom drops what comes while the socket is muted.
func (m mutedConn) ReadFrom(b []byte) (n int, from net.Addr, err error) {
	for {
		if n, from, err = m.PacketConn.ReadFrom(b); err != nil || !m.muted.Load() {
			return n, from, err
		}
	}
}

// WriteTo drops what is sent while the socket is muted.
func (m mutedConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if m.muted.Load() {
		return len(b), nil
	}
	return m.PacketConn.WriteTo(b, to)
}

// Start serves at an address, a free loopback port if it is empty.
func Start(address string, certificate *tls.Certificate, options Options, handler http.HandlerFunc) (*Endpoint, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("HTTP/3 endpoint: %w", err)
	}
	e := &Endpoint{served: make(chan struct{})}
	if e.socket, err = net.ListenUDP("udp", udpAddress); err != nil {
		return nil, fmt.Errorf("HTTP/3 endpoint: %w", err)
	}
	if err := e.listen(certificate, &options); err != nil {
		return nil, fmt.Errorf("HTTP/3 endpoint: %w", errors.Join(err, e.socket.Close()))
	}
	e.server = &http3.Server{Handler: handler, ConnContext: e.withConnection}
	go func() {
		defer close(e.served)
		_ = e.server.ServeListener(e.listener) // ends with an error whenever the listener is closed
	}()
	return e, nil
}

// listen sets up the transport and the listener on the socket.
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

// Address returns the host:port where it serves.
func (e *Endpoint) Address() string { return e.socket.LocalAddr().String() }

// Connections returns how many connections have been opened so far.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connections
}

// Shutdown sends GOAWAY, answers the requests that it has, and ends with the context at the latest.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	closing := e.listener.Close() // no new connections
	shutdown := e.server.Shutdown(ctx)
	return errors.Join(closing, shutdown, e.end())
}

// Kill ends the endpoint without a packet to anybody, as SIGKILL does.
func (e *Endpoint) Kill() {
	_ = e.socket.Close() // peers get no packet of a closed socket,
	_ = e.end()          // and so this fails
}

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() {
	_ = e.end() // nobody is left who could do something about it
}

// end closes all that is open, and waits for the server. The error is that of the server's close.
func (e *Endpoint) end() error {
	err := e.server.Close()
	// Each of the others is closed already where the one before has closed it.
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.socket.Close()
	<-e.served
	return err
}

// ResetStream resets the stream of a request, nothing of whose answer has been written, with a code (RFC 9114,
// section 8.1). Later on a handler may panic with http.ErrAbortHandler, for H3_INTERNAL_ERROR.
func ResetStream(w http.ResponseWriter, code http3.ErrCode) {
	stream, err := w.(http3.HTTPStreamer).HTTPStream()
	if err != nil {
		panic(err)
	}
	stream.CancelRead(quic.StreamErrorCode(code))
	stream.CancelWrite(quic.StreamErrorCode(code))
}

// CloseConnection closes the connection of a request.
func CloseConnection(r *http.Request, code http3.ErrCode) {
	_ = connectionOf(r).CloseWithError(quic.ApplicationErrorCode(code), "as the script says") // always nil, by its documentation
}

// IsEarly reports whether a request came before its handshake was complete.
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
