package assembly

import (
	"bufio"
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

func TestShutdownPlanKeepsItsOrder(t *testing.T) {
	c := qt.New(t)
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		p := planShutdown(time.Hour, grace)
		c.Check(p.answersDue-time.Hour > grace*5/6, qt.IsTrue, qt.Commentf("%v: requests may run for five sixths: %+v", grace, p))
		c.Check(time.Hour < p.rejectFrom && p.rejectFrom < p.answersDue && p.answersDue < p.exitBy && p.exitBy < time.Hour+grace, qt.IsTrue,
			qt.Commentf("%v: %+v", grace, p))
	}
}

// clientExchange is what became of one request of a client.
type clientExchange struct {
	id, path string
	answered bool // a complete answer came
	status   int
	began    bool // some bytes of an answer came
	held     time.Duration
	err      error
}

// testClient sends requests on one connection, and dials anew where it was closed.
type testClient struct {
	m       *testMesh
	machine string
	keep    bool // the connection is kept after an answer
	conn    net.Conn
	r       *bufio.Reader
}

func (t *testClient) close() {
	if t.conn != nil {
		t.conn.Close()
		t.conn = nil
	}
}

// do sends a request and reads its answer; refused tells that no connection came about.
func (t *testClient) do(method, path string) (x clientExchange, refused bool) {
	t.m.mu.Lock()
	t.m.requestCount++
	x.id, x.path = fmt.Sprintf("%016x", t.m.requestCount), path
	t.m.mu.Unlock()
	if t.conn == nil {
		conn, err := net.Dial("tcp4", t.m.machines[t.machine].ip+":8106")
		if err != nil {
			return x, true
		}
		t.conn, t.r = conn, bufio.NewReader(conn)
	}
	_ = t.conn.SetDeadline(time.Now().Add(20 * time.Second))
	began := time.Now()
	_, _ = fmt.Fprintf(t.conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nKey: k1\r\nTime-Remaining: 15000\r\n\r\n", method, path, x.id)
	_, x.err = t.r.Peek(1)
	x.began = x.err == nil
	if x.began {
		x.status, x.err = t.read(method, x.id)
		x.answered = x.err == nil
	}
	x.held = time.Since(began)
	if !x.answered || !t.keep {
		t.close()
	}
	return x, false
}

// read reads a whole answer, and checks that it is the request's.
func (t *testClient) read(method, id string) (status int, err error) {
	r, err := http.ReadResponse(t.r, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return r.StatusCode, err
	}
	if r.StatusCode == http.StatusOK && r.Header.Get("Attempt-Id") != id {
		return r.StatusCode, fmt.Errorf("the answer to %q", r.Header.Get("Attempt-Id"))
	}
	if r.Close {
		t.close()
	}
	return r.StatusCode, nil
}

// A sidecar gets SIGTERM under load: each request that it has read has a whole answer before the process ends, also one that its
// endpoint never answers and whose deadline is long after the end; what has not run is refused as such. Answers of the
// endpoint beside it reach their callers over a slow link to the last byte.
func TestEveryRequestReadIsAnsweredDuringShutdown(t *testing.T) {
	m := newMeshWith(t, 4, "linkMbps = 18.0\n", "grace = \"3s\"\n")
	m.waitFor("the first configuration", func() bool {
		return m.replaceConfiguration(0, m.configuration(1, longRoute, "k1")) == 200
	})
	for _, name := range []string{"access-0", "access-2"} {
		for _, path := range []string{"/read/x", "/book/x"} {
			m.waitFor(name+" serves "+path, func() bool { a, _ := m.send(name, "GET", path, "k1", nil); return a.status == 200 })
		}
	}
	releaseOne, releaseOther := m.applications["access-0"].Hold(), m.applications["access-1"].Hold()
	defer releaseOne()
	defer releaseOther()

	var mu sync.Mutex
	var ending, others []clientExchange // by the sidecar that ends, and by another
	var load sync.WaitGroup
	stop := make(chan struct{})
	run := func(c *testClient, method, path string, into *[]clientExchange, once bool) {
		load.Go(func() {
			defer c.close()
			for refusals := 0; refusals < 100; {
				x, refused := c.do(method, path)
				if refused {
					return
				}
				mu.Lock()
				*into = append(*into, x)
				mu.Unlock()
				if x.status == http.StatusServiceUnavailable {
					refusals++
				}
				select {
				case <-stop:
					return
				default:
				}
				if once {
					return
				}
			}
		})
	}
	before := len(m.applications["access-0"].Runs()) + len(m.applications["access-1"].Runs())
	for range 2 {
		run(&testClient{m: m, machine: "access-2"}, "POST", "/book/long/x", &ending, true)
	}
	m.waitFor("requests are held", func() bool {
		return len(m.applications["access-0"].Runs())+len(m.applications["access-1"].Runs()) == before+2
	})
	for i := range 3 {
		run(&testClient{m: m, machine: "access-2", keep: i > 0}, "GET", "/read/x?bytes=20000", &ending, false)
		run(&testClient{m: m, machine: "access-0", keep: i > 0}, "GET", "/read/x?bytes=150000", &others, false)
	}
	m.waitFor("the load runs", func() bool { mu.Lock(); defer mu.Unlock(); return len(ending) > 5 && len(others) > 5 })
	x := m.machines["access-2"]
	m.Assert(x.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- x.cmd.Wait() }()
	select {
	case err := <-ended:
		m.Assert(err, qt.IsNil)
	case <-time.After(20 * time.Second):
		t.Fatal("it has not ended")
	}
	took := time.Since(began)
	x.cmd = nil
	close(stop)
	load.Wait()

	ran := map[string]bool{}
	for _, a := range m.applications {
		for id := range a.Runs() {
			ran[id] = true
		}
	}
	count := map[int]int{}
	for _, x := range ending {
		count[x.status]++
		m.Check(x.answered || !x.began && !ran[x.id] && x.held < time.Second, qt.IsTrue, qt.Commentf("%+v, ran %v", x, ran[x.id]))
		if x.status == 503 || x.status == 429 {
			m.Check(ran[x.id], qt.IsFalse, qt.Commentf("refused and run: %+v", x))
		}
	}
	for _, x := range others {
		m.Check(x.answered && (x.status == 200 || x.status == 503 || x.status == 429), qt.IsTrue, qt.Commentf("another sidecar's: %+v", x))
	}
	t.Logf("ended after %v; %d requests: %v; %d of another sidecar", took, len(ending), count, len(others))
	m.Assert(count[200] > 0 && count[503] > 0, qt.IsTrue, qt.Commentf("%v", count))
	m.Assert(count[504], qt.Equals, 2, qt.Commentf("%v", count))
}

// A sidecar ends while the endpoint beside it is at work on a request that others brought, and which makes a call of its own late in
// the grace time: that call is served, and so is the request.
func TestNestedCallsAreServedDuringShutdown(t *testing.T) {
	m := newMeshWith(t, 8, "", "grace = \"6s\"\n")
	routes := longRoute + `,{"name":"inner","hostName":"shop.example","pathPrefix":"/inner/","routeKind":"idempotent",` +
		`"timeout":"1000ms","target":"150ms","priority":1,"serviceName":"board","maxAttempts":2,"publicAccess":true}`
	m.waitFor("the first configuration", func() bool { return m.replaceConfiguration(0, m.configuration(1, routes, "k1")) == http.StatusOK })
	for _, path := range []string{"/book/x", "/read/x", "/inner/x"} {
		m.waitFor("access-2 serves "+path, func() bool { a, _ := m.send("access-2", "GET", path, "k1", nil); return a.status == http.StatusOK })
	}
	for _, name := range []string{"access-0", "access-1"} {
		m.waitFor(name+" serves calls", func() bool { a, _ := m.send(name, "GET", "/inner/x", "", nil); return a.status == http.StatusOK })
	}
	release := map[string]func(){}
	before := map[string]int{}
	for _, name := range []string{"access-0", "access-1"} {
		release[name], before[name] = m.applications[name].Hold(), len(m.applications[name].Runs())
	}
	answers := make(chan clientExchange, 1)
	go func() {
		c := &testClient{m: m, machine: "access-2"}
		defer c.close()
		a, _ := c.do("POST", "/book/long/x?call=/inner/x")
		answers <- a
	}()
	at := ""
	m.waitFor("the request is under way", func() bool {
		for name, n := range before {
			if len(m.applications[name].Runs()) > n {
				at = name
			}
		}
		return at != ""
	})
	x := m.machines[at]
	m.signal(x, syscall.SIGTERM)
	m.waitFor("the sidecar refuses new requests", func() bool {
		a, _ := m.send(at, "GET", "/read/x", "k1", nil)
		return a.status == http.StatusServiceUnavailable
	})
	for _, f := range release {
		f()
	}
	a := <-answers
	m.Check(a.answered && a.status == http.StatusOK, qt.IsTrue, qt.Commentf("%+v", a))
	m.Assert(m.waitForExit(x), qt.IsNil)
}
