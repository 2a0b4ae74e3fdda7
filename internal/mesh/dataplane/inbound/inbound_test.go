package inbound

import (
	"bufio"
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
)

// startEndpoint starts an endpoint that answers each request by what a function writes; the function hears how many requests came
// before on the connection. It returns the endpoint's address.
func startEndpoint(t *testing.T, answer func(conn net.Conn, r *http.Request, before int)) string {
	t.Helper()
	var listen net.ListenConfig
	l, err := listen.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, l.Close(), qt.IsNil) })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveConnection(conn, answer)
		}
	}()
	return l.Addr().String()
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

// closeQuietly closes a connection that the other side, or the answer itself, may have closed before.
func closeQuietly(conn net.Conn) { _ = conn.Close() }

// write writes to a connection; the proxy may have closed it.
func write(conn net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(conn, format, args...) }

func newProxy(address string) *Proxy {
	start := time.Now()
	proxy := New(address, func() time.Duration { return time.Since(start) }, logrus.New(), nil)
	proxy.SetDialer(dialPatiently)
	proxy.UpdateEndpoint(admission.Endpoint{ID: "i-1", Service: "s", Slots: 4}, admission.Serving)
	return proxy
}

// dialPatiently dials with more time than the proxy takes, for a machine under load.
func dialPatiently(address string, _ time.Duration) (net.Conn, error) {
	return dialTCP(address, 20*time.Second)
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

// What an endpoint may send, and what becomes of the request; the next request on the same connection gets its own answer.
func TestResponsesAreClassified(t *testing.T) {
	complete := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	}
	const unframed = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nEndpoint-Seal: s\r\n\r\nbody"
	head := "HTTP/1.1 %s\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n"
	for name, x := range map[string]struct {
		bytes string // ID stands for the attempt's id
		end   bool   // the connection is closed after them
		kind  outcome.Kind
	}{
		"complete":                    {complete("ID", "body"), false, outcome.Answered},
		"in chunks":                   {"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nEndpoint-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, outcome.Answered},
		"after an interim one":        {"HTTP/1.1 102 Processing\r\n\r\n" + complete("ID", "body"), false, outcome.Answered},
		"after another's":             {complete("other", "theirs") + complete("ID", "body"), false, outcome.Answered},
		"and a surplus one":           {complete("ID", "body") + complete("ID", "again"), false, outcome.Answered},
		"its own failure":             {fmt.Sprintf(head, "500 Oops"), false, outcome.Answered},
		"rejected":                    {"HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, outcome.Rejected},
		"another endpoint":            {"HTTP/1.1 421 Misdirected\r\nAnswering-Endpoint: i-2\r\nContent-Length: 0\r\n\r\n", false, outcome.Misdirected},
		"a promise that is none":      {fmt.Sprintf(head, "503 Full"), false, outcome.InvalidResponse},
		"no seal":                     {strings.Replace(complete("ID", "body"), "Endpoint-Seal", "X", 1), false, outcome.InvalidResponse},
		"encoded":                     {strings.Replace(complete("ID", "body"), "\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n", 1), false, outcome.InvalidResponse},
		"another's alone, then ended": {complete("other", "theirs"), true, outcome.EndpointReset},
		"cut short":                   {complete("ID", "body")[:len(complete("ID", "body"))-2], true, outcome.InvalidResponse},
		"a chunk cut short":           {"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nEndpoint-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", true, outcome.InvalidResponse},
		"without length, ended":       {unframed, true, outcome.Answered},
		"no answer in the protocol":   {"\x00\x01 garbage\r\n\r\n", true, outcome.InvalidResponse},
		"no id":                       {strings.Replace(complete("ID", "body"), "Attempt-Id", "X", 1), false, outcome.InvalidResponse},
		"nothing, then ended":         {"", true, outcome.EndpointReset},
		"nothing":                     {"", false, outcome.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
				id := r.Header.Get(HeaderAttemptID)
				if id == "next" {
					write(conn, "%s", complete(id, "next"))
					return
				}
				write(conn, "%s", strings.ReplaceAll(x.bytes, "ID", id))
				if x.end {
					closeQuietly(conn)
				}
			})
			proxy := newProxy(address)
			remaining := 10 * time.Second
			if x.kind == outcome.TimedOut {
				remaining = 100 * time.Millisecond
			}
			response := perform(proxy, "first", remaining)
			c.Assert(response.Kind, qt.Equals, x.kind)
			c.Assert(response.ReachedEndpoint, qt.IsTrue)
			if response.Kind == outcome.Answered && response.Status == 200 {
				c.Assert(string(response.Body), qt.Equals, "body")
			}
			next := perform(proxy, "next", 10*time.Second)
			c.Assert(next.Kind, qt.Equals, outcome.Answered)
			c.Assert(string(next.Body), qt.Equals, "next")
		})
	}
}

// An answer that has no length ends with its connection. One that is reset on the way is not complete, however many bytes came.
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
	proxy.SetDialer(func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(address, timeout)
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

func (t *readNotifier) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		select {
		case t.read <- struct{}{}:
		default:
		}
	}
	return n, err
}

// An endpoint's rejection is accepted only where it can't belong to another attempt: with no ID on a connection that carried something
// before it may be of any request, and with the request's own ID it may be of an earlier attempt.
func TestARejectionOfAnEarlierAttemptIsNotAccepted(t *testing.T) {
	rejection := "HTTP/1.1 503 Full\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	answer := "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nContent-Length: 4\r\n\r\nbody"
	t.Run("the same id", func(t *testing.T) {
		c := qt.New(t)
		var first atomic.Bool
		proxy := newProxy(startEndpoint(t, func(conn net.Conn, r *http.Request, before int) {
			id := r.Header.Get(HeaderAttemptID)
			if !first.Swap(true) || before > 0 { // on the same connection: the surplus one comes late, while the request runs
				write(conn, rejection, "Attempt-Id: "+id+"\r\n")
				return
			}
			write(conn, answer, id)
		}))
		c.Assert(perform(proxy, "x", 10*time.Second).Kind, qt.Equals, outcome.Rejected)
		c.Assert(perform(proxy, "x", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	})
	t.Run("no id", func(t *testing.T) {
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
	t.Run("no id, the first on its connection", func(t *testing.T) {
		c := qt.New(t)
		proxy := newProxy(startEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) { write(conn, rejection, "") }))
		c.Assert(perform(proxy, "a", 10*time.Second).Kind, qt.Equals, outcome.Rejected)
	})
}

// The answer to HEAD has the length of a body that does not come.
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

// Nothing of a request went out on a connection: the request is sent on another one, and if there is none either it was surely not
// executed.
func TestARequestThatWasNotSentWasNotExecuted(t *testing.T) {
	c := qt.New(t)
	address := startEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		write(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get(HeaderAttemptID))
	})
	proxy := newProxy(address)
	deaf := false // of connections yet to come
	var conns []*refusingConn
	proxy.SetDialer(func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dialPatiently(address, timeout)
		refusing := &refusingConn{Conn: conn, deaf: deaf}
		conns = append(conns, refusing)
		return refusing, err
	})
	c.Assert(perform(proxy, "a", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	conns[0].deaf = true
	c.Assert(perform(proxy, "b", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	c.Assert(conns, qt.HasLen, 2)
	conns[1].deaf = true
	deaf = true
	response := perform(proxy, "c", 10*time.Second)
	c.Assert(response.Kind, qt.Equals, outcome.AtCapacity)
	c.Assert(response.ReachedEndpoint, qt.IsFalse)
}

// refusingConn takes nothing once it is deaf.
type refusingConn struct {
	net.Conn
	deaf bool
}

func (r *refusingConn) Write(b []byte) (int, error) {
	if r.deaf {
		return 0, syscall.ECONNRESET
	}
	return r.Conn.Write(b)
}

func TestConnectionRefusedMeansNotExecuted(t *testing.T) {
	c := qt.New(t)
	var listen net.ListenConfig
	l, err := listen.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	down := make(chan string, 1)
	proxy := newProxy(l.Addr().String())
	proxy.onEndpointDown = func(endpointID string) { down <- endpointID }
	for range 2 {
		response := perform(proxy, "a", 10*time.Second)
		c.Assert(response.Kind, qt.Equals, outcome.Unreachable)
		c.Assert(response.ReachedEndpoint, qt.IsFalse)
	}
	c.Assert(<-down, qt.Equals, "i-1")
	c.Assert(perform(proxy, "b", 10*time.Second).Kind, qt.Equals, outcome.Misdirected)
}

// All slots are taken: a request that waits and is cancelled never reaches the endpoint, one that runs is cut off.
func TestCancelled(t *testing.T) {
	c := qt.New(t)
	came := make(chan string, 8)
	hold := make(chan struct{})
	proxy := newProxy(startEndpoint(t, func(_ net.Conn, r *http.Request, _ int) {
		came <- r.Header.Get(HeaderAttemptID)
		<-hold
	}))
	defer close(hold)
	got := make(chan *ForwardResponse, 8)
	var cancel []func()
	for i := range 5 {
		r := &ForwardRequest{EndpointID: "i-1", Service: "s", Method: "GET", URI: "/", Host: "h", AttemptID: strconv.Itoa(i)}
		deadline := proxy.now() + 20*time.Second
		cancel = append(cancel, proxy.Forward(r, deadline, deadline, func(response *ForwardResponse) { got <- response }))
		if i < 4 {
			<-came
		}
	}
	cancel[4]()
	c.Assert((<-got).Kind, qt.Equals, outcome.Cancelled)
	cancel[0]()
	c.Assert((<-got).Kind, qt.Equals, outcome.TimedOut)
	c.Assert(came, qt.HasLen, 0)
	c.Assert(proxy.Pending(), qt.Equals, 3)
}
