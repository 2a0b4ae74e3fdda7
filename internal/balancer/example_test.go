package balancer_test

import (
	"fmt"
	"time"

	"quincegap/internal/balancer"
)

// printer is a Host that prints the actions it is asked for.
type printer struct{}

func (printer) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	fmt.Println("send", id, "to", to)
}
func (printer) Refuse(id balancer.RequestID, retryAfter time.Duration) { fmt.Println("refuse", id) }
func (printer) Fail(id balancer.RequestID)                             { fmt.Println("fail", id) }
func (printer) Cancel(id balancer.RequestID, attempt int)              {}
func (printer) SetTimer(token uint64, after time.Duration)             {}
func (printer) Probe(to balancer.EndpointID)                           {}
func (printer) Tell(peer int, data []byte)                             {}
func (printer) Watch(on bool)                                          {}
func (printer) Fetch()                                                 { fmt.Println("fetch the list") }
func (printer) CloseIdle(to balancer.EndpointID)                       {}
func (printer) Log(text string)                                        { fmt.Println("log:", text) }

// A Balancer is fed events with their times, and acts through its Host.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Instances: 1, Quantum: time.Millisecond, MaxAttempts: 3, ConnectTimeout: 100 * time.Millisecond,
		ColdFrom: 0.2, Cold: 10 * time.Second, TipMultiple: 3, Fall: time.Second,
		Classes: []balancer.Class{{Name: "lookup", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1,
			Effect: balancer.Safe}},
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	b.Targets(now, balancer.List{Kind: balancer.Whole, Version: 5, Entries: []balancer.Entry{
		{Endpoint: 11}, {Endpoint: 12, State: balancer.Draining}}})
	b.Request(now, balancer.Request{ID: "a", Left: 2 * time.Second})
	b.Outcome(now+20*time.Millisecond, balancer.Outcome{ID: "a", Endpoint: 11, Status: balancer.OK, Final: true,
		Elapsed: 20 * time.Millisecond})
	b.Request(now+time.Second, balancer.Request{ID: "b", Left: 2 * time.Second})
	b.Targets(now+time.Second, balancer.List{Kind: balancer.Delta, Version: 6, Entries: []balancer.Entry{
		{Endpoint: 12}}})
	b.Outcome(now+time.Second, balancer.Outcome{ID: "b", Endpoint: 11, Status: balancer.Reset})
	// Output:
	// send a to 11
	// send b to 11
	// log: endpoint 11 isolated: connection reset (list version 5)
	// fetch the list
	// send b to 12
}
