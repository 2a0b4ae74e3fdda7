package inbound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/dataplane/admission"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/mesh/transport/membudget"
)

// startRawEndpoint starts a proxy whose endpoint is handle, which is called once for each connection.
func startRawEndpoint(t *testing.T, handle func(conn net.Conn)) *Proxy {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, listener.Close(), qt.IsNil) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := time.Now()
	proxy := New(listener.Addr().String(), func() time.Duration { return time.Since(start) }, log, nil)
	proxy.UpdateEndpoint(admission.Endpoint{ID: "s-1", Service: "s", Slots: 8}, admission.Serving)
	return proxy
}

// Headers of answers were not bounded: an endpoint that sends one without an end took its sidecar over its memory.
func TestAnswerHeadersAreBounded(t *testing.T) {
	for name, part := range map[string]string{"one field": strings.Repeat("a", 4096), "many fields": "X-Field: value\r\n"} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			proxy := startRawEndpoint(t, func(conn net.Conn) {
				defer conn.Close() //nolint:errcheck // the proxy may have closed the connection
				n, _ := io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nX-Endless: ")
				for n < 64<<20 {
					m, err := io.WriteString(conn, part)
					n += m
					if err != nil {
						break
					}
				}
				sent <- n
			})
			response, release := forwardLarge(proxy, 20*time.Second)
			release()
			qt.Assert(t, response.Kind, qt.Equals, outcome.InvalidResponse)
			const socketBuffers = 16 << 20 // generous: what the endpoint has sent and the proxy has not read
			n := <-sent
			qt.Assert(t, n < maxAnswerHeaderBytes+socketBuffers, qt.IsTrue, qt.Commentf("the endpoint has sent %d bytes", n))
		})
	}
}

// A header within the bound is served, on a connection that has carried more bytes than the bound before.
func TestAnswerHeaderBoundIsForOneHeader(t *testing.T) {
	large := strings.Repeat("v", maxAnswerHeaderBytes*3/4)
	var served int
	proxy := startRawEndpoint(t, func(conn net.Conn) {
		defer conn.Close() //nolint:errcheck // the proxy may have closed the connection
		buffer := make([]byte, 4096)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			served++
			answer := "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nEndpoint-Seal: s\r\nX-Large: " + large + "\r\nContent-Length: 300000\r\n\r\n"
			if _, err := io.WriteString(conn, answer+strings.Repeat("b", 300_000)); err != nil {
				return
			}
		}
	})
	for range 3 {
		response, release := forwardLarge(proxy, 20*time.Second)
		release()
		qt.Assert(t, response.Kind, qt.Equals, outcome.Answered)
		qt.Assert(t, response.Body.Len(), qt.Equals, 300_000)
	}
}

// readerConn is a connection on which the endpoint has sent a sequence of bytes, and has then closed it.
type readerConn struct {
	net.Conn
	bytes.Reader
}

func (r *readerConn) Read(b []byte) (int, error) { return r.Reader.Read(b) }
func (r *readerConn) Close() error               { return nil }

// FuzzAnswers reads any bytes of an endpoint as answers. All memory that is reserved for a body is handed over or released, and what is
// handed over is the body.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\nbody"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", 20000)+
		"HTTP/1.0 200 OK\r\nAttempt-Id: a\r\nKeep-Alive: timeout=9\r\n\r\nto the end"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 9999999999\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		pool := membudget.NewPool(1 << 20)
		conn := newConnection(&readerConn{Reader: *bytes.NewReader(data)}, pool)
		conn.memory.deadline = time.Now().Add(time.Millisecond)
		request := &ForwardRequest{AttemptID: "a", Method: http.MethodGet}
		if head {
			request.Method = http.MethodHead
		}
		answer, kind := readResponse(conn, request)
		checkAnswer(t, request, &answer, kind)
		if reserved := conn.memory.take(); reserved != pool.Used() || kind == outcome.None && reserved > 0 && reserved < int64(answer.body.Len()) {
			t.Fatalf("%d bytes reserved in the pool, %d for the answer with a body of %d", pool.Used(), reserved, answer.body.Len())
		}
	})
}

// checkAnswer checks an answer that was read for a request, and the response that is made of it.
func checkAnswer(t *testing.T, request *ForwardRequest, answer *endpointAnswer, kind outcome.Kind) {
	t.Helper()
	if kind != outcome.None {
		if answer.status != 0 || answer.body.Len() > 0 {
			t.Fatalf("kind %v with status %d and a body of %d bytes", kind, answer.status, answer.body.Len())
		}
		return
	}
	if id := answer.header.Get(HeaderAttemptID); id != request.AttemptID && !reportsNotExecuted(answer) {
		t.Fatalf("the answer to %q was taken for that to %q", id, request.AttemptID)
	}
	response := ForwardResponse{ReachedEndpoint: true}
	classify(&response, request, answer)
	var decoded ForwardResponse
	if err := codec.UnmarshalBuffers(codec.Marshal(&response), &decoded); err != nil {
		t.Fatalf("the response can't be read again: %v", err)
	}
}
