package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/network/exchange"
)

const testTimeout = 10 * time.Second

func newAttempt(address string, timeout time.Duration, bodies *exchange.Budget) (*attempt, func()) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	a := &attempt{&exchange.Attempt{
		Sent: time.Now(), Context: ctx, Bodies: bodies, Endpoint: &exchange.Endpoint{Address: address},
		Request: &exchange.Inbound{Method: http.MethodPost, Target: "/api", Host: "h", Header: http.Header{}, Body: []byte("trip")},
	}}
	a.Endpoint.Open.Store(true)
	return a, cancel
}

// tryOut makes an attempt at an endpoint, on a connection of the test's if there is one.
func tryOut(address string, open bool, c net.Conn, timeout time.Duration, during func(cancel func())) exchange.Result {
	a, cancel := newAttempt(address, timeout, roomy())
	defer cancel()
	a.Endpoint.Open.Store(open)
	if during != nil {
		go during(cancel)
	}
	if c == nil {
		return a.run(nil, testTimeout)
	}
	return a.runOn(newConn(c))
}

// roomy is a budget for bodies that is not used up.
func roomy() *exchange.Budget {
	b := &exchange.Budget{}
	b.Release(1 << 30)
	return b
}

// pipe plays the endpoint's side of a connection, byte by byte.
func pipe(t *testing.T, play func(net.Conn)) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	done := make(chan bool)
	go func() {
		play(far)
		close(done)
	}()
	t.Cleanup(func() {
		near.Close()
		far.Close()
		<-done
	})
	return near
}

func readRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		io.Copy(io.Discard, r.Body)
	}
}

// The outcome says 'never ran' only when the last byte was certainly not written.
func TestOutcomes(t *testing.T) {
	reply := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			readRequest(c)
			io.WriteString(c, text)
			c.Close()
		}
	}
	for name, c := range map[string]struct {
		play func(net.Conn)
		want balancer.Status
		keep bool
	}{
		"served":              {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
		"served, then closes": {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"), balancer.StatusOK, false},
		"served, old version": {reply("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, false},
		"served in chunks":    {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), balancer.StatusOK, true},
		"after information":   {reply("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
		"with a report":       {reply("HTTP/1.1 200 OK\r\nX-Pressure: inflight=7,queue=2\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
		"with a bad report":   {reply("HTTP/1.1 200 OK\r\nX-Pressure: queue\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
		"with an odd report":  {reply("HTTP/1.1 200 OK\r\nX-Pressure: queue=NaN\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
		"after many informations": {reply(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxInformational) +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusOK, true},
		"after too many": {reply(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxInformational+1) +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"and a copy":          {reply(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2)), balancer.StatusOK, false},
		"and noise":           {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\x00\x01"), balancer.StatusOK, false},
		"until closed":        {reply("HTTP/1.1 200 OK\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"two lengths":         {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\noky"), balancer.StatusInvalidResponse, false},
		"length and chunks":   {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), balancer.StatusInvalidResponse, false},
		"negative length":     {reply("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"length no number":    {reply("HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"huge length":         {reply("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"unknown coding":      {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"broken chunks":       {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n"), balancer.StatusInvalidResponse, false},
		"other version":       {reply("ICY 200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"status no number":    {reply("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"status long":         {reply("HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"no colon":            {reply("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok"), balancer.StatusInvalidResponse, false},
		"request at fault":    {reply("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"), balancer.StatusInvalidResponse, true},
		"turned away, spoilt": {reply("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 2x\r\n\r\n"), balancer.StatusInvalidResponse, false},
		"error":               {reply("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"), balancer.StatusError, true},
		"turned away":         {reply("HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), balancer.StatusRejected, true},
		"no word of it":       {reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), balancer.StatusError, true},
		"cut body":            {reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), balancer.StatusReset, false},
		"no answer":           {reply(""), balancer.StatusReset, false},
		"nonsense":            {reply("who is there\r\n\r\n"), balancer.StatusInvalidResponse, false},
		"large answer":        {reply("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"), balancer.StatusInvalidResponse, false},
		"broken before the last byte": {func(c net.Conn) {
			c.Read(make([]byte, 10))
			c.Close()
		}, balancer.StatusConnectFailed, false},
	} {
		res := tryOut("", true, pipe(t, c.play), testTimeout, nil)
		if res.Status != c.want || (res.Conn != nil) != c.keep {
			t.Errorf("%s: status %v, kept %v", name, res.Status, res.Conn != nil)
		}
		if wantLoad := name == "with a report"; (res.Load != nil) != wantLoad || wantLoad && res.Load.Queue != 2 {
			t.Errorf("%s: load %+v", name, res.Load)
		}
		if c.want == balancer.StatusOK && string(res.Response.Body) != "ok" {
			t.Errorf("%s: body %q", name, res.Response.Body)
		}
	}
}

// An endpoint that goes on without end is given up, long before the attempt's time is, and takes no memory.
func TestEndlessAnswers(t *testing.T) {
	for name, c := range map[string]struct{ first, then string }{
		"head":        {"HTTP/1.1 200 OK\r\n", "X-Pad: pppppppppppppppp\r\n"},
		"line":        {"HTTP/1.1 200 OK\r\nX-Pad: ", "pppppppppppppppppppppp"},
		"status":      {"HTTP/1.1 200 O", "KKKKKKKKKKKKKKK"},
		"information": {"", "HTTP/1.1 102 Wait\r\n\r\n"},
		"body":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
		"trailer":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: pppppppppppppp\r\n"},
	} {
		var sent atomic.Int64
		near := pipe(t, func(far net.Conn) {
			readRequest(far)
			io.WriteString(far, c.first)
			for {
				n, err := io.WriteString(far, c.then)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		if res := tryOut("", true, near, testTimeout, nil); res.Status != balancer.StatusInvalidResponse || res.Conn != nil {
			t.Errorf("%s: status %v", name, res.Status)
		}
		near.Close()
		if most := int64(maxBodyBytes + 2*maxHeadBytes + 100); sent.Load() > most {
			t.Errorf("%s: %d bytes were taken", name, sent.Load())
		}
	}
}

// An answer that there is no memory for is given up, and what was set aside for others is given back.
func TestAnswersShareTheMemory(t *testing.T) {
	answer := func(far net.Conn) {
		readRequest(far)
		io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	try := func(b *exchange.Budget) exchange.Result {
		a, cancel := newAttempt("", testTimeout, b)
		defer cancel()
		return a.runOn(newConn(pipe(t, answer)))
	}
	tight := &exchange.Budget{}
	tight.Release(maxBodyBytes - 1)
	if res := try(tight); res.Status != balancer.StatusInvalidResponse || tight.Available() != maxBodyBytes-1 {
		t.Errorf("status %v, %d bytes left", res.Status, tight.Available())
	}
	tight.Release(1)
	if res := try(tight); res.Status != balancer.StatusOK || tight.Available() != maxBodyBytes-2 {
		t.Errorf("status %v, %d bytes left", res.Status, tight.Available())
	}
}

// What comes after an answer, however late, must not be served to the next request.
func TestLateExtraIsNotServed(t *testing.T) {
	c, far := tcpPair(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		next, err := l.Accept()
		if err != nil {
			return
		}
		readRequest(next)
		io.WriteString(next, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
	}()
	io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
	for end := time.Now().Add(testTimeout); c.alive() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	a, cancel := newAttempt(l.Addr().String(), testTimeout, roomy())
	defer cancel()
	if res := a.run(c, testTimeout); res.Status != balancer.StatusOK || string(res.Response.Body) != "new" {
		t.Errorf("status %v, response %+v", res.Status, res.Response)
	}
}

// A dial may outlast a drain: then the connection is closed with nothing sent on it.
func TestDrainedWhileDialing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if res := tryOut(l.Addr().String(), false, nil, testTimeout, nil); res.Status != balancer.StatusNotSent || res.Conn != nil {
		t.Errorf("status %v, conn %v", res.Status, res.Conn)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); len(got) > 0 || err != nil {
		t.Errorf("endpoint got %q, %v", got, err)
	}
}

// A machine that is cut off answers no dial: the connect time-out ends it, and nothing ran. Here a listener
// whose backlog is full drops what comes.
func TestSilentDialEndsAtConnectTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
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
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	a, cancel := newAttempt(address, testTimeout, roomy())
	defer cancel()
	if res := a.run(nil, 100*time.Millisecond); res.Status != balancer.StatusConnectFailed {
		t.Errorf("status %v", res.Status)
	}
	a, cancel = newAttempt(address, 100*time.Millisecond, roomy())
	defer cancel()
	if res := a.run(nil, testTimeout); res.Status != balancer.StatusNotSent {
		t.Errorf("status %v at the request's deadline", res.Status)
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	if res := tryOut(address, true, nil, testTimeout, nil); res.Status != balancer.StatusConnectFailed {
		t.Errorf("status %v", res.Status)
	}
}

// An attempt that is given up has closed its connection by the time its outcome is told.
func TestGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		cancel  bool
		want    balancer.Status
	}{
		"time-out": {100 * time.Millisecond, false, balancer.StatusTimeout},
		"cancel":   {testTimeout, true, balancer.StatusCancelled},
	} {
		written, ended := make(chan bool), make(chan bool)
		near := pipe(t, func(far net.Conn) {
			defer close(ended)
			readRequest(far)
			close(written)
			if n, err := far.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("%s: endpoint got %d bytes, %v", name, n, err)
			}
		})
		res := tryOut("", true, near, c.timeout, func(cancel func()) {
			<-written
			if c.cancel {
				cancel()
			}
		})
		<-ended // else the pipe's own end, closed with the test, may be what it reads
		if res.Status != c.want || res.Conn != nil {
			t.Errorf("%s: status %v, conn %v", name, res.Status, res.Conn)
		}
		if _, err := near.Write([]byte("x")); err != io.ErrClosedPipe {
			t.Errorf("%s: the connection is open: %v", name, err)
		}
	}
}

// tcpPair is two ends of a loopback connection.
func tcpPair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return newConn(near), far
}

func TestPool(t *testing.T) {
	e, other := &exchange.Endpoint{ID: 1}, &exchange.Endpoint{ID: 2}
	e.Open.Store(true)
	other.Open.Store(true)
	p := pool{idle: map[*exchange.Endpoint][]*conn{}, maxOpen: 3, maxIdle: time.Minute}
	var conns []*conn
	for range 3 {
		if c, ok := p.acquire(e, time.Now()); c != nil || !ok {
			t.Fatal(c, ok)
		}
		c, _ := tcpPair(t)
		conns = append(conns, c)
	}
	if _, ok := p.acquire(e, time.Now()); ok {
		t.Error("more connections than the bound")
	}
	for _, c := range conns {
		p.release(e, c)
	}
	if c, _ := p.acquire(e, time.Now()); c != conns[2] {
		t.Error("not the most recently used one")
	}
	if c, ok := p.acquire(other, time.Now()); c != nil || !ok || len(p.idle[e]) != 1 || conns[0].alive() {
		t.Error("the one that has been idle the longest did not make room")
	}
	p.release(other, nil)
	p.release(e, conns[2])
	if c, _ := p.acquire(e, time.Now().Add(2*p.maxIdle)); c != nil || p.open != 1 {
		t.Error("a connection outlived its idle time")
	}
	p.release(e, nil)
	c, _ := tcpPair(t)
	p.open++
	p.release(e, c)
	p.sweep(time.Now().Add(2 * p.maxIdle))
	if p.open != 0 || len(p.idle) != 0 || c.alive() {
		t.Error("swept connections are still there")
	}
	c, _ = tcpPair(t)
	p.open++
	e.Open.Store(false)
	p.release(e, c)
	if p.open != 0 || len(p.idle) != 0 {
		t.Error("a connection to a draining endpoint is kept")
	}
}

func TestAliveSeesWhatCameWhileIdle(t *testing.T) {
	c, far := tcpPair(t)
	if !c.alive() {
		t.Fatal("a fresh connection is not alive")
	}
	io.WriteString(far, "HTTP/1.1 408 Request Timeout\r\n\r\n")
	for end := time.Now().Add(testTimeout); c.alive(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an answer that nobody asked for goes unseen")
		}
	}
}

func TestProbe(t *testing.T) {
	var health atomic.Int64
	health.Store(http.StatusOK)
	at := func(serve http.HandlerFunc) *exchange.Endpoint {
		s := httptest.NewServer(serve)
		t.Cleanup(s.Close)
		return &exchange.Endpoint{Address: s.Listener.Addr().String()}
	}
	e := at(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/health" {
			t.Errorf("probed with %s %s", r.Method, r.URL.Path)
		}
		w.WriteHeader(int(health.Load()))
	})
	if got := Probe(e, testTimeout); got != balancer.StatusOK {
		t.Errorf("healthy: %v", got)
	}
	health.Store(http.StatusServiceUnavailable)
	if got := Probe(e, testTimeout); got != balancer.StatusError {
		t.Errorf("unwell: %v", got)
	}
	mute := at(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	if got := Probe(mute, 100*time.Millisecond); got != balancer.StatusTimeout {
		t.Errorf("mute: %v", got)
	}
}
