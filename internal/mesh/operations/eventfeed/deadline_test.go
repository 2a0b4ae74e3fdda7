package eventfeed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/operations/events"
	"quincegap/internal/standin/pipe"
)

// An answer without events, which comes after maxWait, is not cut off by the server's own limit of the time to write an answer.
func TestEmptyAnswerOutlivesTheWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := &http.Server{Handler: Handler(goldenSource{events.NewFeed(36, 4)}), WriteTimeout: maxWait / 5}
		listener := pipe.NewListener()
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		client, err := listener.Dial()
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(client, "GET /events HTTP/1.1\r\nHost: x\r\n\r\n")
		c.Assert(err, qt.IsNil)
		began := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(time.Since(began), qt.Equals, maxWait)
		c.Assert(client.Close(), qt.IsNil)
		c.Assert(listener.Close(), qt.IsNil)
		c.Assert(<-served, qt.ErrorIs, net.ErrClosed)
	})
}
