package controlplane_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/controlplane"
)

// noPeers is the Transport of a process without peers.
type noPeers struct{}

func (noPeers) Ask(context.Context, string, []byte) ([]byte, error) {
	return nil, errors.New("no other core process is running")
}

// A system with a single core process commits changes without any other process.
func ExampleServer() {
	folder, err := os.MkdirTemp("", "controlplane")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server, err := controlplane.Open(controlplane.Options{
		Self: "10.0.0.1:7001", Seeds: []string{"10.0.0.1:7001"}, InitialStart: true, Folder: folder, Transport: noPeers{}, Log: log,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer server.Close()

	ctx := context.Background()
	fmt.Println(server.Replace(ctx, 0, []byte(`{"configVersion":"r1","routeTable":[]}`)).Outcome)
	fmt.Println(server.Replace(ctx, 0, []byte(`{"configVersion":"r2","routeTable":[]}`)).Outcome)
	latest, err := server.ReadLatest(ctx)
	fmt.Println(latest.Version, err)
	// Output:
	// applied
	// conflict
	// r1 <nil>
}
