package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/dataplane/outcome"
)

// Records each step of a scripted run of a controller, with the resulting decisions in order. The golden file fixes the states' numbers,
// the order of the queue, the mean service time and every bound.
func TestGoldenDecisions(t *testing.T) {
	const ms = time.Millisecond
	var text strings.Builder
	controller := New()
	record := func(now time.Duration, event string, decisions []Decision) {
		running, waiting := controller.Load()
		fmt.Fprintf(&text, "%v %s: state %d, running %d, waiting %d, work %v;",
			now, event, controller.State(), running, waiting, controller.ServiceTime())
		for _, d := range decisions {
			if d.Kind == outcome.None {
				fmt.Fprintf(&text, " %d goes on", d.Token)
			} else {
				fmt.Fprintf(&text, " %d %s", d.Token, d.Kind)
			}
		}
		fmt.Fprintln(&text)
	}
	one := Endpoint{ID: "one", Service: "s", Slots: 2}
	token := uint64(0)
	submit := func(now time.Duration, priority int, nested bool, target, deadline time.Duration) {
		token++
		decisions := controller.Submit(now, Request{
			Token: token, EndpointID: "one", Service: "s", Priority: priority, Nested: nested, TargetDeadline: now + target,
			Deadline: now + deadline,
		})
		record(now, fmt.Sprintf("arrives %d, priority %d, inner %t, aim %v, deadline %v", token, priority, nested, target, deadline), decisions)
	}
	submit(0, 1, false, 500*ms, time.Second)
	record(0, "serves", controller.UpdateEndpoint(0, one, Serving))
	for i := range 12 {
		submit(time.Duration(i)*ms, i%3, i%5 == 4, 500*ms, time.Second)
	}
	submit(20*ms, 0, false, 15*ms, time.Second)
	submit(20*ms, 0, false, time.Second, 9*ms)
	otherEndpoint := Request{Token: 90, EndpointID: "two", TargetDeadline: time.Second, Deadline: time.Second}
	record(21*ms, "another endpoint", controller.Submit(21*ms, otherEndpoint))
	otherService := Request{Token: 91, Service: "r", TargetDeadline: time.Second, Deadline: time.Second}
	record(21*ms, "another service", controller.Submit(21*ms, otherService))
	record(22*ms, fmt.Sprintf("withdraws 4: %t", controller.Cancel(4)), nil)
	record(22*ms, fmt.Sprintf("withdraws 2: %t", controller.Cancel(2)), nil)
	for i, done := range []uint64{2, 3, 6, 11, 77} {
		now := time.Duration(30+10*i) * ms
		record(now, fmt.Sprintf("done %d", done), controller.Done(now, done))
	}
	record(900*ms, "time passes", controller.Expire(900*ms))
	record(2*time.Second, "time passes", controller.Expire(2*time.Second))
	record(3*time.Second, "drains", controller.UpdateEndpoint(3*time.Second, one, Draining))
	record(3*time.Second, "serves", controller.UpdateEndpoint(3*time.Second, one, Serving))
	submit(3*time.Second, 0, false, time.Second, 2*time.Second)
	submit(4500*ms, 0, false, time.Second, 2*time.Second)
	submit(4501*ms, 0, false, time.Second, 2*time.Second)
	record(4501*ms, "time passes", controller.Expire(4501*ms))
	record(5*time.Second, "gone", controller.UpdateEndpoint(5*time.Second, one, Terminated))
	record(6*time.Second, "a new life", controller.UpdateEndpoint(6*time.Second, Endpoint{ID: "two", Service: "s", Slots: 1}, Serving))
	record(7*time.Second, "a new life", controller.UpdateEndpoint(7*time.Second, Endpoint{ID: "three", Service: "s", Slots: 1}, Draining))
	submit(7*time.Second, 0, false, time.Second, 2*time.Second)
	golden.Text(t, "decisions.txt", []byte(text.String()))
}

// The numbers of the states, in the order in which an endpoint passes through them.
func TestGoldenStates(t *testing.T) {
	for number, state := range []State{Unknown, Serving, Draining, Terminated} {
		if int(state) != number {
			t.Errorf("state constant has number %d, want %d", state, number)
		}
	}
	if outcome.Kind(0).Entry().Name != "unknown" {
		t.Error("kind 0 has an entry in the table, want none: a decision of kind 0 admits a request")
	}
}

// Bounds the allocations for a request that is admitted at once, queued or cancelled, and for a check of the queue.
func TestAllocations(t *testing.T) {
	controller := New()
	controller.UpdateEndpoint(0, Endpoint{ID: "one", Slots: 1}, Serving)
	token := uint64(0)
	submit := func() uint64 {
		token++
		controller.Submit(0, Request{Token: token, TargetDeadline: time.Second, Deadline: time.Second})
		return token
	}
	check := func(name string, limit float64, f func()) {
		t.Helper()
		if n := testing.AllocsPerRun(1000, f); n > limit {
			t.Errorf("%s: %v allocations, want %v at most", name, n, limit)
		}
	}
	check("admitted at once", 1, func() { controller.Done(0, submit()) })
	first := submit()
	check("queued", 1, func() {
		next := submit()
		controller.Done(0, first)
		first = next
	})
	check("cancelled", 0, func() { controller.Cancel(submit()) })
	check("check of the queue", 0, func() { controller.Expire(0) })
}
