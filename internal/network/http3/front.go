package http3

import (
	"container/list"
	"context"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/exchange"
)

// Front takes callers' requests over HTTP/3 (RFC 9114).
type Front struct {
	settings  FrontSettings
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	ctx       context.Context // ends with Stop or Close
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu           sync.Mutex
	open         map[*quic.Conn]*callerConn
	fresh        list.List // of *caller that have brought no request yet, the oldest first
	idle         list.List // of *caller that have none under way, the longest idle first
	handshakes   int       // under way
	lastAccepted time.Time // when the last connection came
	stopping     bool
}

// callerConn is a connection from a caller.
type callerConn struct {
	front *Front
	conn  *quic.Conn

	// front.mu guards these.
	streams    int        // with a request under way
	list       *list.List // front.mute or front.idle while there is none
	element    *list.Element
	quietSince time.Time // when it came, or its last request ended
}

// Security is what a front proves itself with.
type Security struct {
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// SecretFile is what stateless resets, Retry tokens and session tickets are made with. The same one after a restart
	// lets callers of before be told at once that their connections are gone, and resume their sessions. Nil
	// stands for a new one.
	Secret []byte
	// Now is the time of day that keys of session tickets go by; nil for the clock.
	Now func() time.Time
}

// deriveKey makes one key of a secret for each purpose.
func deriveKey(secret []byte, purpose string) (key [32]byte) {
	text, err := hkdf.Key(sha256.New, secret, nil, "quincegap "+purpose, len(key))
	if err != nil {
		panic(err) // only where the length is beyond the hash's
	}
	copy(key[:], text)
	return key
}

// ticketKeys are the keys of a day and of the one before and after: a ticket holds for a day at least, at every
// sidecar with the same secret, even where clocks differ by hours. The first one encrypts.
func ticketKeys(secret []byte, now time.Time) (keys [][32]byte) {
	day := now.Unix() / int64((24 * time.Hour).Seconds())
	for _, d := range []int64{day, day - 1, day + 1} {
		keys = append(keys, deriveKey(secret, "ticket "+strconv.FormatInt(d, 10)))
	}
	return keys
}

// ticketKeyInterval is how often the keys of session tickets are looked at.
const ticketKeyInterval = time.Hour

// NewFront makes a front on a UDP socket, that hands what comes to a handler.
func NewFront(socket net.PacketConn, handler http.Handler, set FrontSettings, b Bounds, sec Security) (*Front, error) {
	f := &Front{settings: set, socket: socket, open: map[*quic.Conn]*callerConn{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	conf := &tls.Config{GetCertificate: sec.Certificate, MinVersion: tls.VersionTLS13, NextProtos: []string{http3.NextProtoH3}}
	f.transport = &quic.Transport{Conn: socket, ConnContext: f.startHandshake, VerifySourceAddress: f.requiresRetry}
	if sec.Secret != nil {
		now := sec.Now
		if now == nil {
			now = time.Now
		}
		reset, token := quic.StatelessResetKey(deriveKey(sec.Secret, "stateless reset")), quic.TokenGeneratorKey(deriveKey(sec.Secret, "token"))
		f.transport.StatelessResetKey, f.transport.TokenGeneratorKey = &reset, &token
		conf.SetSessionTicketKeys(ticketKeys(sec.Secret, now()))
		f.running.Go(func() {
			tick := time.NewTicker(ticketKeyInterval)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					conf.SetSessionTicketKeys(ticketKeys(sec.Secret, now()))
				case <-f.ctx.Done():
					return
				}
			}
		})
	}
	// Larger packets are not tried: the library does not notice a path whose MTU shrinks later (RFC 8899, section
	// 4.3), where all that is larger then is lost for good. Bookings fit into few packets either way.
	var err error
	f.listener, err = f.transport.ListenEarly(conf, &quic.Config{
		Allow0RTT: set.EarlyData != EarlyNever, MaxIncomingStreams: int64(set.MaxStreams), MaxIncomingUniStreams: 8,
		MaxIdleTimeout: b.IdleTimeout, HandshakeIdleTimeout: set.HandshakeTimeout, DisablePathMTUDiscovery: true,
		InitialStreamReceiveWindow: 16 << 10, MaxStreamReceiveWindow: exchange.MaxBody + 16<<10,
		InitialConnectionReceiveWindow: 64 << 10, MaxConnectionReceiveWindow: uint64(set.ConnectionWindow),
	})
	if err != nil {
		f.cancel()
		return nil, err
	}
	f.server = &http3.Server{
		Handler: f.countRequests(handler, b), MaxHeaderBytes: b.MaxHeaderBytes, IdleTimeout: b.IdleTimeout,
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	f.running.Go(func() { f.sweep(b) })
	return f, nil
}

// Bounds are those that callers of all protocols have.
type Bounds struct {
	MaxHeaderBytes int           // bytes of a request's headers
	RequestTimeout time.Duration // for a whole request
	IdleTimeout    time.Duration // between two
	WriteTimeout   time.Duration // from a request's headers to the end of its answer
}

type connKey struct{}

var errTooManyHandshakes = errors.New("too many handshakes")

// startHandshake takes note of a connection that begins. A handshake costs a signature, which is what a flood of
// Initials is after.
func (f *Front) startHandshake(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping || f.handshakes >= f.settings.MaxHandshakes {
		return nil, errTooManyHandshakes // CONNECTION_REFUSED, at once
	}
	f.handshakes++
	h := &handshake{front: f}
	context.AfterFunc(ctx, h.finish)
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

type handshakeKey struct{}

// handshake is one that is under way.
type handshake struct {
	front *Front
	done  bool
}

// runOn notes that it has ended, well or badly; the first word of it counts.
func (h *handshake) finish() {
	h.front.mu.Lock()
	defer h.front.mu.Unlock()
	if !h.done {
		h.done = true
		h.front.handshakes--
	}
}

// requiresRetry tells whether an address has to prove itself by a Retry (RFC 9000, section 8.1.2). It costs honest
// callers a round trip, so it is asked for under pressure only.
func (f *Front) requiresRetry(net.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2*f.handshakes >= f.settings.MaxHandshakes
}

// admittingListener lets connections in as far as there is room.
type admittingListener struct {
	*quic.EarlyListener
	front *Front
}

// Accept is of http3.QUICListener.
func (g admittingListener) Accept(ctx context.Context) (*quic.Conn, error) {
	for {
		conn, err := g.EarlyListener.Accept(ctx)
		if err != nil {
			return nil, err
		}
		if h, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
			go func() {
				select {
				case <-conn.HandshakeComplete():
					h.finish()
				case <-conn.Context().Done(): // what began it counts it off
				}
			}()
		}
		if g.front.admit(conn) {
			return conn, nil
		}
		conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), "no room")
	}
}

// admit makes room for a connection, in the place of one that has said nothing yet or stands idle, the longest
// first. If there is none, the new one is turned away; nothing that it sent has been looked at then.
func (f *Front) admit(conn *quic.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastAccepted = time.Now()
	if len(f.open) >= f.settings.MaxConnections {
		oldest := f.fresh.Front()
		if oldest == nil {
			oldest = f.idle.Front()
		}
		if oldest == nil {
			return false
		}
		f.closeConn(oldest.Value.(*callerConn), "idle, and others come")
	}
	c := &callerConn{front: f, conn: conn, quietSince: f.lastAccepted}
	c.list, c.element = &f.fresh, f.fresh.PushBack(c)
	f.open[conn] = c
	context.AfterFunc(conn.Context(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.remove(c)
	})
	return true
}

// closeConn ends a connection that has no request under way. The lock is held.
func (f *Front) closeConn(c *callerConn, why string) {
	f.remove(c)
	go c.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), why) // it waits for the connection's own goroutine
}

func (f *Front) remove(c *callerConn) {
	if f.open[c.conn] == c {
		delete(f.open, c.conn)
	}
	c.moveTo(nil)
}

// moveTo moves a caller into another list of those without a request; nil for none.
func (c *callerConn) moveTo(in *list.List) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
	if in != nil {
		c.list, c.element = in, in.PushBack(c)
	}
}

// sweepInterval is how often connections are looked at that nothing comes by.
const sweepInterval = 500 * time.Millisecond

// sweep ends connections that bring no request: QUIC's own time-outs go by packets, and one that sends a PING
// now and then, or half a request's headers, would stay for good.
func (f *Front) sweep(b Bounds) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
		}
		f.mu.Lock()
		for _, l := range []struct {
			list  *list.List
			limit time.Duration
			why   string
		}{{&f.fresh, b.RequestTimeout, "no request came"}, {&f.idle, b.IdleTimeout, "idle"}} {
			for at := l.list.Front(); at != nil; at = l.list.Front() {
				c := at.Value.(*callerConn)
				if time.Since(c.quietSince) < l.limit {
					break
				}
				f.closeConn(c, l.why)
			}
		}
		f.mu.Unlock()
	}
}

// requestStream is a request's way in: exchange.Caller.
type requestStream struct {
	caller *callerConn
	began  time.Time
}

// countRequests has a handler's requests counted.
func (f *Front) countRequests(handler http.Handler, b Bounds) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*quic.Conn)
		f.mu.Lock()
		c := f.open[conn]
		if c == nil { // it is being closed
			f.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		c.streams++
		c.moveTo(nil)
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if c.streams--; c.streams == 0 && f.open[conn] == c {
				c.quietSince = time.Now()
				c.moveTo(&f.idle)
			}
		}()
		s := &requestStream{caller: c, began: time.Now()}
		http.NewResponseController(w).SetWriteDeadline(s.began.Add(b.WriteTimeout))
		handler.ServeHTTP(w, r.WithContext(exchange.WithCaller(r.Context(), s)))
	})
}

// BeginRequest is of exchange.Caller. What there is no room for does not get so far.
func (s *requestStream) BeginRequest() (began time.Time, over bool) { return s.began, false }

// BodyReceived is of exchange.Caller.
func (s *requestStream) BodyReceived() (idles int) {
	s.caller.front.mu.Lock()
	defer s.caller.front.mu.Unlock()
	return s.caller.front.idle.Len()
}

// CloseAfter is of exchange.Caller: each request ends its own stream, and GOAWAY tells of the connection's end.
func (s *requestStream) CloseAfter(http.Header) {}

// AddHeaders is of exchange.Caller.
func (s *requestStream) AddHeaders(http.Header) {}

// EarlyRequests is of exchange.Caller. Until the handshake is complete, whoever sent this may be playing back what
// another has sent once: nothing but the handshake's own end proves otherwise (RFC 9001, section 9.2).
func (s *requestStream) Early() bool {
	select {
	case <-s.caller.conn.HandshakeComplete():
		return false
	default:
		return true
	}
}

// Confirm is of exchange.Caller.
func (s *requestStream) Confirm(ctx context.Context) bool {
	select {
	case <-s.caller.conn.HandshakeComplete():
		return true
	case <-ctx.Done():
		return false
	case <-s.caller.conn.Context().Done():
		return false
	}
}

// Serve is of exchange.Front.
func (f *Front) Serve() error {
	if err := f.server.ServeListener(admittingListener{f.listener, f}); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("HTTP/3: %w", err)
	}
	return nil
}

// Address is where it takes connections.
func (f *Front) Address() net.Addr { return f.socket.LocalAddr() }

// Quiet is of exchange.Front.
func (f *Front) Quiet(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open) == 0 && time.Since(f.lastAccepted) >= d
}

// Counts are the connections: all, those without a request, and handshakes under way.
func (f *Front) Counts() (open, idle, handshakes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open), f.idle.Len() + f.fresh.Len(), f.handshakes
}

// Stop is of exchange.Front: no new connection, GOAWAY to those that stand, whose new requests are refused with
// H3_REQUEST_REJECTED, and answers to all that was taken (RFC 9114, section 5.2).
func (f *Front) Stop(ctx context.Context) error {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	err := f.server.Shutdown(ctx)
	if err == nil {
		err = f.Close()
	}
	return err
}

// Close is of exchange.Front.
func (f *Front) Close() error {
	f.cancel()
	f.listener.Close()
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
