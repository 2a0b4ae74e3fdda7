package balancer_test

import (
	"fmt"
	"time"

	"quincegap/internal/balancer"
)

// printer is a Host that prints the actions that the Balancer requests.
type printer struct{}

func (printer) Send(id balancer.RequestID, to balancer.EndpointID, _ time.Duration) {
	fmt.Println("send", id, "to", to)
}
func (printer) Reject(id balancer.RequestID, _ time.Duration) { fmt.Println("reject", id) }
func (printer) Fail(id balancer.RequestID)                    { fmt.Println("fail", id) }
func (printer) Cancel(balancer.RequestID, int)                {}
func (printer) SetTimer(uint64, time.Duration)                {}
func (printer) HealthCheck(balancer.EndpointID)               {}
func (printer) SendToPeer(int, []byte)                        {}
func (printer) WatchEndpoints(bool)                           {}
func (printer) FetchEndpoints()                               { fmt.Println("fetch the list") }
func (printer) CloseIdleConnections(balancer.EndpointID)      {}
func (printer) Log(text string)                               { fmt.Println("log:", text) }

// A Balancer is passed events with their times, and requests actions through its Host.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Instances: 1, Quantum: time.Millisecond, MaxAttempts: 3, ConnectTimeout: 100 * time.Millisecond,
		SlowStartMinShare: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second,
		Classes: []balancer.Class{{
			Name: "lookup", LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1,
			Idempotency: balancer.Idempotent,
		}},
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	b.HandleEndpoints(now, balancer.EndpointList{Kind: balancer.ListFull, Version: 5, Entries: []balancer.ListEntry{
		{Endpoint: 11}, {Endpoint: 12, State: balancer.EndpointDraining},
	}})
	b.HandleRequest(now, balancer.Request{ID: "a", TimeLeft: 2 * time.Second})
	b.HandleOutcome(now+20*time.Millisecond, balancer.Outcome{
		ID: "a", Endpoint: 11, Status: balancer.StatusOK, Final: true,
		Elapsed: 20 * time.Millisecond,
	})
	b.HandleRequest(now+time.Second, balancer.Request{ID: "b", TimeLeft: 2 * time.Second})
	b.HandleEndpoints(now+time.Second, balancer.EndpointList{Kind: balancer.ListDelta, Version: 6, Entries: []balancer.ListEntry{
		{Endpoint: 12},
	}})
	b.HandleOutcome(now+time.Second, balancer.Outcome{ID: "b", Endpoint: 11, Status: balancer.StatusReset})
	// Output:
	// send a to 11
	// send b to 11
	// log: endpoint 11 isolated: connection reset (list version 5)
	// fetch the list
	// send b to 12
}
