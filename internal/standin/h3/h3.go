// Package h3 is a stand-in for an endpoint that speaks HTTP/3 on loopback, and
// does wrong on demand: its handler may reset a stream, drop a connection, or
// the whole endpoint may say GOAWAY, die or come back.
package h3

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Endpoint is one.
type Endpoint struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	served    chan struct{}

	mu          sync.Mutex
	connections int
}

type connectionKey struct{}

// Options are what an endpoint may have beside a handler.
type Options struct {
	ResetSecret [32]byte     // for stateless resets and session tickets, the same after a restart; none if zero
	EarlyData   bool         // early data is accepted
	MaxStreams  int64        // requests at once on one connection; 100 if 0
	Muted       *atomic.Bool // while it is true nothing is heard and nothing is said; nil for never
}

// mutedConn is a socket that can be muted, as that of a machine that is away.
type mutedConn struct {
	net.PacketConn
	muted *atomic.Bool
}

// SetReadBuffer and SetWriteBuffer are asked for by the library, which does with less if it must.
func (m mutedConn) SetReadBuffer(n int) error { return m.PacketConn.(*net.UDPConn).SetReadBuffer(n) }

func (m mutedConn) SetWriteBuffer(n int) error { return m.PacketConn.(*net.UDPConn).SetWriteBuffer(n) }

func (m mutedConn) ReadFrom(b []byte) (n int, from net.Addr, err error) {
	for {
		if n, from, err = m.PacketConn.ReadFrom(b); err != nil || !m.muted.Load() {
			return n, from, err
		}
	}
}

func (m mutedConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if m.muted.Load() {
		return len(b), nil
	}
	return m.PacketConn.WriteTo(b, to)
}

// Start serves at an address, a free one if it is empty.
func Start(address string, cert *tls.Certificate, o Options, handler http.HandlerFunc) (*Endpoint, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{served: make(chan struct{})}
	if e.socket, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	e.transport = &quic.Transport{Conn: e.socket}
	if o.Muted != nil {
		e.transport.Conn = mutedConn{e.socket, o.Muted}
	}
	conf := &tls.Config{Certificates: []tls.Certificate{*cert}, NextProtos: []string{http3.NextProtoH3}}
	if o.ResetSecret != [32]byte{} {
		key := quic.StatelessResetKey(o.ResetSecret)
		e.transport.StatelessResetKey = &key
		conf.SetSessionTicketKeys([][32]byte{o.ResetSecret})
	}
	if e.listener, err = e.transport.ListenEarly(conf, &quic.Config{Allow0RTT: o.EarlyData, MaxIncomingStreams: o.MaxStreams}); err != nil {
		e.socket.Close()
		return nil, err
	}
	e.server = &http3.Server{Handler: handler, ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
		e.mu.Lock()
		e.connections++
		e.mu.Unlock()
		return context.WithValue(ctx, connectionKey{}, c)
	}}
	go func() {
		defer close(e.served)
		e.server.ServeListener(e.listener)
	}()
	return e, nil
}

// Address is where it serves.
func (e *Endpoint) Address() string { return e.socket.LocalAddr().String() }

// Connections is how many there were.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connections
}

// Shutdown says GOAWAY, answers what it has, and ends with the context at the latest.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	e.listener.Close() // nobody new
	err := e.server.Shutdown(ctx)
	return errors.Join(err, e.end())
}

// Kill ends it without a word to anybody, as SIGKILL does.
func (e *Endpoint) Kill() {
	e.socket.Close()
	e.end()
}

// Close ends it.
func (e *Endpoint) Close() { e.end() }

func (e *Endpoint) end() error {
	err := e.server.Close()
	e.listener.Close()
	e.transport.Close()
	e.socket.Close()
	<-e.served
	return err
}

// ResetStream resets the stream of a request, nothing of whose answer has been written, with a code (RFC 9114,
// section 8.1). Later on a handler may panic with http.ErrAbortHandler, for H3_INTERNAL_ERROR.
func ResetStream(w http.ResponseWriter, code http3.ErrCode) {
	s, err := w.(http3.HTTPStreamer).HTTPStream()
	if err != nil {
		panic(err)
	}
	s.CancelRead(quic.StreamErrorCode(code))
	s.CancelWrite(quic.StreamErrorCode(code))
}

// CloseConnection closes the connection of a request.
func CloseConnection(r *http.Request, code http3.ErrCode) {
	r.Context().Value(connectionKey{}).(*quic.Conn).CloseWithError(quic.ApplicationErrorCode(code), "as the script says")
}

// IsEarly tells whether a request came before its handshake was complete.
func IsEarly(r *http.Request) bool {
	select {
	case <-r.Context().Value(connectionKey{}).(*quic.Conn).HandshakeComplete():
		return false
	default:
		return true
	}
}
