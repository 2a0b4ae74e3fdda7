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
	connectMost = 400 * time.Millisecond
	answerMost  = 64 << 20        // bytes of one answer
	idleMost    = 4 * time.Second // that a connection stays idle where the endpoint does not say how long it may
	idleMargin  = 1500 * time.Millisecond
	strangers   = 4 // answers to other requests that are passed over before a connection is given up
	refusedMost = 8 // requests that one connection turned away before it is given up
)

// HopHeaders concern one connection only, or are set by the system; they are not passed on. In canonical form.
var HopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Expect": true}

// connection is one to the endpoint; it carries one request at a time.
type connection struct {
	net.Conn
	r      *bufio.Reader
	until  time.Duration // idle no longer than that
	used   bool          // it has carried a request
	broken bool          // it is not to carry another one
	// ids of the requests that the endpoint turned away on it. Such an answer may come twice, the second time in the place of the
	// next one; so the same request never goes out on this connection again.
	refused []string
}

// mayCarry tells whether an answer on the connection can only be the answer to this sending of a request.
func (c *connection) mayCarry(attempt string) bool { return !slices.Contains(c.refused, attempt) }

// fresh tells whether an idle connection may carry one more request: nothing has come on it, and it is not closed.
func (c *connection) fresh(now time.Duration) bool {
	if now >= c.until || c.r.Buffered() > 0 {
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
	add(HeaderAttemptID, p.Attempt)
	add(HeaderTargetEndpoint, p.Endpoint)
	add(HeaderCallingService, p.Caller)
	add(HeaderSubscriberID, p.Subscriber)
	buf = fmt.Appendf(buf, HeaderTimeRemaining+": %d\r\n", max(left.Milliseconds(), 1))
	if p.HasBody || len(p.Body) > 0 {
		buf = fmt.Appendf(buf, "Content-Length: %d\r\n", len(p.Body))
	}
	return append(append(buf, "\r\n"...), p.Body...)
}

// exchange sends a request on a connection and reads its answer. An answer is taken only if it is whole and bears the request's id:
// surplus ones come late, in the place of the next.
func exchange(c *connection, p *ForwardRequest, head []byte, now func() time.Duration) Outcome {
	began := now()
	if n, err := c.Write(head); err != nil {
		if n == 0 { // nothing of it has gone out
			return Outcome{Kind: outcome.Unreachable}
		}
		return Outcome{Kind: outcome.Broken, Arrived: true}
	}
	o := Outcome{Arrived: true}
	resp, body, kind := readAnswer(c, p)
	if kind != 0 {
		o.Kind = kind
		return o
	}
	o.Work = now() - began
	judge(&o, p, resp, body)
	if o.Kind.NotRun() {
		c.refused = append(c.refused, p.Attempt)
	}
	c.keep(resp, now())
	return o
}

// readAnswer reads the answer to a request, past interim ones and those to other requests; the kind says why there is none.
func readAnswer(c *connection, p *ForwardRequest) (*http.Response, []byte, outcome.Kind) {
	alone := !c.used // no answer to an earlier request can come on it
	for range strangers {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: p.Method})
		switch {
		case err != nil && isBroken(err):
			return nil, nil, outcome.Broken
		case err != nil:
			return nil, nil, outcome.Spoilt
		case resp.StatusCode < 200:
			resp.Body.Close()
			continue
		}
		body, err := readBody(resp, p.Method)
		if err != nil {
			return nil, nil, outcome.Spoilt
		}
		id := resp.Header.Get(HeaderAttemptID)
		if id == p.Attempt {
			return resp, body, 0
		}
		c.broken = true // no telling what else comes
		if id == "" {
			if alone && saysNotRun(resp) {
				return resp, body, 0
			}
			return nil, nil, outcome.Spoilt
		}
		alone = false
	}
	return nil, nil, outcome.Spoilt
}

// saysNotRun tells whether an answer says that the endpoint has not run the request.
func saysNotRun(resp *http.Response) bool {
	return resp.Header.Get(HeaderNotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// isBroken tells a connection that broke from bytes that are no answer.
func isBroken(err error) bool {
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
	if resp.ContentLength > answerMost {
		return nil, errors.New("too large")
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerMost+1))
	if err == nil && len(body) > answerMost {
		err = errors.New("too large")
	}
	return body, err
}

// judge says what an answer means.
func judge(o *Outcome, p *ForwardRequest, resp *http.Response, body []byte) {
	h := resp.Header
	o.Status = resp.StatusCode
	switch {
	case h.Get(HeaderNotExecuted) != "":
		o.Kind = outcome.TurnedAway
		o.Back = retryAfter(h.Get("Retry-After"))
		return
	case resp.StatusCode == http.StatusMisdirectedRequest:
		o.Kind = outcome.Mistaken
		return
	case resp.StatusCode/100 == 2 && (h.Get(HeaderEndpointSeal) == "" || h.Get("Content-Encoding") != ""):
		o.Kind = outcome.Spoilt
		return
	case resp.StatusCode == 429 || resp.StatusCode == 503 || resp.StatusCode == 408:
		o.Kind = outcome.Spoilt // without Not-Executed it may have run, and the status would promise that it has not
		return
	}
	o.Kind, o.Body = outcome.Answered, body
	for name, values := range h {
		if HopHeaders[name] && (name != "Content-Length" || p.Method != http.MethodHead) {
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

// keep notes how long a connection may be kept after an answer.
func (c *connection) keep(resp *http.Response, now time.Duration) {
	if resp.Close || c.r.Buffered() > 0 || len(c.refused) > refusedMost {
		c.broken = true
		return
	}
	c.used = true
	c.until = now + idleMost
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if name, value, ok := strings.Cut(textproto.TrimString(part), "="); ok && strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil && s >= 0 && s < 3600 {
				c.until = now + max(time.Duration(s)*time.Second-idleMargin, 0)
			}
		}
	}
}
