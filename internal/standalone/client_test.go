package standalone

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// readiness returns the status of the answer to a readiness request; 0 for no answer.
func (s *testSidecar) readiness() int {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, s.url+"/ready", nil)
	if err != nil {
		s.t.Error(err)
		return 0
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer closeQuietly(res.Body)
	return res.StatusCode
}

// request returns a request of a class, as a caller sends it that waits for timeLeft.
func (s *testSidecar) request(class string, timeLeft time.Duration) *http.Request {
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	_, base := s.client()
	req, err := http.NewRequestWithContext(s.t.Context(), method, base+"/api?x=1&y=%2F", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	if method == http.MethodPost {
		req.Body = io.NopCloser(strings.NewReader("trip"))
		req.ContentLength = 4
	}
	req.Header.Set("X-Txn", fmt.Sprintf("txn%d", s.txn.Add(1)))
	req.Header.Set("X-Lane", class)
	req.Header.Set("X-Remaining", fmt.Sprintf("%dm", timeLeft.Milliseconds()))
	if class == "book" {
		req.Header.Set("Idempotency-Key", "k1")
	}
	return req
}

// reply is an answer whose body was read to its end.
type reply struct {
	status int
	header http.Header
	close  bool // the answer announces that the connection will be closed after it
	body   string
}

// readReply reads an answer to its end and closes its body. With an error the reply has what was read.
func readReply(res *http.Response) (*reply, error) {
	defer closeQuietly(res.Body)
	body, err := io.ReadAll(res.Body)
	return &reply{status: res.StatusCode, header: res.Header, close: res.Close, body: string(body)}, err
}

// roundTrip sends a request over the protocol that the test runs with. With an error the reply is nil, or has what was read of the
// answer.
func (s *testSidecar) roundTrip(r *http.Request) (*reply, error) {
	c, _ := s.client()
	res, err := c.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer closeQuietly(res.Body)
	return readReply(res)
}

// mustRoundTrip sends a request and returns its answer. An error fails the test.
func (s *testSidecar) mustRoundTrip(r *http.Request) *reply {
	s.t.Helper()
	got, err := s.roundTrip(r)
	if err != nil {
		s.t.Fatal(err)
	}
	return got
}

// call sends a request and returns the status and the body of its answer. An error fails the test.
func (s *testSidecar) call(r *http.Request) (int, string) {
	s.t.Helper()
	got := s.mustRoundTrip(r)
	return got.status, got.body
}

// clientConn is a caller's connection over HTTP/1.1.
type clientConn struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

// Read reads the bytes that follow the last reply.
func (c *clientConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// dial opens a connection to the sidecar, which is closed at the end of the test.
func (s *testSidecar) dial() *clientConn {
	s.t.Helper()
	var dialer net.Dialer
	dialed, err := dialer.DialContext(s.t.Context(), "tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	c := &clientConn{dialed.(*net.TCPConn), bufio.NewReader(dialed), s.t}
	s.t.Cleanup(func() { closeQuietly(c) })
	c.extendDeadline()
	return c
}

// extendDeadline sets the deadline of the connection to eventTimeout from now.
func (c *clientConn) extendDeadline() {
	c.t.Helper()
	if err := c.SetDeadline(time.Now().Add(eventTimeout)); err != nil {
		c.t.Error(err)
	}
}

// nextReply reads the next answer. With an error the reply is nil, or has what was read of the answer.
func (c *clientConn) nextReply() (*reply, error) {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer closeQuietly(res.Body)
	return readReply(res)
}

// writeRequest writes a request without reading its answer. An error fails the test.
func (c *clientConn) writeRequest(r *http.Request) {
	c.t.Helper()
	if err := r.Write(c); err != nil {
		c.t.Error(err)
	}
}

// send writes a request to a connection that may have been closed, and returns the answer; nil for none.
func (c *clientConn) send(r *http.Request) *reply {
	c.t.Helper()
	c.extendDeadline()
	if err := r.Write(c); err != nil {
		return nil
	}
	got, err := c.nextReply()
	if err != nil {
		return nil
	}
	return got
}

// sendRaw sends a text on a new connection, and returns the status of the answer; 0 if there is none.
func (s *testSidecar) sendRaw(text string) (status int, c *clientConn) {
	s.t.Helper()
	c = s.dial()
	_, _ = io.WriteString(c, text) // an error is expected if the sidecar has already closed the connection
	got, _ := c.nextReply()        // the reply has the status even if the body is incomplete
	if got == nil {
		return 0, c
	}
	return got.status, c
}

// connectIdle opens n connections and returns them idle, after one answer on each. No other connections to the front are open then.
func (s *testSidecar) connectIdle(n int) (connections []*clientConn) {
	s.t.Helper()
	for range n {
		_, c := s.sendRaw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		connections = append(connections, c)
	}
	s.waitUntil("only the new connections are open, and they are idle", func() bool {
		http.DefaultClient.CloseIdleConnections()
		open, idle, _, _ := s.http1Front().Counts()
		return idle == n && open == n
	})
	return connections
}

// closeQuietly closes c and ignores the error, which does not matter to the test.
func closeQuietly(c io.Closer) { _ = c.Close() }
