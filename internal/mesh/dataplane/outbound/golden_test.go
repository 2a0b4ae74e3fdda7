package outbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/inbound"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// goldenConfig has a route of each kind, a public one, one to a service without endpoints, and tenants.
const goldenConfig = `{"configVersion":"r1","routeTable":[
{"name":"read","hostName":"h","pathPrefix":"/read/","routeKind":"idempotent","timeout":"5000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":3,"publicAccess":false},
{"name":"book","hostName":"h","pathPrefix":"/book/","routeKind":"non_idempotent","timeout":"5000ms","target":"500ms","priority":2,"serviceName":"s","maxAttempts":3,"publicAccess":true},
{"name":"none","hostName":"h","pathPrefix":"/none/","routeKind":"downlink","timeout":"300ms","target":"100ms","priority":1,"serviceName":"nobody","maxAttempts":1,"publicAccess":true},
{"name":"slow","hostName":"h","pathPrefix":"/slow/","routeKind":"idempotent","timeout":"1000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":1,"publicAccess":true}],
"serviceTable":[{"name":"s","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false},
{"name":"nobody","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}],
"limitSet":{"headerMaxBytes":2000,"bodyMaxBytes":100,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenantTable":[{"name":"north","accessKeys":["k","l"],"priority":3,"ratePerS":5,"burstSize":5},
{"name":"quick","accessKeys":["q"],"priority":0,"ratePerS":5,"burstSize":5},
{"name":"over","accessKeys":["o"],"priority":1,"ratePerS":5,"burstSize":5}]}`

const endpointDate = "Mon, 01 Jan 2024 00:00:00 GMT" // of the endpoint's answers

// goldenSidecar is a sidecar with an endpoint of service s beside it; its server listens on loopback.
type goldenSidecar struct {
	proxy   *Proxy
	address string
	came    chan string // the requests that reach the endpoint, as they came
}

func startGolden(t *testing.T, configure bool) *goldenSidecar {
	t.Helper()
	config, err := configuration.Parse([]byte(goldenConfig))
	qt.Assert(t, err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &goldenSidecar{came: make(chan string, 64)}
	hub := transport.NewHub(transport.Hello{Incarnation: 1, Address: "127.0.0.1:1"}, time.Now(), 1<<20, log)
	t.Cleanup(hub.Close)
	endpointProxy := inbound.New(s.startEndpoint(t), hub.Now, log, nil)
	endpointProxy.UpdateEndpoint(admission.Endpoint{ID: "s-1", Service: "s", Slots: 8}, admission.Serving)
	acquireQuota := func(tenant *configuration.Tenant, done func(ok bool, retryAfter time.Duration)) {
		switch tenant.Name {
		case "over":
			done(false, 1234567*time.Microsecond)
		case "quick":
			done(false, 0)
		default:
			done(true, 0)
		}
	}
	s.proxy = New(Options{
		Hub: hub, Inbound: endpointProxy, Log: log, Service: "front", Seed: 1, MaxBodyBytes: 250, AcquireQuota: acquireQuota,
		Bounds: settings.Bounds{RetryBudgetRatio: 1, RetryBudgetSlack: 10, RetryBudgetWindow: 10 * time.Second},
	})
	if configure {
		s.proxy.Configure(config)
		s.proxy.UpdateEndpoints("s", []discovery.Endpoint{
			{ID: "s-1", Service: "s", SidecarAddress: "127.0.0.1:1", Zone: "z", State: discovery.Serving, Slots: 8},
		})
		s.proxy.UpdateEndpoints("nobody", nil)
	}
	s.address = serve(t, s.proxy)
	return s
}

// startEndpoint starts an endpoint that answers by the path of the request's URI, and remembers what came.
func (g *goldenSidecar) startEndpoint(t *testing.T) string {
	t.Helper()
	l := listen(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go g.serveEndpoint(conn)
		}
	}()
	return l.Addr().String()
}

func (g *goldenSidecar) serveEndpoint(conn net.Conn) {
	defer closeQuietly(conn)
	var seen strings.Builder
	reader := bufio.NewReader(io.TeeReader(conn, &seen))
	for {
		seen.Reset()
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		g.came <- seen.String()
		_, _ = io.WriteString(conn, goldenEndpointAnswer(r)) // the proxy may have closed the connection
	}
}

// goldenEndpointAnswer returns the endpoint's answer to a request; empty for none.
func goldenEndpointAnswer(r *http.Request) string {
	id := r.Header.Get(inbound.HeaderAttemptID)
	_, last, _ := strings.Cut(r.URL.Path[1:], "/")
	switch last {
	case "silent":
		return ""
	case "failure":
		return fmt.Sprintf("HTTP/1.1 500 Oops\r\nAttempt-Id: %s\r\nX-Why: broken\r\nContent-Length: 4\r\n\r\noops", id)
	case "empty":
		return fmt.Sprintf("HTTP/1.1 204 No Content\r\nAttempt-Id: %s\r\nEndpoint-Seal: s.%s\r\n\r\n", id, id)
	case "unchanged":
		return fmt.Sprintf("HTTP/1.1 304 Not Modified\r\nAttempt-Id: %s\r\nEtag: x\r\n\r\n", id)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEndpoint-Seal: s.%s\r\nDate: "+endpointDate+"\r\n"+
		"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nKeep-Alive: timeout=3\r\nContent-Length: 4\r\n\r\n", id, id)
	if r.Method == http.MethodHead {
		return head
	}
	return head + "body"
}

// ask sends bytes on a connection of its own and returns the answer, its header fields in alphabetical order.
func (g *goldenSidecar) ask(t *testing.T, method, raw string) string {
	t.Helper()
	conn := dial(t, g.address)
	_, _ = io.WriteString(conn, raw) // the server may answer, and close, before it has read all
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return "no answer: " + err.Error() + "\n"
	}
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	return formatAnswer(resp.Status, resp.Header, body) + fmt.Sprintf("  closes: %t\n", resp.Close)
}

func formatAnswer(status string, header http.Header, body []byte) string {
	var lines []string
	for name, values := range header {
		for _, value := range values {
			if name == "Date" && value != endpointDate {
				value = "(now)"
			}
			lines = append(lines, "  "+name+": "+value+"\n")
		}
	}
	slices.Sort(lines)
	return status + "\n" + strings.Join(lines, "") + fmt.Sprintf("  body: %q\n", body)
}

// The answers of the front to good and bad input, and to what it rejects, on connections of their own.
func TestGoldenAnswers(t *testing.T) {
	const id, key = "Attempt-Id: a-1\r\n", "Key: k\r\n"
	request := func(line, headers string) string { return line + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" }
	var text strings.Builder
	s := startGolden(t, true)
	unready := startGolden(t, false)
	ending := startGolden(t, true)
	ending.proxy.RejectNewRequests()
	for _, x := range []struct {
		name    string
		sidecar *goldenSidecar
		raw     string
	}{
		{"served", s, request("GET /read/x?y=1", id+key)},
		{"served by the second key, the same tenant", s, request("GET /read/x", id+"Key: l\r\n")},
		{"served without a key on a public route", s, request("POST /book/x", id+"Content-Length: 2\r\n") + "ab"},
		{"served in chunks", s, request("POST /book/x", id+"Transfer-Encoding: chunked\r\n") + "2\r\nab\r\n0\r\n\r\n"},
		{"served, the client closes", s, request("GET /book/x", id+"Connection: close\r\n")},
		{"HEAD", s, request("HEAD /book/x", id)},
		{"no body", s, request("GET /book/empty", id)},
		{"not modified", s, request("GET /book/unchanged", id)},
		{"a failure of the endpoint", s, request("POST /book/failure", id)},
		{"no answer of the endpoint", s, request("GET /slow/silent", id)},
		{"no time left", s, request("GET /book/x", id+"Time-Remaining: 0\r\n")},
		{"time that is no number", s, request("GET /book/x", id+"Time-Remaining: soon\r\n")},
		{"no endpoint", s, request("GET /none/x", id)},
		{"no configuration", unready, request("GET /read/x", id+key)},
		{"process ends", ending, request("GET /book/x", id+key)},
		{"no route: host", s, "GET /read/x HTTP/1.1\r\nHost: other\r\n" + id + key + "\r\n"},
		{"no route: path", s, request("GET /elsewhere", id+key)},
		{"no key for a call of a tenant", s, request("GET /read/x", id)},
		{"key that nobody has", s, request("GET /read/x", id+"Key: x\r\n")},
		{"two keys", s, request("GET /read/x", id+key+key)},
		{"no id", s, request("GET /read/x", key)},
		{"empty id", s, request("GET /read/x", key+"Attempt-Id: \r\n")},
		{"two ids", s, request("GET /read/x", key+id+id)},
		{"beyond the tenant's limit, a time to come back", s, request("GET /read/x", id+"Key: o\r\n")},
		{"beyond the tenant's limit, no time to come back", s, request("GET /read/x", id+"Key: q\r\n")},
		{"head too large for the configuration", s, request("GET /read/x", id+key+"X: "+strings.Repeat("x", 2000)+"\r\n")},
		{"head too large to be read", s, request("GET /read/x", id+key+"X: "+strings.Repeat("x", 300<<10)+"\r\n")},
		{"body too large by its length", s, request("POST /book/x", id+"Content-Length: 101\r\n") + strings.Repeat("b", 101)},
		{"body too large as it comes", s, request("POST /book/x", id+"Transfer-Encoding: chunked\r\n") + "65\r\n" + strings.Repeat("b", 101) + "\r\n0\r\n\r\n"},
		{"body that is no chunk", s, request("POST /book/x", id+"Transfer-Encoding: chunked\r\n") + "zz\r\n"},
		{"body that does not come", s, request("POST /slow/x", id+"Content-Length: 2\r\n") + "a"},
		{"CONNECT", s, "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n" + id + key + "\r\n"},
		{"OPTIONS *", s, "OPTIONS * HTTP/1.1\r\nHost: h\r\n" + id + key + "\r\n"},
		{"absolute URI", s, request("GET http://h/read/x", id+key)},
		{"no host", s, "GET /read/x HTTP/1.1\r\n" + id + key + "\r\n"},
		{"a version that is none", s, "GET /read/x HTTP/9\r\nHost: h\r\n\r\n"},
		{"no HTTP", s, "hello\r\n\r\n"},
		{"bad header name", s, request("GET /read/x", id+key+"a b: c\r\n")},
		{"two lengths", s, request("POST /book/x", id+"Content-Length: 1\r\nContent-Length: 2\r\n") + "ab"},
		{"negative length", s, request("POST /book/x", id+"Content-Length: -1\r\n")},
		{"length and chunks", s, request("POST /book/x", id+"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n") + "2\r\nab\r\n0\r\n\r\n"},
		{"unknown coding", s, request("POST /book/x", id+"Transfer-Encoding: gzip\r\n")},
		{"expects what nobody knows", s, request("POST /book/x", id+"Expect: more\r\nContent-Length: 2\r\n") + "ab"},
	} {
		method, _, _ := strings.Cut(x.raw, " ")
		fmt.Fprintf(&text, "%s: %s", x.name, x.sidecar.ask(t, method, x.raw))
	}
	golden.Text(t, "answers.txt", []byte(text.String()))
}

// Bodies of requests have a bound all together: what is beyond it is rejected.
func TestGoldenNoRoomForABody(t *testing.T) {
	s := startGolden(t, true)
	s.proxy.bodyBytes.Add(249)
	answer := s.ask(t, "POST", "POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nab")
	golden.Text(t, "no_room.txt", []byte(answer))
	qt.Check(t, s.proxy.bodyBytes.Load(), qt.Equals, int64(249))
}

// The answer that each kind of outcome maps to, with no time to come back but the table's, and with another one.
func TestGoldenAnswersByKind(t *testing.T) {
	answered := &inbound.ForwardResponse{
		Kind: outcome.Answered, Status: 201, Header: []string{"A", "1", "A", "2", "Content-Type", "x/y", "Server", "s"},
		Body: []byte("body"),
	}
	var text strings.Builder
	for _, ending := range []bool{false, true} {
		proxy := startGolden(t, true).proxy
		proxy.shutdown.rejecting.Store(ending)
		for _, back := range []time.Duration{0, 700 * time.Millisecond} {
			for kind := outcome.Answered; kind <= outcome.EndpointReset; kind++ {
				w := httptest.NewRecorder()
				proxy.writeAnswer(w, result{kind: kind, response: answered, retryAfter: back})
				fmt.Fprintf(&text, "%s, back %v, ending %t: %s", kind, back, ending, formatAnswer(w.Result().Status, w.Header(), w.Body.Bytes()))
			}
		}
	}
	golden.Text(t, "answers_by_kind.txt", []byte(text.String()))
}

// What a request is when it reaches its endpoint: the client's header fields without those of its connection and those that the
// system alone sets.
func TestGoldenForwardedRequests(t *testing.T) {
	s := startGolden(t, true)
	var text strings.Builder
	for _, raw := range []string{
		"GET /read/x?y=%20&z HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\nKey: k\r\nAccept: a\r\nAccept: b\r\nUser-Agent: u\r\n" +
			"Connection: keep-alive, x-hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTe: trailers\r\nUpgrade: h2c\r\nProxy-Connection: x\r\n" +
			"Time-Remaining: 800\r\nTarget-Endpoint: e\r\nSubscriber-Id: forged\r\nCalling-Service: forged\r\nBase-Version: r1\r\n" +
			"Not-Executed: 1\r\nEndpoint-Seal: kept\r\n\r\n",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-2\r\nContent-Length: 0\r\nContent-Type: text/plain\r\n\r\n",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	} {
		s.ask(t, "GET", raw)
		lines := strings.Split(<-s.came, "\r\n")
		head := lines[1 : len(lines)-2]
		for i, line := range head {
			if name, _, _ := strings.Cut(line, ":"); name == "Time-Remaining" {
				head[i] = name + ": (milliseconds)"
			}
		}
		slices.Sort(head)
		fmt.Fprintf(&text, "%s\n  %s\n  body: %q\n", lines[0], strings.Join(head, "\n  "), lines[len(lines)-1])
	}
	golden.Text(t, "forwarded.txt", []byte(text.String()))
}

// A request's class, priority and times by its route, its tenant and what the client has left.
func TestGoldenTimes(t *testing.T) {
	var text strings.Builder
	for _, target := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
		for _, inner := range []bool{false, true} {
			for _, remaining := range []string{"", "0", "1", "1500", "1999.5", "3000", "-1", "1e9", "x", "NaN"} {
				r := &request{route: &configuration.Route{Timeout: 2 * time.Second, Target: target}}
				r.forward.Nested = inner
				r.setTimes(10*time.Second, remaining)
				fmt.Fprintf(&text, "target %v, inner %t, remaining %q: aim %v, deadline %v\n", target, inner, remaining, r.targetDeadline, r.deadline)
			}
		}
	}
	golden.Text(t, "times.txt", []byte(text.String()))
}

// What the decision module hears of each outcome, by the numbers of its statuses, and what the end of a call to another sidecar
// says of an attempt.
func TestGoldenStatuses(t *testing.T) {
	var text strings.Builder
	for kind := outcome.Kind(0); kind <= outcome.EndpointReset+1; kind++ {
		for _, code := range []int{0, 200, 404, 500} {
			o := &inbound.ForwardResponse{Kind: kind, Status: code}
			fmt.Fprintf(&text, "%s %d: %d, withdrawn: %d\n", kind, code, balancerStatus(o, false), balancerStatus(o, true))
		}
	}
	for _, x := range []struct {
		name string
		body []byte
		err  error
	}{
		{"nothing", nil, nil},
		{"no message", []byte{0xff}, nil},
		{"no kind", codec.MarshalAppend(nil, &inbound.ForwardResponse{Status: 200}), nil},
		{"end of no attempt", codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.Unauthorized}), nil},
		{"unknown kind", codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: 99, ServiceTime: 5}), nil},
		{"answered 199", codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.Answered, Status: 199}), nil},
		{"answered 999", codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.Answered, Status: 999}), nil},
		{"answered 1000", codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.Answered, Status: 1000}), nil},
		{"full", codec.MarshalAppend(nil, &inbound.ForwardResponse{Kind: outcome.AtCapacity, Slots: 4, Running: 4, Waiting: 9}), nil},
		{"lost, sent", nil, &transport.ConnectionError{Sent: true}},
		{"lost, wrapped", nil, fmt.Errorf("wrapped: %w", &transport.ConnectionError{})},
		{"another error", nil, errors.New("x")},
	} {
		o := parseResponse(x.body, x.err)
		fmt.Fprintf(&text, "%s: %s, status %d, arrived %t, work %v, slots %d, running %d, waiting %d\n", x.name, o.Kind, o.Status, o.ReachedEndpoint,
			o.ServiceTime, o.Slots, o.Running, o.Waiting)
	}
	golden.Text(t, "statuses.txt", []byte(text.String()))
}
