package agent_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// A sidecar without peers applies a committed configuration, and publishes its local endpoint.
func ExampleAgent() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	own := &settings.Settings{
		Name:               "sidecar-1",
		IP:                 "127.9.40.1",
		Zone:               "north",
		InternalPorts:      [2]int{7401, 7401},
		ApplicationAddress: "127.9.40.1:8080",
		Service:            "orders",
	}
	hub := transport.NewHub(transport.Hello{
		Incarnation: 1,
		Address:     own.InternalAddress(),
		Zone:        own.Zone,
	}, time.Now(), 1<<20, log)
	defer hub.Close()
	sidecar := agent.New(agent.Config{
		Settings:        own,
		Hub:             hub,
		Role:            membership.RoleAccess,
		Log:             log,
		Seed:            1,
		OnConfiguration: func(c *configuration.Config) { fmt.Println("applied:", c.Version) },
	})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { sidecar.Run(ctx) })

	sidecar.ApplyCommitted(7, []byte(`{"configVersion":"r7","routeTable":[]}`))
	sidecar.ApplyCommitted(6, []byte(`{"configVersion":"r6","routeTable":[]}`)) // ignored: the version is older
	sidecar.Publish(discovery.Endpoint{
		ID:         "endpoint-1",
		Service:    "orders",
		AppAddress: "127.9.40.1:8080",
		Zone:       "north",
		Slots:      8,
	})
	version, _ := sidecar.Configuration()
	fmt.Println("held:", version, "by", sidecar.Members()[0].Address)

	stop()
	running.Wait()
	// Output:
	// applied: r7
	// held: 7 by 127.9.40.1:7401
}
