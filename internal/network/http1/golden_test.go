package http1

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
	"quincegap/internal/network/exchange"
)

// The golden file has the exact bytes of requests to endpoints.
func TestGoldenRequests(t *testing.T) {
	header := http.Header{
		"Accept": {"text/html"}, "X-Trip": {"a", "b"}, "Content-Length": {"999"}, "X-Remaining": {"7u"}, "Idempotency-Key": {"k-1"},
	}
	var all strings.Builder
	for _, test := range []struct {
		request   exchange.Inbound
		remaining time.Duration
	}{
		{exchange.Inbound{Method: "POST", Target: "/api/book?x=1", Host: "front.example", Header: header, Body: []byte("trip")}, 1500 * time.Millisecond},
		{exchange.Inbound{Method: "POST", Target: "/api/book", Host: "front.example", Header: http.Header{}}, time.Microsecond},
		{exchange.Inbound{Method: "GET", Target: "/", Host: "front.example:80", Header: header}, -time.Second},
	} {
		all.Write(encode(&test.request, test.remaining))
		all.WriteString("\n----\n")
	}
	golden.Text(t, "requests.txt", []byte(all.String()))
}

// The golden file has the headers that HTTP/1.1 adds to responses to callers.
func TestGoldenAnswerHeaders(t *testing.T) {
	header := http.Header{}
	c := &callerConn{listener: &callerListener{altSvc: `h3=":443"; ma=60`}}
	c.AddHeaders(header)
	c.CloseAfter(header)
	var text strings.Builder
	if err := header.Write(&text); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "answer-headers.txt", []byte(text.String()))
}
