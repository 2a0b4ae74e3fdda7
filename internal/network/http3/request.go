package http3

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/network/exchange"
)

// newRequest returns the request to send to the endpoint, and prevents the library from adding a User-Agent header. The X-Remaining header
// has the time until the attempt's deadline, in microseconds. If early is set, a GET request may be sent in early data. It returns an
// error if the request target is invalid.
func newRequest(attempt *exchange.Attempt, early bool) (*http.Request, error) {
	in := attempt.Request
	deadline, _ := attempt.Context.Deadline()
	target, err := requestURL(in)
	if err != nil {
		return nil, err
	}
	request := &http.Request{Method: in.Method, URL: target, Host: in.Host, Header: maps.Clone(in.Header)}
	if request.Header == nil {
		request.Header = http.Header{}
	}
	delete(request.Header, "Content-Length")
	request.Header["X-Remaining"] = []string{strconv.FormatInt(max(time.Until(deadline), 0).Microseconds(), 10) + "u"}
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = []string{""} // prevents the library from adding its default
	}
	if early && request.Method == http.MethodGet {
		request.Method = http3.MethodGet0RTT
	}
	if len(in.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(in.Body))
		request.ContentLength = int64(len(in.Body))
	}
	return request.WithContext(attempt.Context), nil
}

// requestURL returns a URL that is sent as exactly the request target that the client wrote.
func requestURL(in *exchange.Inbound) (*url.URL, error) {
	if !strings.HasPrefix(in.Target, "//") {
		return &url.URL{Scheme: "https", Host: in.Host, Opaque: in.Target}, nil
	}
	// An opaque URL that begins with // would name another host.
	target, err := url.ParseRequestURI(in.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme = "https"
	return target, nil
}
