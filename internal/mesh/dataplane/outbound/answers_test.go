package outbound_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

const answersConfig = `{"configVersion":"r1","routeTable":[
{"name":"read","hostName":"h","pathPrefix":"/idempotent/","routeKind":"idempotent","timeout":"2000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":3,"publicAccess":false},
{"name":"book","hostName":"h","pathPrefix":"/non_idempotent/","routeKind":"non_idempotent","timeout":"2000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":3,"publicAccess":false},
{"name":"pull","hostName":"h","pathPrefix":"/downlink/","routeKind":"downlink","timeout":"2000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":3,"publicAccess":false}],
"serviceTable":[{"name":"s","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}],
"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":1000000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`

// sidecar is one process of the data plane on a node of a network.
type sidecar struct {
	name     string
	hub      *transport.Hub
	inbound  *inbound.Proxy
	outbound *outbound.Proxy
	server   *http.Server
	closers  []io.Closer
}

func startSidecar(t *testing.T, n *network, name string, life uint64) *sidecar {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &sidecar{name: name}
	s.hub = transport.NewHub(transport.Hello{Incarnation: life, Address: name + ":7", Name: name}, time.Now(), 64<<20, log)
	s.hub.SetDialer(func(address string) (net.Conn, error) { return n.dial(name, address) })
	s.inbound = inbound.New(name+":9", s.hub.Now, log, nil)
	s.inbound.SetDialer(func(address string, _ time.Duration) (net.Conn, error) {
		near, far := net.Pipe()
		host, _, _ := net.SplitHostPort(address)
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("nobody at %s", host)
		}
		l.come <- far
		return near, nil
	})
	s.inbound.Register(s.hub)
	s.outbound = outbound.New(outbound.Options{
		Hub: s.hub, Inbound: s.inbound, Service: "client", Log: log, Seed: life, MaxBodyBytes: 64 << 20,
		Bounds: settings.Bounds{RetryBudgetRatio: 10, RetryBudgetSlack: 1e6, RetryBudgetWindow: 10 * time.Second},
	})
	conf, err := configuration.Parse([]byte(answersConfig))
	if err != nil {
		t.Fatal(err)
	}
	s.outbound.Configure(conf)
	links, clients := n.listen(name+":7"), n.listen(name+":8")
	s.server = s.outbound.Server()
	go s.hub.Listen(links)
	go s.server.Serve(clients)
	s.closers = append(s.closers, links, clients)
	return s
}

func (s *sidecar) close() {
	s.hub.Close()
	s.server.Close()
	for _, c := range s.closers {
		c.Close()
	}
}

// flawedEndpoint answers as endpoints in trouble do, and remembers what it ran.
type flawedEndpoint struct {
	n      *network
	id     string
	mu     sync.Mutex
	runs   map[string]int
	conns  []net.Conn
	flawed bool
}

func startEndpoint(n *network, address, id string, flawed bool) (*flawedEndpoint, *listener) {
	e := &flawedEndpoint{n: n, id: id, runs: map[string]int{}, flawed: flawed}
	l := n.listen(address)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, conn)
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e, l
}

func (f *flawedEndpoint) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

// serve takes the requests of one connection, one after the other; what it writes waits for its reader in order, as in a socket's
// buffer.
func (f *flawedEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	out := make(chan string, 64)
	defer close(out)
	go func() {
		for text := range out {
			if text == "" { // a reset
				conn.Close()
			}
			_, _ = io.WriteString(conn, text)
		}
	}()
	r, last := bufio.NewReader(conn), "0"
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		f.answer(q, string(body), last, out)
		last = q.Header.Get("Attempt-Id")
	}
}

func wholeAnswer(id, text string, extra ...string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: seal.%s\r\n", id, id)
	for _, x := range extra {
		head += x + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
}

// answerText is the body of the answer to a request.
func answerText(id, uri, body string) string {
	text := id + " " + uri + " " + body + " "
	if strings.HasPrefix(uri, "/downlink/") {
		text += strings.Repeat(id, 3000)
	}
	return text
}

// answer writes what the endpoint has to say to a request, and may be in trouble.
func (f *flawedEndpoint) answer(q *http.Request, body, last string, out chan<- string) {
	id := q.Header.Get("Attempt-Id")
	if q.Header.Get("Target-Endpoint") != f.id {
		out <- fmt.Sprintf("HTTP/1.1 421 Misdirected\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	flaw := 100
	if f.flawed {
		flaw = f.n.draw(100)
	}
	switch {
	case flaw < 4:
		out <- refusal
		return
	case flaw < 8: // its refusal comes twice
		out <- refusal
		out <- refusal
		return
	case flaw < 10: // reset before it began
		out <- ""
		return
	}
	f.mu.Lock()
	f.runs[id]++
	f.mu.Unlock()
	time.Sleep(time.Duration(1+f.n.draw(40)) * time.Millisecond)
	text := answerText(id, q.RequestURI, body)
	whole := wholeAnswer(id, text)
	switch {
	case flaw < 14:
		out <- ""
	case flaw < 16: // silence
	case flaw < 20:
		out <- whole[:len(whole)-1-f.n.draw(len(text))]
		out <- ""
	case flaw < 22:
		out <- "\x00\x01 no answer\r\n\r\n"
	case flaw < 25: // the answer to another request, late
		out <- wholeAnswer(last, answerText(last, q.RequestURI, body))
		out <- whole
	case flaw < 30: // twice
		out <- whole
		out <- whole
	case flaw < 33: // bytes of no request behind it
		out <- whole + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz"
	case flaw < 36:
		out <- "HTTP/1.1 102 Processing\r\n\r\n" + whole
	case flaw < 38:
		out <- wholeAnswer(id, text, "Content-Encoding: gzip")
	case flaw < 41:
		out <- fmt.Sprintf("HTTP/1.1 500 Oops\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	case flaw < 43: // a promise that it does not keep
		out <- fmt.Sprintf("HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	case flaw < 46:
		out <- wholeAnswer(id, text, "Connection: close")
		out <- ""
	case flaw < 50:
		out <- fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(text), text)
	default:
		out <- whole
	}
}

// play is one simulated run: three sidecars, two flawed endpoints, clients, and a network that fails.
type play struct {
	*qt.C
	n       *network
	mu      sync.Mutex
	next    int
	status  map[string]int    // of each request that was answered
	kind    map[string]string // of each request
	faults  []string
	nothing int // requests that their clients gave up
}

func (p *play) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// request is the text of a new request of a random kind.
func (p *play) request() (id, uri, text string) {
	kind := []string{"idempotent", "non_idempotent", "non_idempotent", "downlink"}[p.n.draw(4)]
	p.mu.Lock()
	p.next++
	id = fmt.Sprintf("%08x", p.next)
	p.kind[id] = kind
	p.mu.Unlock()
	uri = "/" + kind + "/" + id
	text = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s", uri, id,
		60+p.n.draw(1500), len(id), id)
	return id, uri, text
}

// client sends requests on connections that it keeps, one by one or two at once; it may give up.
func (p *play) client(to string, requests int) {
	var conn net.Conn
	var r *bufio.Reader
	for sent := 0; sent < requests; {
		if conn == nil {
			near, far := net.Pipe()
			p.n.mu.Lock()
			l := p.n.listeners[to+":8"]
			p.n.mu.Unlock()
			l.come <- far
			conn, r = near, bufio.NewReader(near)
		}
		ids, uris, all := []string{}, []string{}, ""
		for range 1 + p.n.draw(10)/9 {
			id, uri, text := p.request()
			ids, uris, all = append(ids, id), append(uris, uri), all+text
		}
		sent += len(ids)
		if p.n.draw(12) == 0 {
			_ = conn.SetDeadline(time.Now().Add(time.Duration(p.n.draw(300)) * time.Millisecond))
		}
		writer := conn
		go func() { _, _ = io.WriteString(writer, all) }() // the sidecar reads the second while it answers the first
		for i, id := range ids {
			if err := p.read(r, id, uris[i]); err != nil {
				var timeout net.Error
				if !errors.As(err, &timeout) || !timeout.Timeout() {
					p.fault("request %s: %v", id, err)
				}
				p.mu.Lock()
				p.nothing++
				p.mu.Unlock()
				conn.Close()
				conn = nil
				break
			}
		}
		time.Sleep(time.Duration(p.n.draw(30)) * time.Millisecond)
	}
	if conn != nil {
		conn.Close()
	}
}

// read takes one answer, and checks whose it is.
func (p *play) read(r *bufio.Reader, id, uri string) error {
	a, err := http.ReadResponse(r, &http.Request{Method: "POST"})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	got := a.Header.Get("Attempt-Id")
	switch {
	case a.StatusCode == 200 && (got != id || string(body) != answerText(id, uri, id) || a.Header.Get("Endpoint-Seal") == ""):
		p.fault("request %s got the answer %s, %d bytes", id, got, len(body))
	case got != "" && got != id:
		p.fault("request %s got %d of %s", id, a.StatusCode, got)
	}
	p.mu.Lock()
	p.status[id] = a.StatusCode
	p.mu.Unlock()
	return nil
}

// run plays a seed and returns what went wrong.
func (p *play) run(t *testing.T) {
	sidecars := []*sidecar{}
	endpoints := []*flawedEndpoint{}
	var known []discovery.Endpoint
	for i, name := range []string{"a", "b", "c"} {
		s := startSidecar(t, p.n, name, uint64(i+1))
		sidecars = append(sidecars, s)
		if i == 0 {
			continue
		}
		e, l := startEndpoint(p.n, name+":9", "i-"+name, true)
		s.closers = append(s.closers, l)
		endpoints = append(endpoints, e)
		s.inbound.UpdateEndpoint(admission.Endpoint{ID: e.id, Service: "s", Slots: 3}, admission.Serving)
		known = append(known, discovery.Endpoint{ID: e.id, Service: "s", SidecarAddress: name + ":7", Zone: "z", State: discovery.Serving, Slots: 3})
	}
	for _, s := range sidecars {
		s.outbound.UpdateEndpoints("s", known)
	}
	var clients sync.WaitGroup
	for i := range 10 {
		clients.Go(func() { p.client(sidecars[i%3].name, 12) })
	}
	stop := make(chan struct{})
	go func() { // processes beside endpoints stand still now and then
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(50+p.n.draw(500)) * time.Millisecond):
				p.n.node([]string{"b", "c"}[p.n.draw(2)]).freeze(time.Duration(p.n.draw(1200)) * time.Millisecond)
			}
		}
	}()
	clients.Wait()
	close(stop)
	time.Sleep(10 * time.Second) // what was given up would begin now, if it ever did
	for _, s := range sidecars {
		s.close()
	}
	for _, e := range endpoints {
		e.close()
	}
	time.Sleep(time.Second) // hubs see that they are closed
	for id, kind := range p.kind {
		runs := 0
		for _, e := range endpoints {
			e.mu.Lock()
			runs += e.runs[id]
			e.mu.Unlock()
		}
		if kind == "non_idempotent" && runs > 1 {
			p.fault("request %s of kind %s ran %d times", id, kind, runs)
		}
		if s := p.status[id]; (s == 503 || s == 429 || s == 408 || s == 421) && runs > 0 {
			p.fault("request %s of kind %s was answered %d and ran", id, kind, s)
		}
	}
}

// Random spoilt, doubled, late and reset answers, connections between sidecars that are lost at any byte or fall silent, processes
// that stand still, clients that give up: each answer is that of its request, what may run once runs once at most, and what is
// reported as not run never runs.
func TestAnswersUnderFaults(t *testing.T) {
	seeds := 6
	if os.Getenv("SOAK") != "" {
		seeds = 400
	}
	total := map[int]int{}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			p := &play{C: qt.New(t), n: newNetwork(uint64(seed), true), status: map[string]int{}, kind: map[string]string{}}
			p.run(t)
			for _, s := range p.status {
				total[s]++
			}
			total[0] += p.nothing
			for _, f := range p.faults {
				t.Errorf("seed %d: %s", seed, f)
			}
		})
		if t.Failed() {
			break
		}
	}
	t.Logf("answers by status (0: given up): %v", total)
	if total[200] == 0 || total[502] == 0 || total[503] == 0 || total[504] == 0 || total[0] == 0 {
		t.Errorf("some end of a request was not brought about: %v", total)
	}
}

// pair is a caller's sidecar a, and sidecar b with an endpoint that has no flaws, on a network without faults.
type pair struct {
	n        *network
	a, b     *sidecar
	endpoint *flawedEndpoint
}

func startPair(t *testing.T) *pair {
	p := &pair{n: newNetwork(1, false)}
	p.a, p.b = startSidecar(t, p.n, "a", 1), startSidecar(t, p.n, "b", 2)
	e, l := startEndpoint(p.n, "b:9", "i-b", false)
	p.endpoint = e
	p.b.closers = append(p.b.closers, l)
	p.b.inbound.UpdateEndpoint(admission.Endpoint{ID: "i-b", Service: "s", Slots: 3}, admission.Serving)
	p.a.outbound.UpdateEndpoints("s", []discovery.Endpoint{{ID: "i-b", Service: "s", SidecarAddress: "b:7", Zone: "z", State: discovery.Serving, Slots: 3}})
	return p
}

func (p *pair) close() {
	p.a.close()
	p.b.close()
	p.endpoint.close()
	time.Sleep(time.Second)
}

// connect opens a client's connection to sidecar a.
func (p *pair) connect() net.Conn {
	near, far := net.Pipe()
	p.n.listeners["a:8"].come <- far
	return near
}

// ask sends a request and returns the status of its answer.
func (p *pair) ask(t *testing.T, method, id string, left time.Duration) int {
	conn := p.connect()
	defer conn.Close()
	go fmt.Fprintf(conn, "%s /non_idempotent/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\n\r\n", method, id, left.Milliseconds())
	a, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, a.Body)
	qt.Assert(t, err, qt.IsNil)
	return a.StatusCode
}

func (p *pair) ran(id string) int {
	p.endpoint.mu.Lock()
	defer p.endpoint.mu.Unlock()
	return p.endpoint.runs[id]
}

// The kernel of a process that stands still takes connections: a call goes out only once the process itself has greeted, so what
// was meant for it has not run and is refused as such, and nothing begins when it wakes.
func TestNoCallGoesToAProcessThatStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := startPair(t)
		defer p.close()
		p.n.node("b").freeze(4 * time.Second)
		c.Assert(p.ask(t, "POST", "one", 2*time.Second), qt.Equals, 503)
		time.Sleep(5 * time.Second)
		c.Assert(p.ran("one"), qt.Equals, 0)
		c.Assert(p.ask(t, "POST", "two", 2*time.Second), qt.Equals, 200)
		c.Assert(p.ran("two"), qt.Equals, 1)
	})
}

// A process that stands still with calls in its buffers begins none of them when it wakes, if their time is up. The caller could
// not know, and promises nothing.
func TestAFrozenProcessBeginsNothingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := startPair(t)
		defer p.close()
		c.Assert(p.ask(t, "POST", "first", 2*time.Second), qt.Equals, 200)
		p.n.node("b").freeze(900 * time.Millisecond)
		c.Assert(p.ask(t, "POST", "late", 400*time.Millisecond), qt.Equals, 504)
		time.Sleep(5 * time.Second)
		c.Assert(p.ran("late"), qt.Equals, 0)
	})
}

// The answer to HEAD is taken without its body, also from an endpoint that sends one: those bytes are no other request's answer.
func TestHeadGoesThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		defer p.close()
		qt.Assert(t, p.ask(t, "HEAD", "head", 2*time.Second), qt.Equals, 200)
		qt.Assert(t, p.ask(t, "GET", "next", 2*time.Second), qt.Equals, 200)
	})
}

// A client that closes its sending half, or goes, gets what is known of its request, never an answer that nobody gave.
func TestAClientThatHasGoneGetsNoEmptySuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := startPair(t)
		defer p.close()
		p.n.node("b").freeze(2 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		q := httptest.NewRequestWithContext(ctx, "POST", "/non_idempotent/x", nil)
		q.Host = "h"
		q.Header.Set("Attempt-Id", "gone")
		w := httptest.NewRecorder()
		p.a.server.Handler.ServeHTTP(w, q)
		c.Assert(w.Code, qt.Equals, 503)
		time.Sleep(3 * time.Second)
		c.Assert(p.ran("gone"), qt.Equals, 0)
	})
}

// A process that is about to end takes a request if twice its target of 500 ms fits before the end. What it has taken, before or
// since, is answered by then.
func TestRequestsNearTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := startPair(t)
		defer p.close()
		c.Assert(p.ask(t, "POST", "served", 2*time.Second), qt.Equals, 200)
		p.n.node("b").freeze(5 * time.Second)
		before := make(chan int, 1)
		go func() { before <- p.ask(t, "POST", "taken before", 2*time.Second) }()
		synctest.Wait()
		end := p.a.hub.Now() + 1200*time.Millisecond
		p.a.outbound.ShutDownBy(end)
		held := make(chan int, 1)
		go func() { held <- p.ask(t, "POST", "held", 2*time.Second) }()
		time.Sleep(300 * time.Millisecond)
		asked := p.a.hub.Now()
		c.Assert(p.ask(t, "POST", "does not fit", 2*time.Second), qt.Equals, 503)
		c.Assert(p.a.hub.Now()-asked < 10*time.Millisecond, qt.IsTrue)
		c.Assert(<-held, qt.Equals, 504)
		c.Assert(<-before, qt.Equals, 504)
		c.Assert(p.a.hub.Now() <= end, qt.IsTrue, qt.Commentf("%v", p.a.hub.Now()))
		c.Assert(p.ask(t, "POST", "after", 2*time.Second), qt.Equals, 503)
		time.Sleep(6 * time.Second)
		c.Assert(p.ran("taken before")+p.ran("held")+p.ran("does not fit")+p.ran("after"), qt.Equals, 0)
	})
}

// Each end of an attempt, by each kind of request, through the proxies: how often the request is sent, and what its client is
// answered.
func TestEachEndOfAnAttemptByKindOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for kind := outcome.Answered; kind <= outcome.EndpointReset; kind++ {
			for _, route := range []string{"idempotent", "downlink", "non_idempotent"} {
				if !kind.Entry().EndsAttempt {
					continue
				}
				status := 200
				if kind == outcome.Answered {
					status = 500
				}
				sent, got := endOnce(t, kind, status, route)
				name := qt.Commentf("%s, %s", kind, route)
				switch next := kind.Next(status, route != "non_idempotent"); next {
				case outcome.Deliver:
					c.Check([]int{sent, got}, qt.DeepEquals, []int{1, 500}, name)
				case outcome.Retry, outcome.RetryIdempotent:
					c.Check([]int{sent, got}, qt.DeepEquals, []int{2, 200}, name)
				default:
					c.Check([]int{sent, got}, qt.DeepEquals, []int{1, kind.Entry().Status}, name)
				}
			}
		}
	})
}

// An endpoint's own failure is the answer to a request of which no later attempt is served: it is not hidden behind one of ours.
func TestAnEndpointsFailureIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, later := range []outcome.Kind{outcome.AtCapacity, outcome.ConnectionLost, outcome.TimedOut, outcome.InvalidResponse} {
			_, got := endAs(t, "idempotent", &inbound.ForwardResponse{Kind: outcome.Answered, Status: 500, ReachedEndpoint: true},
				&inbound.ForwardResponse{Kind: later, ReachedEndpoint: !later.NotExecuted()})
			qt.Check(t, got, qt.Equals, 500, qt.Commentf("%s", later))
		}
	})
}

// endOnce has the first attempt of a request end as given, and others be served; it returns how many there were, and the status that
// the client got.
func endOnce(t *testing.T, kind outcome.Kind, status int, route string) (sent, got int) {
	return endAs(t, route, &inbound.ForwardResponse{Kind: kind, Status: status, ReachedEndpoint: !kind.NotExecuted()},
		&inbound.ForwardResponse{Kind: outcome.Answered, Status: 200, ReachedEndpoint: true})
}

// endAs has the first attempt of a request end in one way, and others in another.
func endAs(t *testing.T, route string, first, others *inbound.ForwardResponse) (sent, got int) {
	n := newNetwork(1, false)
	a := startSidecar(t, n, "a", 1)
	far, stopFar := startFar(n)
	defer func() {
		a.close()
		stopFar()
		time.Sleep(time.Second)
	}()
	far.HandleRaw(inbound.MethodForward, func(call *transport.IncomingCall) {
		if sent++; sent == 1 {
			call.Reply(first)
			return
		}
		call.Reply(others)
	})
	var known []discovery.Endpoint
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		known = append(known, discovery.Endpoint{ID: id, Service: "s", SidecarAddress: "b:7", Zone: "z", State: discovery.Serving, Slots: 3})
	}
	a.outbound.UpdateEndpoints("s", known)
	p := &pair{n: n}
	conn := p.connect()
	defer conn.Close()
	go fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: x\r\nTime-Remaining: 1500\r\nContent-Length: 0\r\n\r\n", route)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	return sent, answer.StatusCode
}

// startFar starts the links of a sidecar b, whose methods the test declares.
func startFar(n *network) (far *transport.Hub, stop func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	far = transport.NewHub(transport.Hello{Incarnation: 2, Address: "b:7"}, time.Now(), 1<<20, log)
	links := n.listen("b:7")
	go far.Listen(links)
	return far, func() {
		far.Close()
		links.Close()
	}
}
