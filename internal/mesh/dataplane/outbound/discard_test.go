package outbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
)

// answer is the part of an answer that these tests check.
type answer struct {
	status     int
	retryAfter string
}

// postUnready sends a request with a body to a proxy that rejects all requests, as it has no configuration.
func postUnready(t *testing.T, headers string, bytes int, send func(conn net.Conn, body []byte)) answer {
	t.Helper()
	return post(t, New(Options{}), headers, bytes, send)
}

// post sends a request to a proxy on a new connection, calls send to write the body, and then reads the answer.
func post(t *testing.T, proxy *Proxy, headers string, bytes int, send func(conn net.Conn, body []byte)) answer {
	t.Helper()
	address := serve(t, proxy)
	conn := dial(t, address)
	qt.Assert(t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", bytes, headers)
	qt.Assert(t, err, qt.IsNil)
	send(conn, make([]byte, bytes))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("reading the answer to a request with headers %q, body of %d bytes", headers, bytes))
	_, err = io.Copy(io.Discard, response.Body)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("reading the body of the answer to a request with headers %q, body of %d bytes", headers, bytes))
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	return answer{status: response.StatusCode, retryAfter: response.Header.Get(headerRetryAfter)}
}

// A request is rejected long before the client has sent its whole body, and the client reads the answer only after that. The client must
// be able to send the body and read the answer, although the connection is closed after the answer: many clients fail if they can't
// write, and a reset may discard an answer that was not read yet.
func TestARejectionOutlivesTheCloseOfItsConnection(t *testing.T) {
	for _, headers := range []string{"", "Connection: close\r\n"} {
		for _, bytes := range []int{1, 5_000, 100_000, 900_000} {
			got := postUnready(t, headers, bytes, func(conn net.Conn, body []byte) {
				const parts = 4
				for i := range parts {
					_, err := conn.Write(body[i*bytes/parts : (i+1)*bytes/parts])
					qt.Check(t, err, qt.IsNil, qt.Commentf("request headers %q: writing part %d of a body of %d bytes", headers, i, bytes))
					time.Sleep(20 * time.Millisecond) // the request is answered meanwhile
				}
			})
			comment := qt.Commentf("answer to a request with headers %q, body of %d bytes", headers, bytes)
			qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable, comment)
			qt.Check(t, got.retryAfter, qt.Not(qt.Equals), "", comment)
		}
	}
}

// A rejected request is answered at once, however long the client takes to send its body.
func TestARejectionDoesNotWaitForTheBody(t *testing.T) {
	began := time.Now()
	got := postUnready(t, "", 100_000, func(conn net.Conn, body []byte) { _, _ = conn.Write(body[:10]) })
	qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, time.Since(began) < discardTimeout/2, qt.IsTrue,
		qt.Commentf("answered after %v, want less than %v", time.Since(began), discardTimeout/2))
}

// A process shuts down while it is receiving a body: the request is answered in time, with a Retry-After.
func TestARequestWhoseBodyIsStillComingIsAnsweredAtTheEnd(t *testing.T) {
	config, err := configuration.Parse([]byte(`{"configVersion":"r1","routeTable":[
		{"name":"x","hostName":"h","pathPrefix":"/","routeKind":"non_idempotent","timeout":"9000ms",
		"target":"500ms","priority":1,"serviceName":"s","maxAttempts":1,"publicAccess":true}],
		"serviceTable":[{"name":"s","healthPath":"/health","connectionCap":100,"protocol":"h1","tlsMode":false}],
		"limitSet":{"headerMaxBytes":16384,"bodyMaxBytes":1000000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`))
	qt.Assert(t, err, qt.IsNil)
	proxy := newIdleProxy(t)
	proxy.Configure(config)
	began := time.Now()
	got := post(t, proxy, "Attempt-Id: a\r\n", 100_000, func(conn net.Conn, body []byte) {
		_, _ = conn.Write(body[:10])
		for len(proxy.bodyReads.reading()) == 0 {
			time.Sleep(time.Millisecond)
		}
		proxy.ShutDownBy(proxy.Now() + 200*time.Millisecond)
	})
	qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, got.retryAfter, qt.Not(qt.Equals), "")
	qt.Check(t, time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("answered after %v, want less than 2s", time.Since(began)))
}

// reading returns the controllers of the bodies that are being read.
func (b *bodyReads) reading() (list []*http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for controller := range b.open {
		list = append(list, controller)
	}
	return list
}
