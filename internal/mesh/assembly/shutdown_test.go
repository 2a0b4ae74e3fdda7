package assembly

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Requests may run for five sixths of the grace time at least, and the steps of the shutdown follow each other within it.
func TestShutdownPlanKeepsItsOrder(t *testing.T) {
	const now = time.Hour
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			plan := planShutdown(now, grace)
			qt.Check(t, plan.answersDue-now > grace*5/6, qt.IsTrue, qt.Commentf("%+v", plan))
			inOrder := now < plan.rejectFrom && plan.rejectFrom < plan.answersDue && plan.answersDue < plan.exitBy
			qt.Check(t, inOrder && plan.exitBy < now+grace, qt.IsTrue, qt.Commentf("%+v", plan))
		})
	}
}

// clientExchange is one request of a client, and its outcome.
type clientExchange struct {
	id, path string
	answered bool          // the client has received a complete answer
	status   int           // of the answer
	began    bool          // the client has received some bytes of an answer
	waited   time.Duration // for the answer or the error
	err      error
}

// testClient sends requests on one connection. It opens another one if that was closed.
type testClient struct {
	m       *testMesh
	machine string
	keep    bool // the connection is kept after an answer
	conn    net.Conn
	r       *bufio.Reader
}

// close closes the connection, if one is open.
func (t *testClient) close() {
	if t.conn != nil {
		_ = t.conn.Close() // the other side may have reset it
		t.conn = nil
	}
}

// do sends a request and reads its answer. refused means that it could not open a connection.
func (t *testClient) do(method, path string) (exchange clientExchange, refused bool) {
	t.m.mu.Lock()
	t.m.requestCount++
	exchange.id = fmt.Sprintf("%016x", t.m.requestCount)
	exchange.path = path
	t.m.mu.Unlock()
	if t.conn == nil {
		conn, err := t.m.dial(t.m.machines[t.machine])
		if err != nil {
			return exchange, true
		}
		t.conn = conn
		t.r = bufio.NewReader(conn)
	}
	_ = t.conn.SetDeadline(time.Now().Add(20 * time.Second))
	began := time.Now()
	_, _ = fmt.Fprintf(t.conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nKey: k1\r\nTime-Remaining: 15000\r\n\r\n",
		method, path, exchange.id)
	_, exchange.err = t.r.Peek(1)
	exchange.began = exchange.err == nil
	if exchange.began {
		exchange.status, exchange.err = t.read(method, exchange.id)
		exchange.answered = exchange.err == nil
	}
	exchange.waited = time.Since(began)
	if !exchange.answered || !t.keep {
		t.close()
	}
	return exchange, false
}

// read reads a complete answer, and checks that it is the one to the request with an ID.
func (t *testClient) read(method, id string) (status int, err error) {
	response, err := http.ReadResponse(t.r, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return response.StatusCode, err
	}
	if response.StatusCode == http.StatusOK && response.Header.Get("Attempt-Id") != id {
		return response.StatusCode, fmt.Errorf("the answer to %q", response.Header.Get("Attempt-Id"))
	}
	if response.Close {
		t.close()
	}
	return response.StatusCode, nil
}

// clientLoad runs clients, and records their exchanges.
type clientLoad struct {
	clients sync.WaitGroup
	stop    chan struct{}    // closed by finish
	mu      sync.Mutex       // guards the fields below
	ending  []clientExchange // with the sidecar that shuts down
	others  []clientExchange // with another sidecar
}

// maxRejections is how many requests of one client may be rejected before it gives up.
const maxRejections = 100

// once starts a client that sends one request by the sidecar that shuts down.
func (l *clientLoad) once(c *testClient, method, path string) {
	l.clients.Go(func() {
		defer c.close()
		l.exchange(c, method, path, &l.ending)
	})
}

// repeat starts a client that sends GET requests until the load is finished, or until it can't connect.
func (l *clientLoad) repeat(c *testClient, path string, into *[]clientExchange) {
	l.clients.Go(func() {
		defer c.close()
		for rejections := 0; rejections < maxRejections && !l.stopped(); {
			x, connected := l.exchange(c, "GET", path, into)
			if !connected {
				return
			}
			if x.status == http.StatusServiceUnavailable {
				rejections++
			}
		}
	})
}

// exchange sends one request, and appends the exchange to into. connected is false if the client can't connect.
func (l *clientLoad) exchange(c *testClient, method, path string, into *[]clientExchange) (x clientExchange, connected bool) {
	x, refused := c.do(method, path)
	if refused {
		return x, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	*into = append(*into, x)
	return x, true
}

// stopped reports whether finish was called.
func (l *clientLoad) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// running reports whether both sidecars have served some requests.
func (l *clientLoad) running() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ending) > 5 && len(l.others) > 5
}

// finish stops all clients, and waits for them.
func (l *clientLoad) finish() {
	close(l.stop)
	l.clients.Wait()
}

// isRejection reports whether a status means that the request was rejected, and did not run.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// check checks that each request that the sidecar read before it ended has a complete answer, and that none was rejected and ran.
func (l *clientLoad) check(mesh *testMesh) {
	mesh.Helper()
	ran := map[string]bool{}
	for _, a := range mesh.applications {
		for id := range a.Executions() {
			ran[id] = true
		}
	}
	count := map[int]int{}
	for _, exchange := range l.ending {
		count[exchange.status]++
		neverRead := !exchange.began && !ran[exchange.id] && exchange.waited < time.Second
		mesh.Check(exchange.answered || neverRead, qt.IsTrue, qt.Commentf("%+v, ran %v", exchange, ran[exchange.id]))
		mesh.Check(isRejection(exchange.status) && ran[exchange.id], qt.IsFalse, qt.Commentf("rejected and run: %+v", exchange))
	}
	for _, exchange := range l.others {
		hasOutcome := exchange.status == http.StatusOK || isRejection(exchange.status)
		mesh.Check(exchange.answered && hasOutcome, qt.IsTrue, qt.Commentf("another sidecar's: %+v", exchange))
	}
	mesh.Logf("%d requests: %v; %d of another sidecar", len(l.ending), count, len(l.others))
	mesh.Assert(count[http.StatusOK] > 0 && count[http.StatusServiceUnavailable] > 0, qt.IsTrue, qt.Commentf("%v", count))
	mesh.Assert(count[http.StatusGatewayTimeout], qt.Equals, 2, qt.Commentf("%v", count))
}

// A sidecar gets SIGTERM under load. Each request that it has read has a complete answer before the process ends, also one that no endpoint
// answers and whose deadline is long after the end. Requests that have not run are rejected. The answers of the endpoint beside it reach
// their callers completely, over a slow link.
func TestEveryRequestReadIsAnsweredDuringShutdown(t *testing.T) {
	mesh := newMeshWith(t, 4, "linkMbps = 18.0\n", "grace = \"3s\"\n")
	mesh.waitFirstConfiguration(longRoute, "k1")
	for _, name := range []string{"access-0", "access-2"} {
		for _, path := range []string{"/read/x", "/book/x"} {
			mesh.waitServed(name, path)
		}
	}
	for _, name := range []string{"access-0", "access-1"} {
		defer mesh.applications[name].Hold()()
	}
	runs := func() int {
		return len(mesh.applications["access-0"].Executions()) + len(mesh.applications["access-1"].Executions())
	}
	before := runs()
	load := &clientLoad{stop: make(chan struct{})}
	for range 2 {
		load.once(&testClient{m: mesh, machine: "access-2"}, "POST", "/book/long/x")
	}
	mesh.waitFor("requests are in flight", func() bool { return runs() == before+2 })
	for i := range 3 {
		load.repeat(&testClient{m: mesh, machine: "access-2", keep: i > 0}, "/read/x?bytes=20000", &load.ending)
		load.repeat(&testClient{m: mesh, machine: "access-0", keep: i > 0}, "/read/x?bytes=150000", &load.others)
	}
	mesh.waitFor("the load runs", load.running)
	sidecar := mesh.machines["access-2"]
	mesh.Assert(sidecar.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	began := time.Now()
	mesh.Assert(mesh.waitForExit(sidecar), qt.IsNil)
	t.Logf("ended after %v", time.Since(began))
	load.finish()
	load.check(mesh)
}

// A sidecar shuts down while the endpoint beside it works on a request that another sidecar has sent. Late in the grace time the endpoint
// makes a call of its own for that request: the call is served, and so is the request.
func TestNestedCallsAreServedDuringShutdown(t *testing.T) {
	mesh := newMeshWith(t, 8, "", "grace = \"6s\"\n")
	routes := longRoute + `,{"name":"inner","hostName":"shop.example","pathPrefix":"/inner/","routeKind":"idempotent",` +
		`"timeout":"1000ms","target":"150ms","priority":1,"serviceName":"board","maxAttempts":2,"publicAccess":true}`
	mesh.waitFirstConfiguration(routes, "k1")
	for _, path := range []string{"/book/x", "/read/x", "/inner/x"} {
		mesh.waitServed("access-2", path)
	}
	for _, name := range []string{"access-0", "access-1"} {
		mesh.waitFor(name+" serves calls", func() bool {
			a, _ := mesh.send(name, "GET", "/inner/x", "", nil)
			return a.status == http.StatusOK
		})
	}
	release := map[string]func(){}
	before := map[string]int{}
	for _, name := range []string{"access-0", "access-1"} {
		release[name], before[name] = mesh.applications[name].Hold(), len(mesh.applications[name].Executions())
	}
	answers := make(chan clientExchange, 1)
	go func() {
		c := &testClient{m: mesh, machine: "access-2"}
		defer c.close()
		a, _ := c.do("POST", "/book/long/x?call=/inner/x")
		answers <- a
	}()
	at := ""
	mesh.waitFor("the request is in flight", func() bool {
		for name, n := range before {
			if len(mesh.applications[name].Executions()) > n {
				at = name
			}
		}
		return at != ""
	})
	sidecar := mesh.machines[at]
	mesh.signal(sidecar, syscall.SIGTERM)
	mesh.waitFor("the sidecar rejects new requests", func() bool {
		a, _ := mesh.send(at, "GET", "/read/x", "k1", nil)
		return a.status == http.StatusServiceUnavailable
	})
	for _, f := range release {
		f()
	}
	a := <-answers
	mesh.Check(a.answered && a.status == http.StatusOK, qt.IsTrue, qt.Commentf("%+v", a))
	mesh.Assert(mesh.waitForExit(sidecar), qt.IsNil)
}
