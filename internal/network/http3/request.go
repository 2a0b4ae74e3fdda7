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

// newRequest returns the request to send, without the headers that the library would add. The header X-Remaining is the time until the
// attempt's deadline, in microseconds.
func newRequest(a *exchange.Attempt, early bool) (*http.Request, error) {
	in := a.Request
	deadline, _ := a.Context.Deadline()
	target, err := requestURL(in)
	if err != nil {
		return nil, err
	}
	r := &http.Request{Method: in.Method, URL: target, Host: in.Host, Header: maps.Clone(in.Header)}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	delete(r.Header, "Content-Length")
	r.Header["X-Remaining"] = []string{strconv.FormatInt(max(time.Until(deadline), 0).Microseconds(), 10) + "u"}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""} // keeps the library from adding its own
	}
	if early && r.Method == http.MethodGet {
		r.Method = http3.MethodGet0RTT
	}
	if len(in.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(in.Body))
		r.ContentLength = int64(len(in.Body))
	}
	return r.WithContext(a.Context), nil
}

// requestURL returns a URL whose request target is the one that the client wrote.
func requestURL(in *exchange.Inbound) (*url.URL, error) {
	if !strings.HasPrefix(in.Target, "//") {
		return &url.URL{Scheme: "https", Host: in.Host, Opaque: in.Target}, nil
	}
	// As an opaque URL it would name another host.
	target, err := url.ParseRequestURI(in.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme = "https"
	return target, nil
}
