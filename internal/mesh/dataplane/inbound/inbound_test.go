package inbound

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
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

// endpoint answers each request by what a function writes; it hears which attempt it is, counted from 0 on a connection.
func endpoint(t *testing.T, answer func(conn net.Conn, q *http.Request, n int)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for n := 0; ; n++ {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer(conn, q, n)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newProxy(address string) *Proxy {
	start := time.Now()
	d := New(address, func() time.Duration { return time.Since(start) }, logrus.New(), nil)
	d.SetDialer(func(address string, _ time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp4", address, 20*time.Second)
	})
	d.UpdateEndpoint(admission.Endpoint{ID: "i-1", Service: "s", Slots: 4}, admission.Serving)
	return d
}

func perform(d *Proxy, attempt string, left time.Duration) *ForwardResponse {
	return performMethod(d, "GET", attempt, left)
}

func performMethod(d *Proxy, method, attempt string, left time.Duration) *ForwardResponse {
	got := make(chan *ForwardResponse, 1)
	p := &ForwardRequest{EndpointID: "i-1", Service: "s", Method: method, URI: "/a?b=c", Host: "h", AttemptID: attempt, CallingService: "from"}
	d.Forward(p, d.now()+left, d.now()+left, func(o *ForwardResponse) { got <- o })
	return <-got
}

// What an endpoint may send, and what becomes of the request; whoever asks next on the same connection gets its own answer.
func TestResponsesAreClassified(t *testing.T) {
	whole := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	}
	const unframed = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nEndpoint-Seal: s\r\n\r\nbody"
	head := "HTTP/1.1 %s\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n"
	for name, x := range map[string]struct {
		bytes string // ID stands for the attempt's id
		end   bool   // the connection is closed after them
		kind  outcome.Kind
	}{
		"whole":                       {whole("ID", "body"), false, outcome.Answered},
		"in chunks":                   {"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nEndpoint-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, outcome.Answered},
		"after an interim one":        {"HTTP/1.1 102 Processing\r\n\r\n" + whole("ID", "body"), false, outcome.Answered},
		"after another's":             {whole("other", "theirs") + whole("ID", "body"), false, outcome.Answered},
		"and a surplus one":           {whole("ID", "body") + whole("ID", "again"), false, outcome.Answered},
		"its own failure":             {fmt.Sprintf(head, "500 Oops"), false, outcome.Answered},
		"turned away":                 {"HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, outcome.Rejected},
		"another life":                {"HTTP/1.1 421 Misdirected\r\nAnswering-Endpoint: i-2\r\nContent-Length: 0\r\n\r\n", false, outcome.Misdirected},
		"a promise that is none":      {fmt.Sprintf(head, "503 Full"), false, outcome.InvalidResponse},
		"no seal":                     {strings.Replace(whole("ID", "body"), "Endpoint-Seal", "X", 1), false, outcome.InvalidResponse},
		"encoded":                     {strings.Replace(whole("ID", "body"), "\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n", 1), false, outcome.InvalidResponse},
		"another's alone, then ended": {whole("other", "theirs"), true, outcome.EndpointReset},
		"cut short":                   {whole("ID", "body")[:len(whole("ID", "body"))-2], true, outcome.InvalidResponse},
		"a chunk cut short":           {"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nEndpoint-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", true, outcome.InvalidResponse},
		"without length, ended":       {unframed, true, outcome.Answered},
		"no answer in the protocol":   {"\x00\x01 garbage\r\n\r\n", true, outcome.InvalidResponse},
		"no id":                       {strings.Replace(whole("ID", "body"), "Attempt-Id", "X", 1), false, outcome.InvalidResponse},
		"nothing, then ended":         {"", true, outcome.EndpointReset},
		"nothing":                     {"", false, outcome.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := endpoint(t, func(conn net.Conn, q *http.Request, n int) {
				id := q.Header.Get("Attempt-Id")
				if id == "next" {
					fmt.Fprint(conn, whole(id, "next"))
					return
				}
				fmt.Fprint(conn, strings.ReplaceAll(x.bytes, "ID", id))
				if x.end {
					conn.Close()
				}
			})
			d := newProxy(address)
			left := 10 * time.Second
			if x.kind == outcome.TimedOut {
				left = 100 * time.Millisecond
			}
			o := perform(d, "first", left)
			c.Assert(o.Kind, qt.Equals, x.kind)
			c.Assert(o.ReachedEndpoint, qt.IsTrue)
			if o.Kind == outcome.Answered && o.Status == 200 {
				c.Assert(string(o.Body), qt.Equals, "body")
			}
			next := perform(d, "next", 10*time.Second)
			c.Assert(next.Kind, qt.Equals, outcome.Answered)
			c.Assert(string(next.Body), qt.Equals, "next")
		})
	}
}

// An answer that has no length ends with its connection. One that is reset on the way is not whole, however many bytes came.
func TestAResetDoesNotCompleteAResponse(t *testing.T) {
	c := qt.New(t)
	read := make(chan struct{}, 1)
	address := endpoint(t, func(conn net.Conn, q *http.Request, n int) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\n\r\nbody", q.Header.Get("Attempt-Id"))
		<-read
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	})
	d := newProxy(address)
	dial := d.dial
	d.SetDialer(func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(address, timeout)
		return &readNotifier{conn, read}, err
	})
	o := perform(d, "reset", 10*time.Second)
	c.Assert(o.Kind, qt.Equals, outcome.InvalidResponse)
	c.Assert(o.ReachedEndpoint, qt.IsTrue)
}

// readNotifier tells when bytes have been read from a connection.
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

// An endpoint's word that it turned a request away is taken only where it can't belong to another sending: with no id on a
// connection that carried something before it may be of any request, and with the request's own id it may be of an earlier sending.
func TestARejectionOfAnEarlierAttemptIsNotAccepted(t *testing.T) {
	turnedAway := "HTTP/1.1 503 Full\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	answer := "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nContent-Length: 4\r\n\r\nbody"
	t.Run("the same id", func(t *testing.T) {
		c := qt.New(t)
		var first atomic.Bool
		d := newProxy(endpoint(t, func(conn net.Conn, q *http.Request, n int) {
			id := q.Header.Get("Attempt-Id")
			if !first.Swap(true) || n > 0 { // on the same connection: the surplus one comes late, while the request runs
				fmt.Fprintf(conn, turnedAway, "Attempt-Id: "+id+"\r\n")
				return
			}
			fmt.Fprintf(conn, answer, id)
		}))
		c.Assert(perform(d, "x", 10*time.Second).Kind, qt.Equals, outcome.Rejected)
		c.Assert(perform(d, "x", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	})
	t.Run("no id", func(t *testing.T) {
		c := qt.New(t)
		d := newProxy(endpoint(t, func(conn net.Conn, q *http.Request, n int) {
			if n > 0 {
				fmt.Fprintf(conn, turnedAway, "")
				return
			}
			fmt.Fprintf(conn, answer, q.Header.Get("Attempt-Id"))
		}))
		c.Assert(perform(d, "a", 10*time.Second).Kind, qt.Equals, outcome.Answered)
		c.Assert(perform(d, "b", 10*time.Second).Kind, qt.Equals, outcome.InvalidResponse)
	})
	t.Run("no id, the first on its connection", func(t *testing.T) {
		c := qt.New(t)
		d := newProxy(endpoint(t, func(conn net.Conn, q *http.Request, n int) { fmt.Fprintf(conn, turnedAway, "") }))
		c.Assert(perform(d, "a", 10*time.Second).Kind, qt.Equals, outcome.Rejected)
	})
}

// The answer to HEAD has the length of a body that does not come.
func TestResponseToHead(t *testing.T) {
	c := qt.New(t)
	d := newProxy(endpoint(t, func(conn net.Conn, q *http.Request, n int) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nContent-Length: 400\r\n\r\n", q.Header.Get("Attempt-Id"))
	}))
	for _, id := range []string{"a", "b"} {
		o := performMethod(d, "HEAD", id, 10*time.Second)
		c.Assert(o.Kind, qt.Equals, outcome.Answered)
		c.Assert(o.Body, qt.HasLen, 0)
		c.Assert(strings.Join(o.Header, " "), qt.Contains, "Content-Length 400")
	}
}

// A connection that takes nothing of a request has not run it: the request goes on to another one, and if there is none either it
// has surely not run.
func TestARequestThatWasNotSentWasNotExecuted(t *testing.T) {
	c := qt.New(t)
	address := endpoint(t, func(conn net.Conn, q *http.Request, n int) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Attempt-Id"))
	})
	d := newProxy(address)
	deaf := false
	var conns []*refusingConn
	d.SetDialer(func(address string, _ time.Duration) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp4", address, 20*time.Second)
		conns = append(conns, &refusingConn{Conn: conn, deaf: deaf})
		return conns[len(conns)-1], err
	})
	c.Assert(perform(d, "a", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	conns[0].deaf = true
	c.Assert(perform(d, "b", 10*time.Second).Kind, qt.Equals, outcome.Answered)
	c.Assert(conns, qt.HasLen, 2)
	conns[1].deaf, deaf = true, true
	o := perform(d, "c", 10*time.Second)
	c.Assert(o.Kind, qt.Equals, outcome.AtCapacity)
	c.Assert(o.ReachedEndpoint, qt.IsFalse)
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
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l.Close()
	dead := make(chan string, 1)
	d := newProxy(l.Addr().String())
	d.onEndpointDown = func(life string) { dead <- life }
	for range 2 {
		o := perform(d, "a", 10*time.Second)
		c.Assert(o.Kind, qt.Equals, outcome.Unreachable)
		c.Assert(o.ReachedEndpoint, qt.IsFalse)
	}
	c.Assert(<-dead, qt.Equals, "i-1")
	c.Assert(perform(d, "b", 10*time.Second).Kind, qt.Equals, outcome.Misdirected)
}

// Slots are held: what waits and is given up never reaches the endpoint, what runs is cut off.
func TestCancelled(t *testing.T) {
	c := qt.New(t)
	came := make(chan string, 8)
	hold := make(chan struct{})
	d := newProxy(endpoint(t, func(conn net.Conn, q *http.Request, n int) {
		came <- q.Header.Get("Attempt-Id")
		<-hold
	}))
	defer close(hold)
	got := make(chan *ForwardResponse, 8)
	var withdraw []func()
	for i := range 5 {
		p := &ForwardRequest{EndpointID: "i-1", Service: "s", Method: "GET", URI: "/", Host: "h", AttemptID: fmt.Sprint(i)}
		withdraw = append(withdraw, d.Forward(p, d.now()+20*time.Second, d.now()+20*time.Second, func(o *ForwardResponse) { got <- o }))
		if i < 4 {
			<-came
		}
	}
	withdraw[4]()
	c.Assert((<-got).Kind, qt.Equals, outcome.Cancelled)
	withdraw[0]()
	c.Assert((<-got).Kind, qt.Equals, outcome.TimedOut)
	c.Assert(came, qt.HasLen, 0)
	c.Assert(d.Pending(), qt.Equals, 3)
}
