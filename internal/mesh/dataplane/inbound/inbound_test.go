package inbound

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/sockets"
)

// startEndpoint starts an endpoint, and returns its address. The endpoint calls a function to answer each request; before is the number of
// earlier requests on the connection.
func startEndpoint(t *testing.T, answer func(conn net.Conn, r *http.Request, before int)) string {
	t.Helper()
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, listener.Close(), qt.IsNil) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConnection(conn, answer)
		}
	}()
	return listener.Addr().String()
}

func serveConnection(conn net.Conn, answer func(conn net.Conn, r *http.Request, before int)) {
	defer closeQuietly(conn)
	reader := bufio.NewReader(conn)
	for before := 0; ; before++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer(conn, r, before)
	}
}

// closeQuietly closes a connection. It ignores the error, as the other side or the answer function may have closed the connection before.
func closeQuietly(conn net.Conn) { _ = conn.Close() }

// write writes to a connection. It ignores errors, as the proxy may have closed the connection.
func write(conn net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(conn, format, args...) }

func newProxy(address string) *Proxy {
	start := time.Now()
	proxy := New(address, func() time.Duration { return time.Since(start) }, logrus.New(), nil)
	proxy.SetDialer(dialPatiently)
	proxy.UpdateEndpoint(admission.Endpoint{ID: "i-1", Service: "s", Slots: 4}, admission.Serving)
	return proxy
}

// dialPatiently dials with a longer timeout than the proxy's, so that tests pass on a machine under load.
func dialPatiently(ctx context.Context, address string, _ time.Duration) (net.Conn, error) {
	return sockets.NewGroup(sockets.Options{}).Dial(ctx, address, 20*time.Second)
}

func perform(proxy *Proxy, attemptID string, remaining time.Duration) *ForwardResponse {
	return performMethod(proxy, "GET", attemptID, remaining)
}

func performMethod(proxy *Proxy, method, attemptID string, remaining time.Duration) *ForwardResponse {
	got := make(chan *ForwardResponse, 1)
	r := &ForwardRequest{
		EndpointID: "i-1", Service: "s", Method: method, URI: "/a?b=c", Host: "h", AttemptID: attemptID,
		CallingService: "from",
	}
	deadline := proxy.now() + remaining
	proxy.Forward(r, deadline, deadline, func(response *ForwardResponse) { got <- response })
	return <-got
}

// Checks the outcome of a request for different answers of the endpoint. The next request must get its own answer.
func TestResponsesAreClassified(t *testing.T) {
	const (
		header   = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nEndpoint-Seal: s\r\n"
		chunked  = header + "Transfer-Encoding: chunked\r\n\r\n"
		noLength = header + "\r\nbody"

		rejected    = "HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		misdirected = "HTTP/1.1 421 Misdirected\r\nAnswering-Endpoint: i-2\r\nContent-Length: 0\r\n\r\n"
	)
	valid := complete("ID", "body")
	encoded := strings.Replace(valid, "\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n", 1)
	empty := "HTTP/1.1 %s\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		bytes string // bytes that the endpoint sends, with ID in place of the attempt's ID
		close bool   // whether the endpoint closes the connection after the bytes
		kind  outcome.Kind
	}{
		"complete":                    {valid, false, outcome.Answered},
		"in chunks":                   {chunked + "4\r\nbody\r\n0\r\n\r\n", false, outcome.Answered},
		"after an interim answer":     {"HTTP/1.1 102 Processing\r\n\r\n" + valid, false, outcome.Answered},
		"after another's answer":      {complete("other", "theirs") + valid, false, outcome.Answered},
		"sent twice":                  {valid + complete("ID", "again"), false, outcome.Answered},
		"endpoint's own failure":      {fmt.Sprintf(empty, "500 Oops"), false, outcome.Answered},
		"rejected":                    {rejected, false, outcome.Rejected},
		"another endpoint":            {misdirected, false, outcome.Misdirected},
		"503 without Not-Executed":    {fmt.Sprintf(empty, "503 Full"), false, outcome.InvalidResponse},
		"no seal":                     {strings.Replace(valid, "Endpoint-Seal", "X", 1), false, outcome.InvalidResponse},
		"encoded":                     {encoded, false, outcome.InvalidResponse},
		"another's only, then closed": {complete("other", "theirs"), true, outcome.EndpointReset},
		"truncated":                   {valid[:len(valid)-2], true, outcome.InvalidResponse},
		"truncated chunk":             {chunked + "4\r\nbo", true, outcome.InvalidResponse},
		"no length, then closed":      {noLength, true, outcome.Answered},
		"not HTTP":                    {"\x00\x01 garbage\r\n\r\n", true, outcome.InvalidResponse},
		"no ID":                       {strings.Replace(valid, "Attempt-Id", "X", 1), false, outcome.InvalidResponse},
		"nothing, then closed":        {"", true, outcome.EndpointReset},
		"nothing":                     {"", false, outcome.TimedOut},
	} {
		t.Run(name, func(t *testing.T) { checkClassified(t, test.bytes, test.close, test.kind) })
	}
}

// complete returns a valid answer to a request.
func complete(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// checkClassified checks the outcome of a request that the endpoint answers with bytes, in which the attempt's ID replaces ID. If closes is
// set, the endpoint then closes the connection. A second request gets a valid answer.
func checkClassified(t *testing.T, bytes string, closes bool, kind outcome.Kind) {
	t.Helper()
	c := qt.New(t)
	address := startEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		id := r.Header.Get(HeaderAttemptID)
		if id == "next" {
			write(conn, "%s", complete(id, "next"))
			return
		}
		write(conn, "%s", strings.ReplaceAll(bytes, "ID", id))
		if closes {
			closeQuietly(conn)
		}
	})
	proxy := newProxy(address)
	remaining := 10 * time.Second
	if kind == outcome.TimedOut {
		remaining = 100 * time.Millisecond
	}
	response := perform(proxy, "first", remaining)
	c.Assert(response.Kind, qt.Equals, kind)
	c.Assert(response.ReachedEndpoint, qt.IsTrue)
	if response.Kind == outcome.Answered && response.Status == 200 {
		c.Assert(string(response.Body.Join()), qt.Equals, "body")
	}
	next := perform(proxy, "next", 10*time.Second)
	c.Assert(next.Kind, qt.Equals, outcome.Answered)
	c.Assert(string(next.Body.Join()), qt.Equals, "next")
}

// An answer without a length ends with its connection. If the connection is reset, the answer is incomplete, however many bytes were read.
func TestAResetDoesNotCompleteAResponse(t *testing.T) {
	c := qt.New(t)
	read := make(chan struct{}, 1)
	address := startEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		write(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\n\r\nbody", r.Header.Get(HeaderAttemptID))
		<-read
		_ = conn.(*net.TCPConn).SetLinger(0)
		closeQuietly(conn)
	})
	proxy := newProxy(address)
	dial := proxy.connections.dial
	proxy.SetDialer(func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(ctx, address, timeout)
		return &readNotifier{conn, read}, err
	})
	response := perform(proxy, "reset", 10*time.Second)
	c.Assert(response.Kind, qt.Equals, outcome.InvalidResponse)
	c.Assert(response.ReachedEndpoint, qt.IsTrue)
}

// readNotifier notifies a channel when bytes have been read from a connection.
type readNotifier struct {
	net.Conn
	read chan struct{}
}

func (r *readNotifier) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		select {
		case r.read <- struct{}{}:
		default:
		}
	}
	return n, err
}

// An endpoint's rejection is accepted only if it can't belong to another attempt. A rejection without an ID may belong to any request that
// the connection has carried, and one with the request's own ID may belong to an earlier attempt.
func TestARejectionOfAnEarlierAttemptIsNotAccepted(t *testing.T) {
	rejection := "HTTP/1.1 503 Full\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	answer := "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nContent-Length: 4\r\n\r\nbody"
	t.Run("ID of an earlier attempt", func(t *testing.T) {
		c := qt.New(t)
		var first atomic.Bool
		proxy := newProxy(startEndpoint(t, func(conn net.Conn, r *http.Request, before int) {
			id := r.Header.Get(HeaderAttemptID)
			if !first.Swap(true) || before > 0 { // on the first connection the rejection is repeated late, while the next request runs
				write(conn, rejection, "Attempt-Id: "+id+"\r\n")
				return
			}
			write(conn, answer, id)
		}))
		c.Assert(perform(proxy, "x", 10*time.Second).Kind, qt.Equals, outcome.Rejected)
		c.Assert(perform(proxy, "x", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	})
	t.Run("no ID", func(t *testing.T) {
		c := qt.New(t)
		proxy := newProxy(startEndpoint(t, func(conn net.Conn, r *http.Request, before int) {
			if before > 0 {
				write(conn, rejection, "")
				return
			}
			write(conn, answer, r.Header.Get(HeaderAttemptID))
		}))
		c.Assert(perform(proxy, "a", 10*time.Second).Kind, qt.Equals, outcome.Answered)
		c.Assert(perform(proxy, "b", 10*time.Second).Kind, qt.Equals, outcome.InvalidResponse)
	})
	t.Run("no ID, first request on the connection", func(t *testing.T) {
		c := qt.New(t)
		proxy := newProxy(startEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) { write(conn, rejection, "") }))
		c.Assert(perform(proxy, "a", 10*time.Second).Kind, qt.Equals, outcome.Rejected)
	})
}

// The answer to HEAD has the length of a body that is not sent.
func TestResponseToHead(t *testing.T) {
	c := qt.New(t)
	proxy := newProxy(startEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		write(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nContent-Length: 400\r\n\r\n", r.Header.Get(HeaderAttemptID))
	}))
	for _, id := range []string{"a", "b"} {
		response := performMethod(proxy, "HEAD", id, 10*time.Second)
		c.Assert(response.Kind, qt.Equals, outcome.Answered)
		c.Assert(response.Body, qt.HasLen, 0)
		c.Assert(strings.Join(response.Header, " "), qt.Contains, "Content-Length 400")
	}
}

// If not a single byte of a request can be written to a reused connection, the request is sent on another one. If that fails too, the
// request was certainly not executed.
func TestARequestThatWasNotSentWasNotExecuted(t *testing.T) {
	c := qt.New(t)
	address := startEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		write(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get(HeaderAttemptID))
	})
	proxy := newProxy(address)
	broken := false // whether connections dialled from now on are broken
	var conns []*refusingConn
	proxy.SetDialer(func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dialPatiently(ctx, address, timeout)
		refusing := &refusingConn{Conn: conn, broken: broken}
		conns = append(conns, refusing)
		return refusing, err
	})
	c.Assert(perform(proxy, "a", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	conns[0].broken = true
	c.Assert(perform(proxy, "b", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	c.Assert(conns, qt.HasLen, 2)
	conns[1].broken = true
	broken = true
	response := perform(proxy, "c", 10*time.Second)
	c.Assert(response.Kind, qt.Equals, outcome.AtCapacity)
	c.Assert(response.ReachedEndpoint, qt.IsFalse)
}

// refusingConn fails to write anything once it is broken.
type refusingConn struct {
	net.Conn
	broken bool
}

func (r *refusingConn) Write(b []byte) (int, error) {
	if r.broken {
		return 0, syscall.ECONNRESET
	}
	return r.Conn.Write(b)
}

func TestConnectionRefusedMeansNotExecuted(t *testing.T) {
	c := qt.New(t)
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	down := make(chan string, 1)
	proxy := newProxy(listener.Addr().String())
	proxy.onEndpointDown = func(endpointID string) { down <- endpointID }
	for range 2 {
		response := perform(proxy, "a", 10*time.Second)
		c.Assert(response.Kind, qt.Equals, outcome.Unreachable)
		c.Assert(response.ReachedEndpoint, qt.IsFalse)
	}
	c.Assert(<-down, qt.Equals, "i-1")
	c.Assert(perform(proxy, "b", 10*time.Second).Kind, qt.Equals, outcome.Misdirected)
}

// All slots are occupied. A queued request that is cancelled never reaches the endpoint, and the connection of a running request that is
// cancelled is closed.
func TestCancelled(t *testing.T) {
	c := qt.New(t)
	received := make(chan string, 8)
	release := make(chan struct{})
	proxy := newProxy(startEndpoint(t, func(_ net.Conn, r *http.Request, _ int) {
		received <- r.Header.Get(HeaderAttemptID)
		<-release
	}))
	defer close(release)
	got := make(chan *ForwardResponse, 8)
	var cancel []func()
	for i := range 5 {
		r := &ForwardRequest{EndpointID: "i-1", Service: "s", Method: "GET", URI: "/", Host: "h", AttemptID: strconv.Itoa(i)}
		deadline := proxy.now() + 20*time.Second
		cancel = append(cancel, proxy.Forward(r, deadline, deadline, func(response *ForwardResponse) { got <- response }))
		if i < 4 {
			<-received
		}
	}
	cancel[4]()
	c.Assert((<-got).Kind, qt.Equals, outcome.Cancelled)
	cancel[0]()
	c.Assert((<-got).Kind, qt.Equals, outcome.TimedOut)
	c.Assert(received, qt.HasLen, 0)
	c.Assert(proxy.Pending(), qt.Equals, 3)
}
