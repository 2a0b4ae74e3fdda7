package h3_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"

	"github.com/quic-go/quic-go/http3"

	"quincegap/internal/standin/authority"
	"quincegap/internal/standin/h3"
)

// Sends a request over HTTP/3 from a client that trusts the authority.
func Example() {
	issuer, err := authority.New()
	if err != nil {
		panic(err)
	}
	certificate, err := issuer.Pair("box.example.org")
	if err != nil {
		panic(err)
	}
	endpoint, err := h3.Start("", certificate, h3.Options{}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	})
	if err != nil {
		panic(err)
	}
	defer endpoint.Close()
	transport := &http3.Transport{TLSClientConfig: &tls.Config{RootCAs: issuer.Pool(), ServerName: "box.example.org"}}
	defer func() { _ = transport.Close() }()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "https://"+endpoint.Address(), nil)
	if err != nil {
		panic(err)
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		panic(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	fmt.Println(string(body), err, endpoint.Connections())
	// Output: HTTP/3.0 <nil> 1
}
