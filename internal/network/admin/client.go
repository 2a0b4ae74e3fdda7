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
	dialTimeout    = 2 * time.Second
	askTimeout     = 10 * time.Second
	maxAnswerBytes = 64 << 20
	maxFaultBytes  = 300 // of the body of an error answer
)

// AskMembers asks the sidecar at an address for its endpoints.
func AskMembers(ctx context.Context, address string) (m Members, err error) {
	err = get(ctx, address, "members", &m)
	return m, err
}

// AskPeers asks the sidecar at an address for its view of its peers; with all also for the peers' own views.
func AskPeers(ctx context.Context, address string, all bool) (f peers.FleetReport, err error) {
	page := "peers"
	if all {
		page = "peers?all=1"
	}
	err = get(ctx, address, page, &f)
	return f, err
}

// get reads a page into a value. It returns errors of the connection, or one that names the address and the sidecar's answer.
func get(ctx context.Context, address, page string, into any) error {
	client := &http.Client{Timeout: askTimeout, Transport: newTransport(address)}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://sidecar/"+page, nil)
	if err != nil {
		return err
	}
	res, err := client.Do(r)
	if err != nil {
		return errors.Unwrap(err) // without the URL, which names no address
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		fault, _ := io.ReadAll(io.LimitReader(res.Body, maxFaultBytes)) // as much of it as there is
		return fmt.Errorf("%s answered %s: %s", address, res.Status, strings.TrimSpace(string(fault)))
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(into)
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
