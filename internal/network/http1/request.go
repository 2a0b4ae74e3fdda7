package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"quincegap/internal/network/exchange"
)

// ownHeaders lists the headers that encode sets; the caller's values are not forwarded.
var ownHeaders = map[string]bool{"Content-Length": true, "X-Remaining": true}

// encode returns the bytes of a request to an endpoint. remaining is the time until the attempt's deadline; the X-Remaining header carries
// it in microseconds.
func encode(in *exchange.Inbound, remaining time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Remaining: %du\r\n", in.Method, in.Target, in.Host,
		max(remaining, 0).Microseconds())
	if len(in.Body) > 0 || in.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(in.Body))
	}
	_ = in.Header.WriteSubset(&b, ownHeaders) // writes to a buffer never fail
	b.WriteString("\r\n")
	b.Write(in.Body)
	return b.Bytes()
}
