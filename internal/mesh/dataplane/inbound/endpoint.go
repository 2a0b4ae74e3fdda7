package inbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
)

// Bounds of one exchange with the endpoint.
const (
	maxConnectTime         = 400 * time.Millisecond
	maxResponseBytes       = 64 << 20        // bytes of one answer
	defaultIdleTime        = 4 * time.Second // that a connection stays idle where the endpoint does not say how long it may
	idleMargin             = 1500 * time.Millisecond
	maxMismatchedResponses = 4 // answers to other requests that are passed over before a connection is given up
	maxRejectedAttempts    = 8 // requests that one connection turned away before it is given up
)

// HopByHopHeaders concern one connection only, or are set by the system; they are not passed on. In canonical form.
var HopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Expect": true,
}

// acquireConnection is one to the endpoint; it carries one request at a time.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil time.Duration // idle no longer than that
	used      bool          // it has carried a request
	unusable  bool          // it is not to carry another one
	// ids of the requests that the endpoint turned away on it. Such an answer may come twice, the second time in the place of the
	// next one; so the same request never goes out on this connection again.
	rejectedAttempts []string
}

// mayCarry tells whether an answer on the connection can only be the answer to this sending of a request.
func (c *connection) mayCarry(attempt string) bool {
	return !slices.Contains(c.rejectedAttempts, attempt)
}

// reusable tells whether an idle connection may carry one more request: nothing has come on it, and it is not closed.
func (c *connection) reusable(now time.Duration) bool {
	if now >= c.idleUntil || c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// appendRequest writes a request as the endpoint wants it.
func appendRequest(buf []byte, p *ForwardRequest, left time.Duration) []byte {
	buf = fmt.Appendf(buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", p.Method, p.URI, p.Host)
	for i := 0; i+1 < len(p.Header); i += 2 {
		buf = append(append(append(append(buf, p.Header[i]...), ": "...), p.Header[i+1]...), "\r\n"...)
	}
	add := func(name, value string) {
		if value != "" {
			buf = append(append(append(append(buf, name...), ": "...), value...), "\r\n"...)
		}
	}
	add(HeaderAttemptID, p.AttemptID)
	add(HeaderTargetEndpoint, p.EndpointID)
	add(HeaderCallingService, p.CallingService)
	add(HeaderSubscriberID, p.Tenant)
	buf = fmt.Appendf(buf, HeaderTimeRemaining+": %d\r\n", max(left.Milliseconds(), 1))
	if p.HasBody || len(p.Body) > 0 {
		buf = fmt.Appendf(buf, "Content-Length: %d\r\n", len(p.Body))
	}
	return append(append(buf, "\r\n"...), p.Body...)
}

// roundTrip sends a request on a connection and reads its answer. An answer is taken only if it is whole and bears the request's id:
// surplus ones come late, in the place of the next.
func roundTrip(c *connection, p *ForwardRequest, head []byte, now func() time.Duration) ForwardResponse {
	began := now()
	if n, err := c.Write(head); err != nil {
		if n == 0 { // nothing of it has gone out
			return ForwardResponse{Kind: outcome.Unreachable}
		}
		return ForwardResponse{Kind: outcome.EndpointReset, ReachedEndpoint: true}
	}
	o := ForwardResponse{ReachedEndpoint: true}
	resp, body, kind := readResponse(c, p)
	if kind != 0 {
		o.Kind = kind
		return o
	}
	o.ServiceTime = now() - began
	classify(&o, p, resp, body)
	if o.Kind.NotExecuted() {
		c.rejectedAttempts = append(c.rejectedAttempts, p.AttemptID)
	}
	c.updateKeepAlive(resp, now())
	return o
}

// readResponse reads the answer to a request, past interim ones and those to other requests; the kind says why there is none.
func readResponse(c *connection, p *ForwardRequest) (*http.Response, []byte, outcome.Kind) {
	alone := !c.used // no answer to an earlier request can come on it
	for range maxMismatchedResponses {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: p.Method})
		switch {
		case err != nil && isConnectionError(err):
			return nil, nil, outcome.EndpointReset
		case err != nil:
			return nil, nil, outcome.InvalidResponse
		case resp.StatusCode < 200:
			resp.Body.Close()
			continue
		}
		body, err := readBody(resp, p.Method)
		if err != nil {
			return nil, nil, outcome.InvalidResponse
		}
		id := resp.Header.Get(HeaderAttemptID)
		if id == p.AttemptID {
			return resp, body, 0
		}
		c.unusable = true // no telling what else comes
		if id == "" {
			if alone && reportsNotExecuted(resp) {
				return resp, body, 0
			}
			return nil, nil, outcome.InvalidResponse
		}
		alone = false
	}
	return nil, nil, outcome.InvalidResponse
}

// reportsNotExecuted tells whether an answer says that the endpoint has not run the request.
func reportsNotExecuted(resp *http.Response) bool {
	return resp.Header.Get(HeaderNotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// isConnectionError tells a connection that broke from bytes that are no answer.
func isConnectionError(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// readBody reads an answer's body whole. One that has neither a length nor chunks ends with its connection: it is whole if the endpoint
// closed that in order, and not if it was reset.
func readBody(resp *http.Response, method string) ([]byte, error) {
	defer resp.Body.Close()
	if method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength > maxResponseBytes {
		return nil, errors.New("too large")
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.New("too large")
	}
	return body, err
}

// classify says what an answer means.
func classify(o *ForwardResponse, p *ForwardRequest, resp *http.Response, body []byte) {
	h := resp.Header
	o.Status = resp.StatusCode
	switch {
	case h.Get(HeaderNotExecuted) != "":
		o.Kind = outcome.Rejected
		o.RetryAfter = retryAfter(h.Get("Retry-After"))
		return
	case resp.StatusCode == http.StatusMisdirectedRequest:
		o.Kind = outcome.Misdirected
		return
	case resp.StatusCode/100 == 2 && (h.Get(HeaderEndpointSeal) == "" || h.Get("Content-Encoding") != ""):
		o.Kind = outcome.InvalidResponse
		return
	case resp.StatusCode == 429 || resp.StatusCode == 503 || resp.StatusCode == 408:
		o.Kind = outcome.InvalidResponse // without Not-Executed it may have run, and the status would promise that it has not
		return
	}
	o.Kind, o.Body = outcome.Answered, body
	for name, values := range h {
		if HopByHopHeaders[name] && (name != "Content-Length" || p.Method != http.MethodHead) {
			continue
		}
		for _, x := range values {
			o.Header = append(o.Header, name, x)
		}
	}
}

func retryAfter(s string) time.Duration {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x < 0 || x > 3600 {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}

// updateKeepAlive notes how long a connection may be kept after an answer.
func (c *connection) updateKeepAlive(resp *http.Response, now time.Duration) {
	if resp.Close || c.reader.Buffered() > 0 || len(c.rejectedAttempts) > maxRejectedAttempts {
		c.unusable = true
		return
	}
	c.used = true
	c.idleUntil = now + defaultIdleTime
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if name, value, ok := strings.Cut(textproto.TrimString(part), "="); ok && strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil && s >= 0 && s < 3600 {
				c.idleUntil = now + max(time.Duration(s)*time.Second-idleMargin, 0)
			}
		}
	}
}
