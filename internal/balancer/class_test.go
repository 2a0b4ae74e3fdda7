package balancer

import (
	"strings"
	"testing"
	"time"
)

func TestClassAddedWhileRequestsAreInFlight(t *testing.T) {
	fixture := start(t, settings(), 4)
	fixture.request(read)
	call := fixture.last()
	readClass := fixture.balancer.classes[read]
	for i := range 100 { // so that the slice of the classes is copied
		c := Class{Name: "late", LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1, Idempotency: NonIdempotent}
		if n, err := fixture.balancer.AddClass(c); err != nil || n != book+1+i {
			t.Fatalf("AddClass returned index %d, error %v; want %d, no error", n, err, book+1+i)
		}
	}
	fixture.finish(call, StatusOK, 20*ms)
	if fixture.balancer.classes[read] != readClass || readClass.latency.windowSamples != 1 || readClass.onTime != 1 {
		t.Errorf("answer not counted for its class, which existed before AddClass: %+v", *readClass)
	}
	id := fixture.request(book + 100)
	call = fixture.last()
	if call.id != id {
		t.Fatalf("request %+v was sent last, want the one of the class that was added last", call)
	}
	fixture.finish(call, StatusError, 20*ms)
	if len(fixture.sent) != 2 || len(fixture.fails) != 1 {
		t.Errorf("non-idempotent request after an error: %d sends, %d failed, want 2 and 1", len(fixture.sent), len(fixture.fails))
	}
}

func TestAddClassRejectsWhatNewWould(t *testing.T) {
	for want, makeInvalid := range map[string]func(*Class){
		"classes[3].effect":   func(c *Class) { c.Idempotency = "maybe" },
		"classes[3].scope":    func(c *Class) { c.KeyScope = "planet" },
		"classes[3].aim":      func(c *Class) { c.LatencyTarget = -1 },
		"classes[3].deadline": func(c *Class) { c.Deadline = -1 },
		"classes[3].window":   func(c *Class) { c.KeyWindow = -1 },
	} {
		fixture := start(t, settings(), 4)
		c := settings().Classes[book]
		makeInvalid(&c)
		_, err := fixture.balancer.AddClass(c)
		if err == nil || !strings.Contains(err.Error(), want+":") {
			t.Errorf("AddClass with an invalid %s returned %v, want an error that names it", want, err)
		}
		if len(fixture.balancer.classes) != 3 {
			t.Errorf("invalid %s: %d classes after AddClass, want 3", want, len(fixture.balancer.classes))
		}
		config := settings()
		config.Classes = append(config.Classes, c)
		if _, newErr := New(config, 7, fixture); newErr == nil || err != nil && newErr.Error() != err.Error() {
			t.Errorf("invalid %s: New returned %v, AddClass %v, want the same error", want, newErr, err)
		}
	}
}
