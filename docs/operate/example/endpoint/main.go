// Command endpoint stands in for an endpoint of the example mesh (docs/operate/example/README.md): it answers every request, and
// tells the sidecar beside it once a second that it serves.
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

// keepalive is what an endpoint says of itself.
type keepalive struct {
	ServiceName   string `json:"serviceName"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	ConfigVersion string `json:"configVersion"` // of the endpoint's own software
	SlotCount     int    `json:"slotCount"`     // requests that it works on at once
	State         string `json:"state"`
	ColdRemaining string `json:"coldRemaining"` // how much longer it is slow from its start
	CallSequence  uint64 `json:"callSequence"`
}

func main() {
	address := flag.String("listen", "127.0.0.2:8103", "where requests come in")
	control := flag.String("control", "127.0.0.2:8105", "control address of the sidecar beside it")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, *control, *address)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "endpoint:", err)
		os.Exit(1)
	}
}

// answer answers a request as endpoints do: with the request's id, and with a seal, without which a 2xx does not count.
func answer(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Attempt-Id"); id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	w.Header().Set("Endpoint-Seal", "example")
	if _, err := w.Write([]byte("a trip\n")); err != nil {
		fmt.Fprintln(os.Stderr, "endpoint:", err)
	}
}

// run serves and sends keepalives until ctx ends, and then deregisters. An id stands for one start of an endpoint.
func run(ctx context.Context, control, address string) error {
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(answer), ReadHeaderTimeout: callTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	url := fmt.Sprintf("http://%s/endpoints/i-%d", control, os.Getpid())
	said := keepalive{
		ServiceName: "trips", Address: address, Zone: "zone-a", ConfigVersion: "v1", SlotCount: 6, State: "in_service", ColdRemaining: "0ms",
	}
	tick := time.NewTicker(keepaliveInterval)
	defer tick.Stop()
	for {
		said.CallSequence++
		if err := post(ctx, url+"/keepalive", said); err != nil {
			fmt.Fprintln(os.Stderr, "endpoint:", err) // the sidecar may not be there yet
		}
		select {
		case <-tick.C:
		case err := <-failed:
			return err
		case <-ctx.Done():
			err := post(context.WithoutCancel(ctx), url+"/deregister", said)
			return errors.Join(err, server.Close())
		}
	}
}

func post(ctx context.Context, url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
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
