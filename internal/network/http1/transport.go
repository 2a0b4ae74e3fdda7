package http1

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

const (
	maxBodyBytes     = exchange.MaxBody
	maxHeadBytes     = 16 << 10
	maxInformational = 16 // 1xx responses before the final one
	// settleTime is how long a connection rests after an answer. Nothing ties an answer to its request, so what an
	// endpoint sends beyond an answer must be seen before the next request is written.
	settleTime = time.Millisecond
	// resetSpread is how long a process that dies may take to reset all its connections.
	resetSpread = 3 * time.Millisecond
)

// conn is a connection to an endpoint; it carries one attempt at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader // of what Read gives
	readable  int           // bytes that may still be read
	idleSince time.Time
	endpoint  *exchange.Endpoint // while it is idle:
	element   *list.Element
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReader(c)
	return c
}

// Read never brings more than was allowed: an endpoint may go on without end.
func (c *conn) Read(b []byte) (int, error) {
	if c.readable <= 0 {
		return 0, exchange.ErrBodyTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readable)])
	c.readable -= n
	return n, err
}

// alive tells whether an idle connection can carry a request: its peer has neither closed it nor sent what
// nobody asked for.
func (c *conn) alive() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	n, peek := peekByte(raw)
	return n < 0 && (peek == syscall.EAGAIN || peek == syscall.EINTR)
}

// peekByte looks for a byte to read, without taking it or waiting.
func peekByte(raw syscall.RawConn) (n int, err error) {
	n = -1
	// Not raw.Read: that would wait for another goroutine's Read to end.
	if fault := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); fault != nil {
		return -1, fault
	}
	return n, err
}

// Transport makes attempts over HTTP/1.1: one on a connection at a time.
type Transport struct {
	pool
	connectTimeout time.Duration
}

// NewTransport makes one with its bounds: connections, in use and idle, to all endpoints together; how long
// one may stand idle; how long making one may take.
func NewTransport(most int, maxIdle, connect time.Duration) *Transport {
	return &Transport{pool{idle: map[*exchange.Endpoint][]*conn{}, maxOpen: most, maxIdle: maxIdle}, connect}
}

// SetMaxIdle changes how long a connection may stand idle.
func (t *Transport) SetMaxIdle(d time.Duration) { t.maxIdle = d }

// Counts are the connections: all, and those that stand idle.
func (t *Transport) Counts() (open, idle int) { return t.open, t.idleOrder.Len() }

// IdleAt is how many stand idle to an address.
func (t *Transport) IdleAt(address string) (n int) {
	for e, conns := range t.idle {
		if e.Address == address {
			n += len(conns)
		}
	}
	return n
}

// Acquire is of exchange.Transport.
func (t *Transport) Acquire(e *exchange.Endpoint, now time.Time) (exchange.Conn, bool) {
	c, ok := t.acquire(e, now)
	if c == nil {
		return nil, ok // not a nil in an interface
	}
	return c, ok
}

// Release is of exchange.Transport.
func (t *Transport) Release(e *exchange.Endpoint, _, left exchange.Conn) {
	c, _ := left.(*conn)
	t.release(e, c)
}

// CloseIdle is of exchange.Transport.
func (t *Transport) CloseIdle(e *exchange.Endpoint) { t.closeIdle(e) }

// Sweep is of exchange.Transport.
func (t *Transport) Sweep(now time.Time) { t.sweep(now) }

// Close closes what stands idle.
func (t *Transport) Close() {
	for e := range t.idle {
		t.closeIdle(e)
	}
}

// Run is of exchange.Transport.
func (t *Transport) Run(a *exchange.Attempt, c exchange.Conn) exchange.Result {
	had, _ := c.(*conn)
	return (&attempt{a}).run(had, t.connectTimeout)
}

// pool holds the idle connections to all endpoints, and bounds all connections to them.
type pool struct {
	idle      map[*exchange.Endpoint][]*conn // the most recently used last
	idleOrder list.List                      // of all idle ones, the longest idle first
	open      int                            // connections in use, idle or being made
	maxOpen   int
	maxIdle   time.Duration
}

// acquire takes the most recently used connection; nil asks for a new one. It is false when there may be no
// further connection. Whether the connection is alive shows when it is used.
func (p *pool) acquire(e *exchange.Endpoint, now time.Time) (c *conn, ok bool) {
	if conns := p.idle[e]; len(conns) > 0 {
		if last := conns[len(conns)-1]; now.Sub(last.idleSince) < p.maxIdle {
			p.removeIdle(last)
			return last, true
		}
		p.closeIdle(e) // the others are older
	}
	if p.open >= p.maxOpen {
		oldest := p.idleOrder.Front()
		if oldest == nil {
			return nil, false
		}
		p.close(oldest.Value.(*conn))
	}
	p.open++
	return nil, true
}

// release takes a connection back after an attempt; nil if it is closed.
func (p *pool) release(e *exchange.Endpoint, c *conn) {
	switch {
	case c == nil:
		p.open--
	case !e.Open.Load():
		c.Close()
		p.open--
	default:
		c.idleSince = time.Now()
		c.endpoint = e
		c.element = p.idleOrder.PushBack(c)
		p.idle[e] = append(p.idle[e], c)
	}
}

// removeIdle takes a connection out of the idle ones.
func (p *pool) removeIdle(c *conn) {
	p.idleOrder.Remove(c.element)
	conns := p.idle[c.endpoint]
	i := slices.Index(conns, c)
	if conns = slices.Delete(conns, i, i+1); len(conns) == 0 {
		delete(p.idle, c.endpoint)
	} else {
		p.idle[c.endpoint] = conns
	}
}

// close closes an idle connection.
func (p *pool) close(c *conn) {
	p.removeIdle(c)
	c.Close()
	p.open--
}

func (p *pool) closeIdle(e *exchange.Endpoint) {
	for _, c := range slices.Clone(p.idle[e]) {
		p.close(c)
	}
}

// sweep closes connections that have been idle for too long or whose peer has closed them.
func (p *pool) sweep(now time.Time) {
	for at := p.idleOrder.Front(); at != nil; {
		c := at.Value.(*conn)
		at = at.Next()
		if now.Sub(c.idleSince) >= p.maxIdle || !c.alive() {
			p.close(c)
		}
	}
}

// attempt is one over this protocol.
type attempt struct{ *exchange.Attempt }

// run makes the attempt: one write on one connection, and the answer to it. net/http's Transport would send
// a request again by itself and does not tell whether its last byte was written, so it is not used here.
// When run returns, the connection is either closed or free, so the Balancer may send again.
func (a *attempt) run(c *conn, connectTimeout time.Duration) (res exchange.Result) {
	defer func() { res.Elapsed = time.Since(a.Sent) }()
	if c != nil {
		time.Sleep(time.Until(c.idleSince.Add(settleTime)))
		if !c.alive() {
			c.Close()
			c = nil
		}
	}
	if c == nil {
		var err error
		if c, err = a.dial(connectTimeout); err != nil {
			return exchange.Result{Status: a.UnsentStatus()}
		}
	}
	res = a.runOn(c)
	if res.Status == balancer.StatusReset {
		a.checkEndpoint(&res, connectTimeout)
	}
	return res
}

// dial makes a connection. One that fails at once is tried once more: endpoints reset new connections now and
// then, and a dead one does it twice.
func (a *attempt) dial(timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	raw, err := dialer.DialContext(a.Context, "tcp", a.Endpoint.Address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		raw, err = dialer.DialContext(a.Context, "tcp", a.Endpoint.Address)
	}
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// checkEndpoint tells a connection that alone broke from an endpoint that did: one that ends takes all its
// connections along and accepts no new ones. Taken for that, one connection would cost a sound endpoint its
// place, and then a slow start. The new connection takes the broken one's place.
func (a *attempt) checkEndpoint(res *exchange.Result, connectTimeout time.Duration) {
	time.Sleep(resetSpread)
	if a.Endpoint.Waiting.Load() > 0 {
		res.Status = balancer.StatusInvalidResponse
		return
	}
	if c, err := a.dial(connectTimeout); err == nil {
		res.Status, res.Conn = balancer.StatusInvalidResponse, c
	}
}

// runOn makes the attempt over a connection.
func (a *attempt) runOn(c *conn) exchange.Result {
	release := context.AfterFunc(a.Context, func() { c.Close() })
	res := a.exchange(c)
	if !release() || res.Conn == nil {
		c.Close()
		res.Conn = nil
	}
	return res
}

func (a *attempt) exchange(c *conn) exchange.Result {
	deadline, _ := a.Context.Deadline()
	text := encode(a.Request, time.Until(deadline))
	// The dial may have outlasted the endpoint's welcome.
	if !a.Endpoint.Open.Load() || a.Context.Err() != nil {
		return exchange.Result{Status: balancer.StatusNotSent}
	}
	if n, err := c.Write(text); err != nil && n < len(text) {
		return exchange.Result{Status: a.UnsentStatus()}
	}
	a.Endpoint.Waiting.Add(1)
	res, err := a.read(c)
	a.Endpoint.Waiting.Add(-1)
	if err != nil {
		res.Status = a.IncompleteStatus(errors.As(err, new(*net.OpError)) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
			errors.Is(err, io.ErrClosedPipe))
	}
	return res
}

var (
	errMalformed = errors.New("cannot be read")
	errNoMemory  = errors.New("no memory for the body")
)

// read takes the response to the request that was written. An error that is not the connection's means that
// the response cannot be used; its connection is of no more use then.
func (a *attempt) read(c *conn) (res exchange.Result, err error) {
	c.readable = maxHeadBytes
	var code int
	var header textproto.MIMEHeader
	var lasting bool
	for range maxInformational + 1 {
		if code, header, lasting, err = readHead(c.reader); err != nil {
			return res, err
		}
		if code >= http.StatusOK {
			break
		}
	}
	if code < http.StatusOK {
		return res, errMalformed // its real answer is still to come
	}
	if !a.Bodies.Reserve(maxBodyBytes) {
		return res, errNoMemory
	}
	kept := 0
	defer func() { a.Bodies.Release(maxBodyBytes - kept) }()
	c.readable = maxBodyBytes + maxHeadBytes // beside the body, what its chunks take
	body, err := readBody(c.reader, code, header)
	if err != nil {
		return res, err
	}
	res = exchange.ResultOf(code, http.Header(header), body)
	if res.Response != nil {
		kept = len(body)
	}
	if lasting && c.reader.Buffered() == 0 {
		res.Conn = c
	}
	return res, nil
}

// readHead reads a response's status and headers, and tells whether its connection is to last.
func readHead(r *bufio.Reader) (code int, header textproto.MIMEHeader, lasting bool, err error) {
	text := textproto.NewReader(r)
	line, err := text.ReadLine()
	if err != nil {
		return 0, nil, false, err
	}
	version, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(rest, " ")
	n, err := strconv.ParseUint(digits, 10, 16)
	if version != "HTTP/1.1" && version != "HTTP/1.0" || err != nil || len(digits) != 3 || n < 100 {
		return 0, nil, false, errMalformed
	}
	if header, err = text.ReadMIMEHeader(); err != nil {
		return 0, nil, false, err
	}
	lasting = version == "HTTP/1.1"
	for _, value := range header["Connection"] {
		lasting = lasting && !strings.Contains(strings.ToLower(value), "close")
	}
	return int(n), header, lasting, nil
}

// readBody reads a response's body of at most maxBodyBytes bytes. Where its end is in doubt it is spoilt: lengths
// that disagree, or none, so that the connection's end would be the body's.
func readBody(r *bufio.Reader, code int, header textproto.MIMEHeader) ([]byte, error) {
	lengths, codings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case code == http.StatusNoContent || code == http.StatusNotModified:
		return nil, nil
	case len(codings) == 1 && len(lengths) == 0 && strings.EqualFold(codings[0], "chunked"):
		body, err := exchange.ReadAll(httputil.NewChunkedReader(r))
		if err != nil {
			return nil, err
		}
		_, err = textproto.NewReader(r).ReadMIMEHeader() // what follows the last chunk
		return body, err
	case len(codings) == 0 && len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, errMalformed
		}
		if n > maxBodyBytes {
			return nil, exchange.ErrBodyTooLarge
		}
		body, err := exchange.ReadAll(io.LimitReader(r, int64(n)))
		if err == nil && len(body) < int(n) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	return nil, errMalformed
}

// ownHeaders are the headers that encode words itself.
var ownHeaders = map[string]bool{"Content-Length": true, "X-Remaining": true}

// encode is the request as it goes on to an endpoint, which is told how long its answer is waited for.
func encode(in *exchange.Inbound, left time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Remaining: %du\r\n", in.Method, in.Target, in.Host,
		max(left, 0).Microseconds())
	if len(in.Body) > 0 || in.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(in.Body))
	}
	in.Header.WriteSubset(&b, ownHeaders)
	b.WriteString("\r\n")
	b.Write(in.Body)
	return b.Bytes()
}

// Probe asks an endpoint for its health on a connection of its own.
func Probe(e *exchange.Endpoint, timeout time.Duration) balancer.Status {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/health", nil)
	if err != nil {
		return balancer.StatusNotSent
	}
	res, err := transport.RoundTrip(r)
	switch {
	case ctx.Err() != nil:
		return balancer.StatusTimeout
	case err != nil:
		return balancer.StatusConnectFailed
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return balancer.StatusError
	}
	return balancer.StatusOK
}
