package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

// outcome is an endpoint's behaviour in an attempt, and the expected result of the attempt.
type outcome struct {
	endpoint     func(net.Conn) // runs the endpoint's side of the connection
	wantStatus   balancer.Status
	wantReusable bool // whether the connection can be reused
}

// reply returns an endpoint that reads the request, sends a text and closes the connection.
func reply(text string) func(net.Conn) {
	return func(c net.Conn) {
		readRequest(c)
		send(c, text)
		_ = c.Close()
	}
}

// outcomes holds the cases of TestOutcomes by name.
var outcomes = map[string]outcome{
	"served":                      {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
	"served, then closes":         {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"), balancer.StatusOK, false},
	"served, old version":         {reply("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, false},
	"served in chunks":            {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), balancer.StatusOK, true},
	"after a 1xx response":        {reply("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
	"with a load report":          {reply("HTTP/1.1 200 OK\r\nX-Pressure: inflight=7,queue=2\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
	"with an invalid load report": {reply("HTTP/1.1 200 OK\r\nX-Pressure: queue\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
	"with NaN as load report":     {reply("HTTP/1.1 200 OK\r\nX-Pressure: queue=NaN\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
	"after the maximum number of 1xx responses": {reply(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxInformational) +
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
	"after too many 1xx responses": {reply(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxInformational+1) +
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"followed by a copy":             {reply(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2)), balancer.StatusOK, false},
	"followed by noise":              {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\x00\x01"), balancer.StatusOK, false},
	"body until the connection ends": {reply("HTTP/1.1 200 OK\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"two lengths":                    {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\noky"), balancer.StatusInvalidResponse, false},
	"length and chunks":              {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), balancer.StatusInvalidResponse, false},
	"negative length":                {reply("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"length is not a number":         {reply("HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"huge length":                    {reply("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"unknown coding":                 {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"broken chunks":                  {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n"), balancer.StatusInvalidResponse, false},
	"other protocol":                 {reply("ICY 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"status is not a number":         {reply("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"status has four digits":         {reply("HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"no colon":                       {reply("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
	"request is invalid":             {reply("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"), balancer.StatusInvalidResponse, true},
	"rejected, malformed":            {reply("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 2x\r\n\r\n"), balancer.StatusInvalidResponse, false},
	"error":                          {reply("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"), balancer.StatusError, true},
	"rejected":                       {reply("HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), balancer.StatusRejected, true},
	"503 that is no rejection":       {reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), balancer.StatusError, true},
	"cut body":                       {reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), balancer.StatusReset, false},
	"no answer":                      {reply(""), balancer.StatusReset, false},
	"nonsense":                       {reply("who is there\r\n\r\n"), balancer.StatusInvalidResponse, false},
	"large answer":                   {reply("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"), balancer.StatusInvalidResponse, false},
	"broken before the last byte": {func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, 10)) // reads a part of the request
		_ = c.Close()
	}, balancer.StatusConnectFailed, false},
}

// An attempt's status tells that the request was not executed only if its last byte was certainly not written.
func TestOutcomes(t *testing.T) {
	for name, test := range outcomes {
		t.Run(name, func(t *testing.T) {
			res := runAttempt(t, "", true, pipe(t, test.endpoint), testTimeout, nil)
			if res.Status != test.wantStatus || (res.Conn != nil) != test.wantReusable {
				t.Errorf("got status %v, reusable connection %v; want %v, %v", res.Status, res.Conn != nil, test.wantStatus, test.wantReusable)
			}
			if wantLoad := name == "with a load report"; (res.Load != nil) != wantLoad || wantLoad && res.Load.Queue != 2 {
				t.Errorf("got load report %+v, want one with a queue of 2: %v", res.Load, wantLoad)
			}
			if test.wantStatus == balancer.StatusOK && string(res.Response.Body) != "ok" {
				t.Errorf("got body %q, want ok", res.Response.Body)
			}
		})
	}
}

// An attempt whose endpoint sends an endless response ends long before the attempt's deadline, and after a limited number of bytes.
func TestEndlessAnswers(t *testing.T) {
	for name, answer := range map[string]struct{ first, then string }{
		"head":        {"HTTP/1.1 200 OK\r\n", "X-Pad: pppppppppppppppp\r\n"},
		"line":        {"HTTP/1.1 200 OK\r\nX-Pad: ", "pppppppppppppppppppppp"},
		"status":      {"HTTP/1.1 200 O", "KKKKKKKKKKKKKKK"},
		"information": {"", "HTTP/1.1 102 Wait\r\n\r\n"},
		"body":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
		"trailer":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: pppppppppppppp\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			near := pipe(t, func(far net.Conn) {
				readRequest(far)
				send(far, answer.first)
				for {
					n, err := io.WriteString(far, answer.then)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			if res := runAttempt(t, "", true, near, testTimeout, nil); res.Status != balancer.StatusInvalidResponse || res.Conn != nil {
				t.Errorf("got status %v, reusable connection %v; want %v, false", res.Status, res.Conn != nil, balancer.StatusInvalidResponse)
			}
			closeAll(t, near)
			if limit := int64(maxBodyBytes + 2*maxHeadBytes + 100); sent.Load() > limit {
				t.Errorf("%d bytes were read, want at most %d", sent.Load(), limit)
			}
		})
	}
}

// An attempt fails if the memory budget is too small for its response, and the bytes that its body does not use are released.
func TestResponsesShareTheMemoryBudget(t *testing.T) {
	endpoint := func(far net.Conn) {
		readRequest(far)
		send(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	try := func(b *exchange.Budget) exchange.Result {
		a, cancel := newAttempt(t, "", testTimeout, b)
		defer cancel()
		return a.runOn(newConn(pipe(t, endpoint)))
	}
	tight := &exchange.Budget{}
	tight.Release(maxBodyBytes - 1)
	if res := try(tight); res.Status != balancer.StatusInvalidResponse || tight.Available() != maxBodyBytes-1 {
		t.Errorf("budget too small: got status %v and %d bytes available, want %v and %d",
			res.Status, tight.Available(), balancer.StatusInvalidResponse, maxBodyBytes-1)
	}
	tight.Release(1)
	if res := try(tight); res.Status != balancer.StatusOK || tight.Available() != maxBodyBytes-2 {
		t.Errorf("budget large enough: got status %v and %d bytes available, want %v and %d",
			res.Status, tight.Available(), balancer.StatusOK, maxBodyBytes-2)
	}
}

// Bytes that arrive after a response, at any time before the next request, must not be taken as the response to that request.
func TestLateBytesAreNotServed(t *testing.T) {
	near, far := tcpPair(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, listener)
	go func() {
		next, err := listener.Accept()
		if err != nil {
			return // the listener is closed at the end of the test
		}
		readRequest(next)
		send(next, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
	}()
	send(far, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
	for end := time.Now().Add(testTimeout); near.alive() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	a, cancel := newAttempt(t, listener.Addr().String(), testTimeout, largeBudget())
	defer cancel()
	if res := a.run(near, testTimeout); res.Status != balancer.StatusOK || string(res.Response.Body) != "new" {
		t.Errorf("got status %v, response %+v; want %v and the body new", res.Status, res.Response, balancer.StatusOK)
	}
}

// If the endpoint starts to drain during the dial, the connection is closed and nothing is sent on it.
func TestDrainedWhileDialing(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(t, l)
	if res := runAttempt(t, l.Addr().String(), false, nil, testTimeout, nil); res.Status != balancer.StatusNotSent || res.Conn != nil {
		t.Errorf("got status %v, connection %v; want %v and no connection", res.Status, res.Conn, balancer.StatusNotSent)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); len(got) > 0 || err != nil {
		t.Errorf("the endpoint read %q with error %v, want nothing and the connection's end", got, err)
	}
}

// A dial to a machine that does not respond ends at the connect timeout, and the request was not executed. The test simulates the machine
// by a listener whose backlog is full, which drops connection attempts.
func TestSilentDialEndsAtConnectTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := syscall.Close(fd); err != nil {
			t.Error(err)
		}
	}()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := (&net.Dialer{Timeout: 200 * time.Millisecond}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			break
		}
		defer closeAll(t, c)
	}
	a, cancel := newAttempt(t, address, testTimeout, largeBudget())
	defer cancel()
	if res := a.run(nil, 100*time.Millisecond); res.Status != balancer.StatusConnectFailed {
		t.Errorf("at the connect timeout: got status %v, want %v", res.Status, balancer.StatusConnectFailed)
	}
	a, cancel = newAttempt(t, address, 100*time.Millisecond, largeBudget())
	defer cancel()
	if res := a.run(nil, testTimeout); res.Status != balancer.StatusNotSent {
		t.Errorf("at the request's deadline: got status %v, want %v", res.Status, balancer.StatusNotSent)
	}
}

func TestRefusedConnection(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	closeAll(t, l)
	if res := runAttempt(t, address, true, nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed {
		t.Errorf("got status %v, want %v", res.Status, balancer.StatusConnectFailed)
	}
}

// An attempt that times out or is cancelled has closed its connection by the time its result is returned.
func TestUnfinishedAttemptClosesItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		timeout time.Duration
		cancel  bool
		want    balancer.Status
	}{
		"timeout": {100 * time.Millisecond, false, balancer.StatusTimeout},
		"cancel":  {testTimeout, true, balancer.StatusCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan struct{})
			ended := make(chan struct{})
			near := pipe(t, func(far net.Conn) {
				defer close(ended)
				readRequest(far)
				close(written)
				if n, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("the endpoint read %d more bytes with error %v, want io.EOF", n, err)
				}
			})
			res := runAttempt(t, "", true, near, test.timeout, func(cancel func()) {
				<-written
				if test.cancel {
					cancel()
				}
			})
			<-ended // otherwise the endpoint might read the EOF of the pipe that is closed at the end of the test
			if res.Status != test.want || res.Conn != nil {
				t.Errorf("got status %v, connection %v; want %v and no connection", res.Status, res.Conn, test.want)
			}
			if _, err := near.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
				t.Errorf("write after the attempt: got error %v, want %v", err, io.ErrClosedPipe)
			}
		})
	}
}
