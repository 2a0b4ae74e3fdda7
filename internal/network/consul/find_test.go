package consul_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"quincegap/internal/network/consul"
	standin "quincegap/internal/standin/consul"
)

// Finds the addresses of those instances of a service that have no critical check.
func ExampleFind() {
	agent, err := standin.Start("",
		standin.Instance{Node: "n", ID: "a", Address: "10.0.0.1", Port: 7946, WarningWeight: 1},
		standin.Instance{Node: "n", ID: "b", Address: "10.0.0.2", Port: 7946, WarningWeight: 1},
	)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer agent.Close()
	agent.SetStatus("b", "critical")

	settings := *consul.Table.Default()
	settings.Agents = agent.Address()
	addresses, err := consul.Find(context.Background(), settings, "x", func(path string) string { return path })
	fmt.Println(addresses, err)
	// Output: [10.0.0.1:7946] <nil>
}

func TestFindErrors(t *testing.T) {
	settings := *consul.Table.Default()
	resolve := func(path string) string { return path }
	if _, err := consul.Find(t.Context(), settings, "x", resolve); !errors.Is(err, consul.ErrNoAgents) {
		t.Errorf("Find without agents returned error %v, want ErrNoAgents", err)
	}
	settings.Agents = "127.0.0.1:1"
	_, err := consul.Find(t.Context(), settings, "x", resolve)
	var failed *consul.AgentError
	if !errors.As(err, &failed) || failed.Agent != settings.Agents {
		t.Errorf("Find with an agent that does not answer returned error %v, want an AgentError with the agent's address", err)
	}
}
