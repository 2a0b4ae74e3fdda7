package rehearse

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"quincegap/internal/rehearsal/emulator"
)

const (
	// faultyCallerTimeout bounds the time in which a sidecar must answer a faulty caller or close the connection.
	faultyCallerTimeout = 8 * time.Second
	// faultyCallerRetry is the delay before a faulty caller retries when it can reach no sidecar.
	faultyCallerRetry = 50 * time.Millisecond
	// The pause between two requests of a faulty caller, in milliseconds: the minimum, and the random amount added below the range.
	minFaultyPause, faultyPauseRange = 10, 40

	faultyRequestCount = 10
)

// faultyRequests are the inputs that faulty callers send: malformed or incomplete requests, or nothing.
var faultyRequests = [faultyRequestCount]string{
	"",
	"\x16\x03\x01\x02\x00\x01\x00",
	"GET / HTTP/1.1\r\n",
	"POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
	"POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"POST /trips HTTP/1.1\r\nHost: a\r\nX-Txn: x\r\nContent-Length: 50\r\n\r\nhalf",
	"POST /trips HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\nX-Txn: y\r\nX-Lane: no-such-class\r\nX-Remaining: 1000m\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\nX-Lane: book-trip\r\nX-Remaining: soon\r\n\r\n",
	"GET /trips HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X-Long: "+strings.Repeat("a", 1000)+"\r\n", 40) + "\r\n",
}

// runFaultyCaller plays the i-th faulty caller, until the rehearsal ends or the wanted number of faulty callers is no longer above i.
func (r *rehearsal) runFaultyCaller(i int) {
	random := rand.New(emulator.RandomSource(r.plan.Seed, fmt.Sprint("rude ", i)))
	for r.ctx.Err() == nil && int64(i) < r.faultyCallers.Load() {
		s := r.rotation.pick()
		if s == nil {
			time.Sleep(faultyCallerRetry)
			continue
		}
		c, err := r.dial(s.address, dialTimeout)
		if err != nil {
			time.Sleep(faultyCallerRetry)
			continue
		}
		input := random.IntN(len(faultyRequests))
		if !exchangeFaulty(c, faultyRequests[input]) && r.ctx.Err() == nil && s.serving() {
			r.unanswered[input].Add(1)
		}
		closeConn(c)
		time.Sleep(time.Duration(minFaultyPause+random.IntN(faultyPauseRange)) * time.Millisecond)
	}
}

// exchangeFaulty sends a faulty request, and reports whether the sidecar answered or closed the connection within faultyCallerTimeout.
func exchangeFaulty(c net.Conn, request string) bool {
	_, _ = io.WriteString(c, request)                          // fails if the sidecar has closed the connection, which is correct
	_ = c.SetReadDeadline(time.Now().Add(faultyCallerTimeout)) // fails for the same reason
	n, err := io.Copy(io.Discard, io.LimitReader(c, maxAnswerBytes))
	timeout := net.Error(nil)
	return n > 0 || !errors.As(err, &timeout) || !timeout.Timeout()
}
