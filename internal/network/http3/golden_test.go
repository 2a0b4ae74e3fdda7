package http3

import (
	"context"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
	"quincegap/internal/network/exchange"
)

// The golden file has the keys that are derived from a secret and the requests that endpoints receive. Another version of the program must
// derive the same keys, so that sessions can be resumed and old connections are reset after an update.
func TestGoldenKeysAndRequests(t *testing.T) {
	var all strings.Builder
	secret := []byte("0123456789abcdef0123456789abcdef")
	for _, purpose := range []string{"stateless reset", "token"} {
		key := deriveKey(secret, purpose)
		fmt.Fprintf(&all, "%s: %s\n", purpose, hex.EncodeToString(key[:]))
	}
	for _, key := range ticketKeys(secret, time.Unix(1_800_000_000, 0)) {
		fmt.Fprintf(&all, "ticket: %s\n", hex.EncodeToString(key[:]))
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	header := http.Header{"Accept": {"text/html"}, "X-Trip": {"a", "b"}, "Content-Length": {"999"}}
	for _, in := range []exchange.Inbound{
		{Method: "POST", Target: "/api/book?x=1", Host: "front.example", Header: header, Body: []byte("trip")},
		{Method: "GET", Target: "//a/b", Host: "front.example:80", Header: http.Header{"User-Agent": {"x"}}},
		{Method: "GET", Target: "/%7e", Host: "h"},
	} {
		for _, early := range []bool{false, true} {
			r, err := newRequest(&exchange.Attempt{Request: &in, Context: ctx}, early)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&all, "%s %s %s %d\n", r.Method, r.URL, r.Host, r.ContentLength)
			for _, name := range slices.Sorted(maps.Keys(r.Header)) {
				fmt.Fprintf(&all, "  %s: %q\n", name, r.Header[name])
			}
		}
	}
	golden.Text(t, "keys-and-requests.txt", []byte(all.String()))
}
