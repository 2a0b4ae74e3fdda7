package http3

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

const (
	maxHeadBytes = 16 << 10
	maxTickets   = 1024 // sessions that may be resumed
)

// Transport makes attempts over HTTP/3: several at once on one connection, each on a stream of its own.
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

	conns map[*exchange.Endpoint][]*endpointConn // the loop's, like what follows
	open  int
}

// NewTransport makes one on a UDP socket, for so many connections at once, each kept so long without attempts;
// pool has the authorities for endpoints' certificates, nil for the system's.
func NewTransport(socket net.PacketConn, set TransportSettings, pool *x509.CertPool, most int, maxIdle time.Duration) *Transport {
	t := &Transport{
		settings: set, maxOpen: most, maxIdle: maxIdle, socket: socket, quic: &quic.Transport{Conn: socket},
		h3:        &http3.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
		tlsConfig: &tls.Config{RootCAs: pool, ServerName: set.ServerName, MinVersion: tls.VersionTLS13, NextProtos: []string{http3.NextProtoH3}},
		// One cache for all: a ticket is of use with the endpoint alone that gave it.
		sessionCache: tls.NewLRUClientSessionCache(maxTickets), conns: map[*exchange.Endpoint][]*endpointConn{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// addressCache are one address's in the cache of all.
type addressCache struct {
	tls.ClientSessionCache
	address string
}

func (t addressCache) Get(key string) (*tls.ClientSessionState, bool) {
	return t.ClientSessionCache.Get(t.address + " " + key)
}

func (t addressCache) Put(key string, s *tls.ClientSessionState) {
	t.ClientSessionCache.Put(t.address+" "+key, s)
}

// endpointConn is a connection to an endpoint, or one that is being made.
type endpointConn struct {
	ready  chan struct{} // closed once it has come about, or not
	conn   *quic.Conn    // valid then, like what follows
	client *http3.ClientConn
	err    error

	attempts  int // the loop's, like what follows
	idleSince time.Time
	retired   bool // it gets no further attempts
}

// usable tells whether it may come to carry another attempt.
func (s *endpointConn) usable() bool {
	if s.retired {
		return false
	}
	select {
	case <-s.ready:
		return s.err == nil && s.conn.Context().Err() == nil
	default:
		return true
	}
}

// Counts are the connections: all, and those without attempts.
func (t *Transport) Counts() (open, idle int) {
	for _, all := range t.conns {
		for _, s := range all {
			if s.attempts == 0 {
				idle++
			}
		}
	}
	return t.open, idle
}

// Acquire is of exchange.Transport.
func (t *Transport) Acquire(e *exchange.Endpoint, now time.Time) (exchange.Conn, bool) {
	for _, s := range t.conns[e] {
		if s.attempts < t.settings.MaxStreams && s.usable() {
			s.attempts++
			return s, true
		}
	}
	if t.open >= t.maxOpen && !t.evictOne() {
		return nil, false
	}
	s := &endpointConn{ready: make(chan struct{}), attempts: 1}
	t.add(e, s)
	t.dialing.Go(func() { t.dial(s, e.Address, t.settings.EarlyRequests) })
	return s, true
}

func (t *Transport) add(e *exchange.Endpoint, s *endpointConn) {
	t.conns[e] = append(t.conns[e], s)
	t.open++
}

// evictOne closes the connection that has been idle for the longest.
func (t *Transport) evictOne() bool {
	var oldest *endpointConn
	var of *exchange.Endpoint
	for e, all := range t.conns {
		for _, s := range all {
			if s.attempts == 0 && (oldest == nil || s.idleSince.Before(oldest.idleSince)) {
				oldest, of = s, e
			}
		}
	}
	if oldest == nil {
		return false
	}
	t.close(of, oldest)
	return true
}

// close closes a connection without attempts.
func (t *Transport) close(e *exchange.Endpoint, s *endpointConn) {
	all := slices.DeleteFunc(t.conns[e], func(x *endpointConn) bool { return x == s })
	if t.open--; len(all) > 0 {
		t.conns[e] = all
	} else {
		delete(t.conns, e)
	}
	go s.close() // it waits for the connection's own goroutine
}

func (s *endpointConn) close() {
	<-s.ready
	if s.err == nil {
		s.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

// Release is of exchange.Transport.
func (t *Transport) Release(e *exchange.Endpoint, acquired, left exchange.Conn) {
	s, _ := acquired.(*endpointConn)
	if s == nil {
		return
	}
	if s.attempts--; s.attempts == 0 {
		s.idleSince = time.Now()
	}
	if other, _ := left.(*endpointConn); other != nil && other != s {
		// Run made another one, for s was of no more use.
		s.retired = true
		other.idleSince = time.Now()
		t.add(e, other)
		if !e.Open.Load() || t.open > t.maxOpen {
			t.close(e, other)
		}
	}
	if s.attempts == 0 && (!e.Open.Load() || !s.usable()) {
		t.close(e, s)
	}
}

// CloseIdle is of exchange.Transport.
func (t *Transport) CloseIdle(e *exchange.Endpoint) {
	for _, s := range slices.Clone(t.conns[e]) {
		if s.attempts == 0 {
			t.close(e, s)
		}
	}
}

// Sweep is of exchange.Transport.
func (t *Transport) Sweep(now time.Time) {
	for e, all := range maps.Clone(t.conns) {
		for _, s := range slices.Clone(all) {
			if s.attempts == 0 && (now.Sub(s.idleSince) >= t.maxIdle || !s.usable()) {
				t.close(e, s)
			}
		}
	}
}

// Close is of exchange.Transport. Nothing may be acquired any more.
func (t *Transport) Close() {
	t.cancel()
	t.dialing.Wait()
	t.quic.Close()
	t.socket.Close()
}

// dial makes a connection.
func (t *Transport) dial(s *endpointConn, address string, early bool) {
	defer close(s.ready)
	ctx, cancel := context.WithTimeout(t.ctx, t.settings.HandshakeTimeout)
	defer cancel()
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		s.err = err
		return
	}
	host, _, _ := net.SplitHostPort(address)
	conf := t.tlsConfig.Clone()
	conf.ServerName = cmp.Or(t.settings.ServerName, host)
	conf.ClientSessionCache = addressCache{t.sessionCache, address}
	dial := t.quic.Dial
	if early {
		dial = t.quic.DialEarly
	}
	if s.conn, s.err = dial(ctx, at, conf, &quic.Config{
		HandshakeIdleTimeout: t.settings.HandshakeTimeout, MaxIdleTimeout: t.settings.UnresponsiveTimeout, KeepAlivePeriod: t.settings.UnresponsiveTimeout / 3, MaxIncomingStreams: -1, MaxIncomingUniStreams: 8,
		DisablePathMTUDiscovery:    true, // as at the front
		InitialStreamReceiveWindow: 16 << 10, MaxStreamReceiveWindow: exchange.MaxBody + maxHeadBytes,
		InitialConnectionReceiveWindow: 64 << 10, MaxConnectionReceiveWindow: uint64(t.settings.MaxStreams) * (exchange.MaxBody + maxHeadBytes),
	}); s.err == nil {
		s.client = t.h3.NewClientConn(s.conn)
	}
}

// isAuthError tells whether a connection failed for who answered, and not for want of a way: to fall back from
// that to a protocol that proves nothing would be what an impostor is after.
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

// Run is of exchange.Transport.
func (t *Transport) Run(a *exchange.Attempt, c exchange.Conn) (res exchange.Result) {
	defer func() { res.Elapsed = time.Since(a.Sent) }()
	s := c.(*endpointConn)
	select {
	case <-s.ready:
	case <-a.Context.Done():
		return exchange.Result{Status: a.UnsentStatus()}
	}
	if s.err != nil {
		if a.Context.Err() == nil && !isAuthError(s.err) {
			return exchange.Result{Status: balancer.StatusConnectFailed, Unreachable: true}
		}
		return exchange.Result{Status: a.UnsentStatus()}
	}
	early := a.Request.Safe && t.settings.EarlyRequests
	res, unsent := t.runOn(a, s, early)
	if !unsent {
		return res
	}
	// The connection was of no more use, and nothing was sent on it: one more is made, as with an idle
	// connection of HTTP/1.1 that its endpoint has closed.
	next := &endpointConn{ready: make(chan struct{})}
	t.dial(next, a.Endpoint.Address, false)
	if next.err != nil {
		return exchange.Result{Status: a.UnsentStatus(), Unreachable: a.Context.Err() == nil && !isAuthError(next.err)}
	}
	res, unsent = t.runOn(a, next, false)
	if unsent {
		res = exchange.Result{Status: a.UnsentStatus()}
	}
	res.Conn = next
	return res
}

// waitConfirmed waits until what is sent cannot be early data any more.
func (s *endpointConn) waitConfirmed(ctx context.Context) error {
	select {
	case <-s.conn.HandshakeComplete():
		return nil
	case <-s.conn.Context().Done():
		return context.Cause(s.conn.Context())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runOn makes the attempt over a connection. unsent tells that nothing was sent, because the connection is of no
// more use.
func (t *Transport) runOn(a *exchange.Attempt, s *endpointConn, early bool) (res exchange.Result, unsent bool) {
	if !early {
		if err := s.waitConfirmed(a.Context); err != nil {
			return exchange.Result{Status: a.UnsentStatus()}, a.Context.Err() == nil
		}
	}
	// The handshake may have outlasted the endpoint's welcome.
	if !a.Endpoint.Open.Load() || a.Context.Err() != nil {
		return exchange.Result{Status: balancer.StatusNotSent}, false
	}
	a.Endpoint.Waiting.Add(1)
	res, err := t.exchange(a, s.client, early)
	a.Endpoint.Waiting.Add(-1)
	switch {
	case err == nil:
	case errors.Is(err, quic.Err0RTTRejected):
		// All that went early is as if it had never been sent (RFC 9001, section 4.6.2). The connection could go on,
		// with streams numbered anew; what the library then still sends for the old ones gets in their way.
		s.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		return exchange.Result{Status: a.UnsentStatus()}, a.Context.Err() == nil
	case isNeverSent(err):
		return exchange.Result{Status: a.UnsentStatus()}, a.Context.Err() == nil
	case isRejected(err):
		// RFC 9114, section 4.1.1: the request was not processed.
		res = exchange.Result{Status: balancer.StatusRejected}
	default:
		res = exchange.Result{Status: a.IncompleteStatus(s.conn.Context().Err() != nil)}
		if res.Status == balancer.StatusReset {
			t.checkEndpoint(a, &res)
		}
	}
	return res, false
}

// checkEndpoint tells a connection that alone broke from an endpoint that did, as over HTTP/1.1. Where no new one
// comes about by UDP, it may be the way that broke: an endpoint that takes TCP is there.
func (t *Transport) checkEndpoint(a *exchange.Attempt, res *exchange.Result) {
	if a.Endpoint.Waiting.Load() > 0 {
		res.Status = balancer.StatusInvalidResponse
		return
	}
	next := &endpointConn{ready: make(chan struct{})}
	if t.dial(next, a.Endpoint.Address, false); next.err == nil {
		res.Status, res.Conn = balancer.StatusInvalidResponse, next
		return
	}
	dialer := net.Dialer{Timeout: t.settings.HandshakeTimeout}
	if c, err := dialer.DialContext(a.Context, "tcp", a.Endpoint.Address); err == nil {
		c.Close()
		res.Status, res.Blocked = balancer.StatusInvalidResponse, true
	}
}

// isNeverSent tells that no stream could be opened for a request. The library's type for that has no name
// outside it. Where its words should change, this says no: then the attempt counts as one that may have run.
func isNeverSent(err error) bool { return strings.HasPrefix(err.Error(), "http3: conn unusable: ") }

// isRejected tells that an endpoint has not looked at a request.
func isRejected(err error) bool {
	e, ok := errors.AsType[*http3.Error](err)
	if !ok || !e.Remote || e.ErrorCode != http3.ErrCodeRequestRejected {
		return false
	}
	_, stream := errors.AsType[*quic.StreamError](err)
	return stream
}

var (
	errMalformed = errors.New("cannot be read")
	errNoMemory  = errors.New("no memory for the body")
)

// newRequest is what goes out. What the library would add of its own is kept out of it.
func newRequest(a *exchange.Attempt, early bool) (*http.Request, error) {
	in := a.Request
	deadline, _ := a.Context.Deadline()
	target := &url.URL{Scheme: "https", Host: in.Host, Opaque: in.Target}
	if strings.HasPrefix(in.Target, "//") { // an opaque one would be taken for another host's
		var err error
		if target, err = url.ParseRequestURI(in.Target); err != nil {
			return nil, err
		}
		target.Scheme = "https"
	}
	r := &http.Request{Method: in.Method, URL: target, Host: in.Host, Header: maps.Clone(in.Header)}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	delete(r.Header, "Content-Length")
	r.Header["X-Remaining"] = []string{strconv.FormatInt(max(time.Until(deadline), 0).Microseconds(), 10) + "u"}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""} // none
	}
	if early && r.Method == http.MethodGet {
		r.Method = http3.MethodGet0RTT
	}
	if len(in.Body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(in.Body)), int64(len(in.Body))
	}
	return r.WithContext(a.Context), nil
}

// exchange sends the request on a stream of its own, and reads the answer.
func (t *Transport) exchange(a *exchange.Attempt, client *http3.ClientConn, early bool) (res exchange.Result, err error) {
	r, err := newRequest(a, early)
	if err != nil {
		return res, err
	}
	answer, err := client.RoundTrip(r)
	if err != nil {
		return res, err
	}
	defer answer.Body.Close() // what is left of it is called off
	if answer.StatusCode < http.StatusOK || answer.ContentLength > exchange.MaxBody {
		return res, errMalformed
	}
	if !a.Bodies.Reserve(exchange.MaxBody) {
		return res, errNoMemory
	}
	kept := 0
	defer func() { a.Bodies.Release(exchange.MaxBody - kept) }()
	body, err := exchange.ReadAll(answer.Body)
	if err != nil {
		return res, err
	}
	res = exchange.ResultOf(answer.StatusCode, answer.Header, body)
	if res.Response != nil {
		kept = len(body)
	}
	if answer.StatusCode == http.StatusTooEarly && early {
		res.Status = balancer.StatusRejected // it has not run (RFC 8470, section 5.2)
	}
	return res, nil
}
