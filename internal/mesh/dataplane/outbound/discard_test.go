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
)

// refuse sends a request with a body, on a connection of its own, to a proxy that turns it away, and reads the answer later, when the
// proxy has done with the connection. send brings the body.
func refuse(t *testing.T, headers string, bytes int, send func(conn net.Conn, body []byte)) (*http.Response, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := New(Options{}).Server() // without a configuration it turns all away
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	conn, err := net.Dial("tcp4", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", bytes, headers)
	send(conn, make([]byte, bytes))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// A client sends all of its body before it reads the answer to a request that was turned away long before, on a connection that ends with
// the answer. It can send it, and has the answer: many clients give an exchange up once they can't write, and a reset may take an
// answer away that they have not read yet.
func TestARefusalOutlivesTheCloseOfItsConnection(t *testing.T) {
	for _, headers := range []string{"", "Connection: close\r\n"} {
		for _, bytes := range []int{1, 5_000, 100_000, 900_000} {
			r, err := refuse(t, headers, bytes, func(conn net.Conn, body []byte) {
				const parts = 4
				for i := range parts {
					_, err := conn.Write(body[i*bytes/parts : (i+1)*bytes/parts])
					qt.Check(t, err, qt.IsNil, qt.Commentf("%q, part %d of %d bytes", headers, i, bytes))
					time.Sleep(20 * time.Millisecond) // it is answered meanwhile
				}
			})
			comment := qt.Commentf("%q, %d bytes", headers, bytes)
			qt.Assert(t, err, qt.IsNil, comment)
			qt.Check(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable, comment)
			qt.Check(t, r.Header.Get("Retry-After"), qt.Not(qt.Equals), "", comment)
		}
	}
}

// It is answered at once, however long its body takes to come.
func TestARefusalDoesNotWaitForTheBody(t *testing.T) {
	began := time.Now()
	r, err := refuse(t, "", 100_000, func(conn net.Conn, body []byte) { _, _ = conn.Write(body[:10]) })
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, time.Since(began) < discardTime/2, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
