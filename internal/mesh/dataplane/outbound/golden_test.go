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
	"quincegap/internal/mesh/transport/membudget"
)

// goldenConfig has a route of each kind, a public one, one to a service without endpoints, and tenants.
const goldenConfig = `{"configVersion":"r1","routeTable":[
{"name":"read","hostName":"h","pathPrefix":"/read/","routeKind":"idempotent",
"timeout":"5000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":3,"publicAccess":false},
{"name":"book","hostName":"h","pathPrefix":"/book/","routeKind":"non_idempotent",
"timeout":"5000ms","target":"500ms","priority":2,"serviceName":"s","maxAttempts":3,"publicAccess":true},
{"name":"none","hostName":"h","pathPrefix":"/none/","routeKind":"downlink",
"timeout":"300ms","target":"100ms","priority":1,"serviceName":"nobody","maxAttempts":1,"publicAccess":true},
{"name":"slow","hostName":"h","pathPrefix":"/slow/","routeKind":"idempotent",
"timeout":"1000ms","target":"500ms","priority":1,"serviceName":"s","maxAttempts":1,"publicAccess":true}],
"serviceTable":[{"name":"s","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false},
{"name":"nobody","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}],
"limitSet":{"headerMaxBytes":2000,"bodyMaxBytes":100,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenantTable":[{"name":"north","accessKeys":["k","l"],"priority":3,"ratePerS":5,"burstSize":5},
{"name":"quick","accessKeys":["q"],"priority":0,"ratePerS":5,"burstSize":5},
{"name":"over","accessKeys":["o"],"priority":1,"ratePerS":5,"burstSize":5}]}`

// tooLargeBody is a body that is too large for goldenConfig. tooLargeChunk is the same body, encoded as one chunk.
var (
	tooLargeBody  = strings.Repeat("b", 101)
	tooLargeChunk = "65\r\n" + tooLargeBody + "\r\n0\r\n\r\n"
)

const endpointDate = "Mon, 01 Jan 2024 00:00:00 GMT" // Date header field of the endpoint's answers

// goldenSidecar is a sidecar with an endpoint of service s beside it. Its server listens on loopback.
type goldenSidecar struct {
	proxy    *Proxy
	address  string
	received chan string // bytes of each request that the endpoint has received
}

func startGolden(tb testing.TB, configure bool) *goldenSidecar {
	tb.Helper()
	config, err := configuration.Parse([]byte(goldenConfig))
	qt.Assert(tb, err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	sidecar := &goldenSidecar{received: make(chan string, 64)}
	hub := transport.NewHub(transport.Hello{Incarnation: 1, Address: "127.0.0.1:1"}, time.Now(), 1<<20, log)
	tb.Cleanup(hub.Close)
	endpointProxy := inbound.New(sidecar.startEndpoint(tb), hub.Now, log, nil)
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
	sidecar.proxy = New(Options{
		Hub: hub, Inbound: endpointProxy, Log: log, Service: "front", Seed: 1, BodyMemory: membudget.NewPool(250), AcquireQuota: acquireQuota,
		Bounds: settings.Bounds{RetryBudgetRatio: 1, RetryBudgetSlack: 10, RetryBudgetWindow: 10 * time.Second},
	})
	if configure {
		sidecar.proxy.Configure(config)
		sidecar.proxy.UpdateEndpoints("s", []discovery.Endpoint{
			{ID: "s-1", Service: "s", SidecarAddress: "127.0.0.1:1", Zone: "z", State: discovery.Serving, Slots: 8},
		})
		sidecar.proxy.UpdateEndpoints("nobody", nil)
	}
	sidecar.address = serve(tb, sidecar.proxy)
	return sidecar
}

// startEndpoint starts an endpoint that answers by the path of the request's URI, and records the requests.
func (g *goldenSidecar) startEndpoint(tb testing.TB) string {
	tb.Helper()
	l := listen(tb)
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
		g.received <- seen.String()
		_, _ = io.WriteString(conn, goldenEndpointAnswer(r)) // the proxy may have closed the connection
	}
}

// goldenEndpointAnswer returns the endpoint's answer to a request; an empty string if the endpoint does not answer.
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

// ask sends bytes on a new connection and returns the answer as text, with the header fields in alphabetical order.
func (g *goldenSidecar) ask(t *testing.T, method, raw string) string {
	t.Helper()
	conn := dial(t, g.address)
	_, _ = io.WriteString(conn, raw) // the server may answer and close the connection before it has read everything
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

// Fixes the answers to valid, invalid and rejected requests, each on a separate connection.
func TestGoldenAnswers(t *testing.T) {
	const id, key = "Attempt-Id: a-1\r\n", "Key: k\r\n"
	request := func(line, headers string) string { return line + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" }
	var text strings.Builder
	ready := startGolden(t, true)
	unready := startGolden(t, false)
	ending := startGolden(t, true)
	ending.proxy.RejectNewRequests()
	for _, test := range []struct {
		name    string
		sidecar *goldenSidecar
		raw     string
	}{
		{"served", ready, request("GET /read/x?y=1", id+key)},
		{"served by the second key, the same tenant", ready, request("GET /read/x", id+"Key: l\r\n")},
		{"served without a key on a public route", ready, request("POST /book/x", id+"Content-Length: 2\r\n") + "ab"},
		{"served in chunks", ready, request("POST /book/x", id+"Transfer-Encoding: chunked\r\n") + "2\r\nab\r\n0\r\n\r\n"},
		{"served, the client closes", ready, request("GET /book/x", id+"Connection: close\r\n")},
		{"HEAD", ready, request("HEAD /book/x", id)},
		{"no body", ready, request("GET /book/empty", id)},
		{"not modified", ready, request("GET /book/unchanged", id)},
		{"a failure of the endpoint", ready, request("POST /book/failure", id)},
		{"no answer of the endpoint", ready, request("GET /slow/silent", id)},
		{"no time left", ready, request("GET /book/x", id+"Time-Remaining: 0\r\n")},
		{"time that is no number", ready, request("GET /book/x", id+"Time-Remaining: soon\r\n")},
		{"no endpoint", ready, request("GET /none/x", id)},
		{"no configuration", unready, request("GET /read/x", id+key)},
		{"process ends", ending, request("GET /book/x", id+key)},
		{"no route: host", ready, "GET /read/x HTTP/1.1\r\nHost: other\r\n" + id + key + "\r\n"},
		{"no route: path", ready, request("GET /elsewhere", id+key)},
		{"no key for a call of a tenant", ready, request("GET /read/x", id)},
		{"key that nobody has", ready, request("GET /read/x", id+"Key: x\r\n")},
		{"two keys", ready, request("GET /read/x", id+key+key)},
		{"no id", ready, request("GET /read/x", key)},
		{"empty id", ready, request("GET /read/x", key+"Attempt-Id: \r\n")},
		{"two ids", ready, request("GET /read/x", key+id+id)},
		{"beyond the tenant's limit, a time to come back", ready, request("GET /read/x", id+"Key: o\r\n")},
		{"beyond the tenant's limit, no time to come back", ready, request("GET /read/x", id+"Key: q\r\n")},
		{"head too large for the configuration", ready, request("GET /read/x", id+key+"X: "+strings.Repeat("x", 2000)+"\r\n")},
		{"head too large to be read", ready, request("GET /read/x", id+key+"X: "+strings.Repeat("x", 300<<10)+"\r\n")},
		{"body too large by its length", ready, request("POST /book/x", id+"Content-Length: 101\r\n") + tooLargeBody},
		{"body too large as it comes", ready, request("POST /book/x", id+"Transfer-Encoding: chunked\r\n") + tooLargeChunk},
		{"body that is no chunk", ready, request("POST /book/x", id+"Transfer-Encoding: chunked\r\n") + "zz\r\n"},
		{"body that does not come", ready, request("POST /slow/x", id+"Content-Length: 2\r\n") + "a"},
		{"CONNECT", ready, "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n" + id + key + "\r\n"},
		{"OPTIONS *", ready, "OPTIONS * HTTP/1.1\r\nHost: h\r\n" + id + key + "\r\n"},
		{"absolute URI", ready, request("GET http://h/read/x", id+key)},
		{"no host", ready, "GET /read/x HTTP/1.1\r\n" + id + key + "\r\n"},
		{"a version that is none", ready, "GET /read/x HTTP/9\r\nHost: h\r\n\r\n"},
		{"no HTTP", ready, "hello\r\n\r\n"},
		{"bad header name", ready, request("GET /read/x", id+key+"a b: c\r\n")},
		{"two lengths", ready, request("POST /book/x", id+"Content-Length: 1\r\nContent-Length: 2\r\n") + "ab"},
		{"negative length", ready, request("POST /book/x", id+"Content-Length: -1\r\n")},
		{"length and chunks", ready, request("POST /book/x", id+"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n") + "2\r\nab\r\n0\r\n\r\n"},
		{"unknown coding", ready, request("POST /book/x", id+"Transfer-Encoding: gzip\r\n")},
		{"expects what nobody knows", ready, request("POST /book/x", id+"Expect: more\r\nContent-Length: 2\r\n") + "ab"},
	} {
		method, _, _ := strings.Cut(test.raw, " ")
		fmt.Fprintf(&text, "%s: %s", test.name, test.sidecar.ask(t, method, test.raw))
	}
	golden.Text(t, "answers.txt", []byte(text.String()))
}

// The total size of the bodies of all requests in flight is bounded: a request whose body would exceed the bound is rejected.
func TestGoldenBodyCapacity(t *testing.T) {
	sidecar := startGolden(t, true)
	sidecar.proxy.options.BodyMemory.Charge(249)
	answer := sidecar.ask(t, "POST", "POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nab")
	golden.Text(t, "no_room.txt", []byte(answer))
	qt.Check(t, sidecar.proxy.options.BodyMemory.Used(), qt.Equals, int64(249))
}

// Fixes the answer for each kind of outcome, with the table's Retry-After and with a longer one, before and during shutdown.
func TestGoldenAnswersByKind(t *testing.T) {
	answered := &inbound.ForwardResponse{
		Kind: outcome.Answered, Status: 201, Header: []string{"A", "1", "A", "2", "Content-Type", "x/y", "Server", "s"},
		Body: codec.Buffers{[]byte("body")},
	}
	var text strings.Builder
	for _, ending := range []bool{false, true} {
		proxy := startGolden(t, true).proxy
		proxy.shutdown.rejecting.Store(ending)
		for _, minRetryAfter := range []time.Duration{0, 700 * time.Millisecond} {
			for kind := outcome.Answered; kind <= outcome.EndpointReset; kind++ {
				recorder := httptest.NewRecorder()
				proxy.writeAnswer(recorder, result{kind: kind, response: answered, retryAfter: minRetryAfter})
				fmt.Fprintf(&text, "%s, back %v, ending %t: %s", kind, minRetryAfter, ending,
					formatAnswer(recorder.Result().Status, recorder.Header(), recorder.Body.Bytes()))
			}
		}
	}
	golden.Text(t, "answers_by_kind.txt", []byte(text.String()))
}

// Fixes the requests that the endpoint receives: they have the client's header fields, except for hop-by-hop fields and those that only the
// mesh sets.
func TestGoldenForwardedRequests(t *testing.T) {
	sidecar := startGolden(t, true)
	var text strings.Builder
	for _, raw := range []string{
		"GET /read/x?y=%20&z HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\nKey: k\r\nAccept: a\r\nAccept: b\r\nUser-Agent: u\r\n" +
			"Connection: keep-alive, x-hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTe: trailers\r\nUpgrade: h2c\r\nProxy-Connection: x\r\n" +
			"Time-Remaining: 800\r\nTarget-Endpoint: e\r\nSubscriber-Id: forged\r\nCalling-Service: forged\r\nBase-Version: r1\r\n" +
			"Not-Executed: 1\r\nEndpoint-Seal: kept\r\n\r\n",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-2\r\nContent-Length: 0\r\nContent-Type: text/plain\r\n\r\n",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	} {
		sidecar.ask(t, "GET", raw)
		lines := strings.Split(<-sidecar.received, "\r\n")
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

// Fixes a request's deadlines, by its route's latency target, whether it is a nested call, and the client's Time-Remaining.
func TestGoldenTimes(t *testing.T) {
	var text strings.Builder
	for _, target := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
		for _, nested := range []bool{false, true} {
			for _, remaining := range []string{"", "0", "1", "1500", "1999.5", "3000", "-1", "1e9", "x", "NaN"} {
				pending := &request{route: &configuration.Route{Timeout: 2 * time.Second, Target: target}}
				pending.forward.Nested = nested
				pending.setTimes(10*time.Second, remaining)
				fmt.Fprintf(&text, "target %v, inner %t, remaining %q: aim %v, deadline %v\n",
					target, nested, remaining, pending.targetDeadline, pending.deadline)
			}
		}
	}
	golden.Text(t, "times.txt", []byte(text.String()))
}

// Fixes the number of the balancer's status for each outcome, and the response to an attempt for each reply or error of the call to the
// endpoint's sidecar.
func TestGoldenStatuses(t *testing.T) {
	var text strings.Builder
	for kind := outcome.Kind(0); kind <= outcome.EndpointReset+1; kind++ {
		for _, code := range []int{0, 200, 404, 500} {
			response := &inbound.ForwardResponse{Kind: kind, Status: code}
			fmt.Fprintf(&text, "%s %d: %d, withdrawn: %d\n", kind, code, balancerStatus(response, false), balancerStatus(response, true))
		}
	}
	for _, test := range []struct {
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
		response := parseResponse(codec.BuffersOf(test.body), test.err)
		fmt.Fprintf(&text, "%s: %s, status %d, arrived %t, work %v, slots %d, running %d, waiting %d\n",
			test.name, response.Kind, response.Status, response.ReachedEndpoint, response.ServiceTime,
			response.Slots, response.Running, response.Waiting)
	}
	golden.Text(t, "statuses.txt", []byte(text.String()))
}
