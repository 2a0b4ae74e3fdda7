package outbound

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fuzzedRequestTimeout is the longest time that a client of FuzzRequests waits for its answers; longer than all routes' timeouts together
// with the time for a header.
const fuzzedRequestTimeout = 20 * time.Second

// goodRequest is a request that the golden endpoint answers with 200.
const goodRequest = "GET /read/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nAttempt-Id: good\r\nConnection: close\r\n\r\n"

// FuzzRequests sends any bytes as requests. What is answered is HTTP, all memory is released when the client has gone, and the next client is
// served.
func FuzzRequests(f *testing.F) {
	sidecar := startGolden(f, true)
	go func() {
		for range sidecar.received { // the requests are not compared
		}
	}()
	for _, request := range []string{
		goodRequest, goodRequest[:60],
		strings.ReplaceAll(goodRequest, "close", "keep-alive") + goodRequest,
		"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nContent-Length: 4\r\n\r\nbody",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nContent-Length: 50\r\nExpect: 100-continue\r\n\r\nless",
		"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n" + tooLargeChunk,
		"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: r\r\n\r\n",
		"GET /none/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: n\r\nTime-Remaining: 1e300\r\n\r\n",
		"GET * HTTP/1.1\r\nHost: h\r\n\r\n", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET /read/x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 3000) + "\r\n\r\n",
	} {
		f.Add([]byte(request))
	}
	f.Fuzz(func(t *testing.T, request []byte) {
		answers := sidecar.exchange(t, request, true)
		if len(answers) > 0 && !bytes.HasPrefix(answers, []byte("HTTP/1.")) {
			t.Fatalf("the answer %q is not HTTP/1", answers)
		}
		sidecar.awaitReleased(t)
		if answer := sidecar.exchange(t, []byte(goodRequest), false); !bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) {
			t.Fatalf("the next client is answered %q", answer)
		}
	})
}

// exchange sends bytes on a connection of their own, and returns all that is answered until the connection ends. If halfClose is set, the
// client then closes its sending half, for which the server takes it as gone.
func (g *goldenSidecar) exchange(t *testing.T, request []byte, halfClose bool) []byte {
	t.Helper()
	conn, err := net.DialTimeout("tcp4", g.address, fuzzedRequestTimeout) //nolint:noctx // on loopback
	qt.Assert(t, err, qt.IsNil)
	defer closeQuietly(conn)
	qt.Assert(t, conn.SetDeadline(time.Now().Add(fuzzedRequestTimeout)), qt.IsNil)
	if _, err := conn.Write(request); err == nil && halfClose {
		_ = conn.(*net.TCPConn).CloseWrite() // fails if the server has closed the connection
	}
	answers, err := io.ReadAll(conn)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() { //nolint:errorlint // the connection's own error
		t.Fatalf("the connection is open after %v", fuzzedRequestTimeout)
	}
	return answers
}

// awaitReleased waits until no request is open and no memory for bodies is reserved.
func (g *goldenSidecar) awaitReleased(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(fuzzedRequestTimeout); ; time.Sleep(time.Millisecond) {
		open, bytes := g.proxy.openRequests.Load(), g.proxy.options.BodyMemory.Used()
		if open == 0 && bytes == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d requests are open and %d bytes are reserved after %v", open, bytes, fuzzedRequestTimeout)
		}
	}
}
