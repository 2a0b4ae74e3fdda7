// Command endpoint is a placeholder for a service endpoint of the example mesh (docs/operate/example/README.md). It answers every request
// and sends a keepalive to its sidecar once a second.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"time"
)

const (
	keepaliveInterval = time.Second
	callTimeout       = time.Second
)

// keepalive is the status report that an endpoint sends to its sidecar.
type keepalive struct {
	ServiceName   string `json:"serviceName"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	ConfigVersion string `json:"configVersion"` // version of the endpoint's software
	SlotCount     int    `json:"slotCount"`     // number of requests that the endpoint processes concurrently
	State         string `json:"state"`
	ColdRemaining string `json:"coldRemaining"` // remaining warm-up time, during which the endpoint is slower than usual
	CallSequence  uint64 `json:"callSequence"`
}

func main() {
	address := flag.String("listen", "127.0.0.2:8103", "address on which the endpoint accepts requests")
	control := flag.String("control", "127.0.0.2:8105", "control address of the endpoint's sidecar")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, *control, *address)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "endpoint:", err)
		os.Exit(1)
	}
}

// answer responds with the request's Attempt-Id and an Endpoint-Seal header. Without the seal, a 2xx response does not count as an answer
// of the endpoint.
func answer(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Attempt-Id"); id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	w.Header().Set("Endpoint-Seal", "example")
	if _, err := w.Write([]byte("a trip\n")); err != nil {
		fmt.Fprintln(os.Stderr, "endpoint:", err)
	}
}

// run serves requests and sends keepalives until ctx ends, and then deregisters the endpoint. It returns an error if the server stops
// earlier, or if deregistering or closing the server fails. The endpoint's id has the process id, so each start registers under a new id.
func run(ctx context.Context, control, address string) error {
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(answer), ReadHeaderTimeout: callTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	url := fmt.Sprintf("http://%s/endpoints/i-%d", control, os.Getpid())
	status := keepalive{
		ServiceName: "trips", Address: address, Zone: "zone-a", ConfigVersion: "v1", SlotCount: 6, State: "in_service", ColdRemaining: "0ms",
	}
	tick := time.NewTicker(keepaliveInterval)
	defer tick.Stop()
	for {
		status.CallSequence++
		if err := post(ctx, url+"/keepalive", status); err != nil {
			fmt.Fprintln(os.Stderr, "endpoint:", err) // not fatal: the sidecar may not have started yet
		}
		select {
		case <-tick.C:
		case err := <-failed:
			return err
		case <-ctx.Done():
			err := post(context.WithoutCancel(ctx), url+"/deregister", status)
			return errors.Join(err, server.Close())
		}
	}
}

// post sends body as JSON to url. It fails if there is no response within callTimeout, or one with a status other than 200.
func post(ctx context.Context, url string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answered %s", url, response.Status)
	}
	return errors.Join(err, response.Body.Close())
}
