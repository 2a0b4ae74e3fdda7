package inbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gingerlead/internal/mesh/dataplane/outcome"
)

// Bounds of one exchange with the endpoint.
const (
	connectMost = 400 * time.Millisecond
	answerMost  = 64 << 20        // bytes of one answer
	idleMost    = 4 * time.Second // that a connection stays idle where the endpoint does not say how long it may
	idleMargin  = 1500 * time.Millisecond
	strangers   = 4 // answers to other requests that are passed over before a connection is given up
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
	used   bool
	broken bool
}

// fresh tells whether an idle connection may carry one more request: nothing has come on it, and it is not closed.
func (c *connection) fresh(now time.Duration) bool {
	if now >= c.until || c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
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
	add("Attempt-Id", p.Attempt)
	add("Target-Endpoint", p.Endpoint)
	add("Calling-Service", p.Caller)
	add("Subscriber-Id", p.Subscriber)
	buf = fmt.Appendf(buf, "Time-Remaining: %d\r\n", max(left.Milliseconds(), 1))
	if p.HasBody || len(p.Body) > 0 {
		buf = fmt.Appendf(buf, "Content-Length: %d\r\n", len(p.Body))
	}
	return append(append(buf, "\r\n"...), p.Body...)
}

// exchange sends a request on a connection and reads its answer. An answer is taken only if it is whole and bears the
// request's id: surplus ones come late, in the place of the next.
func exchange(c *connection, p *ForwardRequest, head []byte, now func() time.Duration) (o Outcome) {
	began := now()
	o.Arrived = true
	if _, err := c.Write(head); err != nil {
		o.Kind = outcome.Broken
		return o
	}
	for range strangers {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: p.Method})
		if err != nil {
			o.Kind = outcome.Broken
			if !isBroken(err) {
				o.Kind = outcome.Spoilt
			}
			return o
		}
		if resp.StatusCode < 200 {
			resp.Body.Close()
			continue
		}
		body, err := readBody(resp)
		if err != nil {
			o.Kind = outcome.Spoilt
			return o
		}
		if id := resp.Header.Get("Attempt-Id"); id != p.Attempt {
			c.broken = true // no telling what else comes
			if id == "" && resp.Header.Get("Not-Executed") == "" && resp.StatusCode != http.StatusMisdirectedRequest {
				o.Kind = outcome.Spoilt
				return o
			}
			if id != "" {
				continue // the answer to another request
			}
		}
		o.Work = now() - began
		judge(&o, resp, body)
		c.keep(resp, now())
		return o
	}
	o.Kind = outcome.Spoilt
	return o
}

// isBroken tells a connection that broke from bytes that are no answer.
func isBroken(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > answerMost {
		return nil, errors.New("too large")
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	if len(resp.TransferEncoding) == 0 {
		return nil, errors.New("its end can't be told from a break") // an answer that ends with its connection
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerMost+1))
	if err == nil && len(body) > answerMost {
		err = errors.New("too large")
	}
	return body, err
}

// judge says what an answer means.
func judge(o *Outcome, resp *http.Response, body []byte) {
	h := resp.Header
	o.Status = resp.StatusCode
	switch {
	case h.Get("Not-Executed") != "":
		o.Kind = outcome.TurnedAway
		o.Back = retryAfter(h.Get("Retry-After"))
		return
	case resp.StatusCode == http.StatusMisdirectedRequest:
		o.Kind = outcome.Mistaken
		return
	case resp.StatusCode/100 == 2 && (h.Get("Endpoint-Seal") == "" || h.Get("Content-Encoding") != ""):
		o.Kind = outcome.Spoilt
		return
	case resp.StatusCode == 429 || resp.StatusCode == 503 || resp.StatusCode == 408:
		o.Kind = outcome.Spoilt // without Not-Executed it may have run, and the status would promise that it has not
		return
	}
	o.Kind, o.Body = outcome.Answered, body
	for name, values := range h {
		if HopHeaders[name] {
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
	if resp.Close || c.r.Buffered() > 0 {
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
