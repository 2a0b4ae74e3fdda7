package outbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/membudget"
)

// lateness is how much later than its time a connection may be closed on a busy machine.
const lateness = 3 * time.Second

// headerConfig returns a configuration with a time for headers and one for idle connections.
func headerConfig(t *testing.T, version int, header, idle time.Duration) *configuration.Config {
	t.Helper()
	limits := fmt.Sprintf(`{"headerTimeout":"%dms","idleTimeout":"%dms"}`, header.Milliseconds(), idle.Milliseconds())
	config, err := configuration.Parse(fmt.Appendf(nil, `{"configVersion":"r%d","routeTable":[],"serviceTable":[],"limitSet":%s}`, version, limits))
	qt.Assert(t, err, qt.IsNil)
	return config
}

// newIdleProxy returns a proxy that knows no other process.
func newIdleProxy(t *testing.T) *Proxy {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	hub := transport.NewHub(transport.Hello{Incarnation: 1, Address: "127.0.0.1:1"}, time.Now(), 1<<20, log)
	t.Cleanup(hub.Close)
	return New(Options{Hub: hub, Log: log, BodyMemory: membudget.NewPool(1 << 20)})
}

// getNotFound sends a complete request, of which no route is known, and reads the answer.
func getNotFound(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	qt.Assert(t, err, qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusNotFound)
	qt.Assert(t, answer.Body.Close(), qt.IsNil)
}

// closedAfter returns the time from now until the server closes a connection. Meanwhile the client sends the parts of a header, one each
// interval.
func closedAfter(t *testing.T, conn net.Conn, interval time.Duration, parts ...string) time.Duration {
	t.Helper()
	began := time.Now()
	buffer := make([]byte, 1)
	for {
		if len(parts) > 0 {
			_, _ = conn.Write([]byte(parts[0])) // fails once the server has closed the connection
			parts = parts[1:]
		}
		qt.Assert(t, conn.SetReadDeadline(time.Now().Add(interval)), qt.IsNil)
		if _, err := conn.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
			return time.Since(began)
		}
		if time.Since(began) > maxHeaderTime {
			return time.Since(began)
		}
	}
}

// A header must be complete within the configured time from its first byte, however its bytes are spread, and on the first request of a
// connection as on later ones. A new configuration applies to open connections.
func TestHeaderTimeout(t *testing.T) {
	const first, second = 300 * time.Millisecond, 900 * time.Millisecond
	drip := strings.Split("GET / HTTP/1.1\r\nHost: h\r\nX-Slow: "+strings.Repeat("x", 10_000), "")
	for name, parts := range map[string][]string{"one part": {"GET / HT"}, "one byte": {"G"}, "byte by byte": drip} {
		for _, requestsBefore := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s after %d requests", name, requestsBefore), func(t *testing.T) {
				t.Parallel()
				proxy := newIdleProxy(t)
				proxy.Configure(headerConfig(t, 1, first, time.Minute))
				address := serve(t, proxy)
				conns := []net.Conn{dial(t, address), dial(t, address)}
				for _, conn := range conns {
					for range requestsBefore {
						getNotFound(t, conn)
					}
				}
				after := closedAfter(t, conns[0], 10*time.Millisecond, parts...)
				qt.Check(t, after >= first && after < first+lateness, qt.IsTrue, qt.Commentf("closed after %v, want %v", after, first))
				proxy.Configure(headerConfig(t, 2, second, time.Minute))
				after = closedAfter(t, conns[1], 10*time.Millisecond, parts...)
				qt.Check(t, after >= second && after < second+lateness, qt.IsTrue, qt.Commentf("closed after %v, want %v", after, second))
			})
		}
	}
}

// The time for a header neither applies to a connection that waits for its first request, nor to the body of a request.
func TestHeaderTimeoutAppliesToHeadersOnly(t *testing.T) {
	t.Parallel()
	const header, idle = 200 * time.Millisecond, 1200 * time.Millisecond
	proxy := newIdleProxy(t)
	proxy.Configure(headerConfig(t, 1, header, idle))
	address := serve(t, proxy)

	after := closedAfter(t, dial(t, address), 10*time.Millisecond)
	qt.Check(t, after >= idle && after < idle+lateness, qt.IsTrue, qt.Commentf("idle connection closed after %v, want %v", after, idle))

	conn := dial(t, address)
	time.Sleep(2 * header)
	getNotFound(t, conn)
	time.Sleep(2 * header)
	getNotFound(t, conn)
}

// Headers that stop midway were held without a bound, and took a sidecar over its memory. Those within the configuration are never refused.
func TestHeadersStayWithinMemory(t *testing.T) {
	c := qt.New(t)
	const limit = 100 << 10
	proxy := newIdleProxy(t)
	memory := membudget.NewPool(limit)
	proxy.options.ConnectionMemory = memory
	proxy.Configure(headerConfig(t, 1, 10*time.Second, 10*time.Second)) // headers of up to 16 KiB
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := proxy.Server()
	go func() { _ = server.Serve(proxy.Listener(listener)) }()
	defer server.Close() //nolint:errcheck // the test is over
	dial := func(headerBytes int) net.Conn {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp4", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: "+strings.Repeat("x", headerBytes)+"\r\n")
		c.Assert(err, qt.IsNil)
		return conn
	}
	waitUsed := func(condition string, ok func(used int64) bool) {
		for end := time.Now().Add(10 * time.Second); !ok(memory.Used()); time.Sleep(time.Millisecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s: %d bytes are in use", condition, memory.Used()))
		}
	}
	large := dial(40 << 10)
	waitUsed("the first header is counted", func(used int64) bool { return used >= 70<<10 })
	tooMuch := dial(40 << 10)
	_, err = io.ReadAll(tooMuch) // the server closes the connection
	c.Check(err == nil || strings.Contains(err.Error(), "reset"), qt.IsTrue, qt.Commentf("%v", err))
	allowed := dial(15 << 10)
	_, err = io.WriteString(allowed, "\r\n")
	c.Assert(err, qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(allowed), nil)
	c.Assert(err, qt.IsNil)
	c.Check(answer.StatusCode, qt.Equals, http.StatusNotFound)
	c.Check(answer.Body.Close(), qt.IsNil)
	for _, conn := range []net.Conn{large, tooMuch, allowed} {
		c.Check(conn.Close(), qt.IsNil)
	}
	waitUsed("all memory is released", func(used int64) bool { return used == 0 })
}
