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

// Requests may run for at least five sixths of the grace time, and all steps of the shutdown follow each other within the grace time.
func TestShutdownPlanKeepsItsOrder(t *testing.T) {
	const now = time.Hour
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			plan := planShutdown(now, grace)
			qt.Check(t, plan.answersDue-now > grace*5/6, qt.IsTrue, qt.Commentf("time for requests in the plan %+v", plan))
			inOrder := now < plan.rejectFrom && plan.rejectFrom < plan.answersDue && plan.answersDue < plan.exitBy
			qt.Check(t, inOrder && plan.exitBy < now+grace, qt.IsTrue, qt.Commentf("order of the plan %+v", plan))
		})
	}
}

// clientExchange is one request of a client, and its outcome.
type clientExchange struct {
	id, path    string
	answered    bool          // whether the client has received a complete answer
	status      int           // status of the answer; 0 if none was read
	answerBegan bool          // whether the client has received any byte of an answer
	elapsed     time.Duration // time from the request to the answer or the error
	err         error
}

// testClient sends requests on one connection. It opens a new connection if the previous one was closed.
type testClient struct {
	mesh      *testMesh
	machine   string // name of the machine whose sidecar gets the requests
	keepAlive bool   // whether the connection stays open after an answer
	conn      net.Conn
	r         *bufio.Reader
}

// close closes the connection, if one is open.
func (t *testClient) close() {
	if t.conn != nil {
		_ = t.conn.Close() // fails if the other side has reset the connection
		t.conn = nil
	}
}

// do sends a request and reads its answer. refused is true if the client could not open a connection.
func (t *testClient) do(method, path string) (exchange clientExchange, refused bool) {
	t.mesh.mu.Lock()
	t.mesh.requestCount++
	exchange.id = fmt.Sprintf("%016x", t.mesh.requestCount)
	exchange.path = path
	t.mesh.mu.Unlock()
	if t.conn == nil {
		conn, err := t.mesh.dial(t.mesh.machines[t.machine])
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
	exchange.answerBegan = exchange.err == nil
	if exchange.answerBegan {
		exchange.status, exchange.err = t.read(method, exchange.id)
		exchange.answered = exchange.err == nil
	}
	exchange.elapsed = time.Since(began)
	if !exchange.answered || !t.keepAlive {
		t.close()
	}
	return exchange, false
}

// read reads a complete answer, and checks that it belongs to the request with an ID.
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
		return response.StatusCode, fmt.Errorf("received the answer to another request, %q", response.Header.Get("Attempt-Id"))
	}
	if response.Close {
		t.close()
	}
	return response.StatusCode, nil
}

// clientLoad runs clients, and records their exchanges.
type clientLoad struct {
	clients  sync.WaitGroup
	stop     chan struct{}    // closed by finish
	mu       sync.Mutex       // guards the fields below
	stopping []clientExchange // exchanges with the sidecar that shuts down
	others   []clientExchange // exchanges with another sidecar
}

// maxRejections is the number of rejected requests after which a client stops.
const maxRejections = 100

// sendOnce starts a client that sends one request to the sidecar that shuts down.
func (l *clientLoad) sendOnce(c *testClient, method, path string) {
	l.clients.Go(func() {
		defer c.close()
		l.exchange(c, method, path, &l.stopping)
	})
}

// sendRepeatedly starts a client that sends GET requests until the load is finished, until it can't connect, or until maxRejections.
func (l *clientLoad) sendRepeatedly(c *testClient, path string, into *[]clientExchange) {
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

// running reports whether clients have exchanged more than 5 requests with each of the two sidecars.
func (l *clientLoad) running() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.stopping) > 5 && len(l.others) > 5
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

// check checks that each request that the stopping sidecar has read got a complete answer, and that no rejected request ran.
func (l *clientLoad) check(mesh *testMesh) {
	mesh.Helper()
	ran := map[string]bool{}
	for _, a := range mesh.applications {
		for id := range a.Executions() {
			ran[id] = true
		}
	}
	count := map[int]int{}
	for _, exchange := range l.stopping {
		count[exchange.status]++
		neverRead := !exchange.answerBegan && !ran[exchange.id] && exchange.elapsed < time.Second
		mesh.Check(exchange.answered || neverRead, qt.IsTrue,
			qt.Commentf("a request that may have been read has no answer: %+v, ran %v", exchange, ran[exchange.id]))
		mesh.Check(isRejection(exchange.status) && ran[exchange.id], qt.IsFalse, qt.Commentf("a request was rejected, but ran: %+v", exchange))
	}
	for _, exchange := range l.others {
		hasOutcome := exchange.status == http.StatusOK || isRejection(exchange.status)
		mesh.Check(exchange.answered && hasOutcome, qt.IsTrue, qt.Commentf("a request to the other sidecar has no valid answer: %+v", exchange))
	}
	mesh.Logf("%d requests to the stopping sidecar by status: %v; %d to the other one", len(l.stopping), count, len(l.others))
	mesh.Assert(count[http.StatusOK] > 0 && count[http.StatusServiceUnavailable] > 0, qt.IsTrue, qt.Commentf("number by status %v", count))
	mesh.Assert(count[http.StatusGatewayTimeout], qt.Equals, 2, qt.Commentf("number by status %v", count))
}

// A sidecar gets SIGTERM under load. It answers each request that it has read completely before it exits, even a request that no endpoint
// answers and whose deadline is long after the exit. Requests that have not run are rejected. The answers of the sidecar's endpoint reach
// their callers completely over a slow link.
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
		load.sendOnce(&testClient{mesh: mesh, machine: "access-2"}, "POST", "/book/long/x")
	}
	mesh.waitFor("two requests are in flight", func() bool { return runs() == before+2 })
	for i := range 3 {
		load.sendRepeatedly(&testClient{mesh: mesh, machine: "access-2", keepAlive: i > 0}, "/read/x?bytes=20000", &load.stopping)
		load.sendRepeatedly(&testClient{mesh: mesh, machine: "access-0", keepAlive: i > 0}, "/read/x?bytes=150000", &load.others)
	}
	mesh.waitFor("both sidecars serve the load", load.running)
	sidecar := mesh.machines["access-2"]
	mesh.Assert(sidecar.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	began := time.Now()
	mesh.Assert(mesh.waitForExit(sidecar), qt.IsNil)
	t.Logf("the sidecar exited after %v", time.Since(began))
	load.finish()
	load.check(mesh)
}

// A sidecar shuts down while its endpoint works on a request that another sidecar has sent. Late in the grace time the endpoint makes a
// nested call for that request. Both the nested call and the request are served.
func TestNestedCallsAreServedDuringShutdown(t *testing.T) {
	mesh := newMeshWith(t, 8, "", "grace = \"6s\"\n")
	routes := longRoute + `,{"name":"inner","hostName":"shop.example","pathPrefix":"/inner/","routeKind":"idempotent",` +
		`"timeout":"1000ms","target":"150ms","priority":1,"serviceName":"board","maxAttempts":2,"publicAccess":true}`
	mesh.waitFirstConfiguration(routes, "k1")
	for _, path := range []string{"/book/x", "/read/x", "/inner/x"} {
		mesh.waitServed("access-2", path)
	}
	for _, name := range []string{"access-0", "access-1"} {
		mesh.waitFor(name+" serves /inner/x", func() bool {
			a, _ := mesh.send(name, "GET", "/inner/x", "", nil)
			return a.status == http.StatusOK
		})
	}
	releases := map[string]func(){}
	before := map[string]int{}
	for _, name := range []string{"access-0", "access-1"} {
		releases[name], before[name] = mesh.applications[name].Hold(), len(mesh.applications[name].Executions())
	}
	answers := make(chan clientExchange, 1)
	go func() {
		c := &testClient{mesh: mesh, machine: "access-2"}
		defer c.close()
		a, _ := c.do("POST", "/book/long/x?call=/inner/x")
		answers <- a
	}()
	running := ""
	mesh.waitFor("the request is in flight", func() bool {
		for name, n := range before {
			if len(mesh.applications[name].Executions()) > n {
				running = name
			}
		}
		return running != ""
	})
	sidecar := mesh.machines[running]
	mesh.signal(sidecar, syscall.SIGTERM)
	mesh.waitFor("the sidecar rejects new requests", func() bool {
		a, _ := mesh.send(running, "GET", "/read/x", "k1", nil)
		return a.status == http.StatusServiceUnavailable
	})
	for _, release := range releases {
		release()
	}
	a := <-answers
	mesh.Check(a.answered && a.status == http.StatusOK, qt.IsTrue, qt.Commentf("want an answer with status 200, got %+v", a))
	mesh.Assert(mesh.waitForExit(sidecar), qt.IsNil)
}
