package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"quincegap/internal/modules/peers"
)

const (
	dialTimeout      = 2 * time.Second
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 300 // length of the text of an error response, in bytes
)

// AskMembers returns the endpoints of the sidecar at an address. It fails if the sidecar can't be reached or does not answer with status 200.
func AskMembers(ctx context.Context, address string) (m Members, err error) {
	err = get(ctx, address, "members", &m)
	return m, err
}

// AskPeers returns the view of peers of the sidecar at an address; if all is set, the peers' views are included. It fails if the sidecar
// can't be reached or does not answer with status 200.
func AskPeers(ctx context.Context, address string, all bool) (f peers.FleetReport, err error) {
	page := "peers"
	if all {
		page = "peers?all=1"
	}
	err = get(ctx, address, page, &f)
	return f, err
}

// get requests a page and decodes it into result. It fails if the connection fails or the page is malformed; for a status other than 200,
// the error contains the address, the status and the text of the response.
func get(ctx context.Context, address, page string, result any) error {
	client := &http.Client{Timeout: requestTimeout, Transport: newTransport(address)}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://sidecar/"+page, nil)
	if err != nil {
		return err
	}
	res, err := client.Do(r)
	if err != nil {
		return errors.Unwrap(err) // omits the URL, which does not contain the address
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes)) // after a read error, message is the part that was received
		return fmt.Errorf("%s answered %s: %s", address, res.Status, strings.TrimSpace(string(message)))
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(result)
}

// newTransport returns a transport that connects to one address, whatever host a request names.
func newTransport(address string) *http.Transport {
	network, target := splitAddress(address)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, target)
		},
	}
}
