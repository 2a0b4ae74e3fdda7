package balancer

import (
	"strings"
	"testing"
	"time"
)

func TestClassAddedWhileRequestsAreInFlight(t *testing.T) {
	f := start(t, settings(), 4)
	f.request(read)
	call := f.last()
	readClass := f.b.classes[read]
	for i := range 100 { // so that the slice of the classes is copied
		c := Class{Name: "late", LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1, Idempotency: NonIdempotent}
		if n, err := f.b.AddClass(c); err != nil || n != book+1+i {
			t.Fatalf("class %d, %v; want %d", n, err, book+1+i)
		}
	}
	f.finish(call, StatusOK, 20*ms)
	if f.b.classes[read] != readClass || readClass.latency.windowSamples != 1 || readClass.onTime != 1 {
		t.Errorf("the answer was not counted for its class: %+v", *readClass)
	}
	id := f.request(book + 100)
	call = f.last()
	if call.id != id {
		t.Fatalf("a request of the class added last was not sent: %+v", call)
	}
	f.finish(call, StatusError, 20*ms)
	if len(f.sent) != 2 || len(f.fails) != 1 {
		t.Errorf("%d sends, %d failed: it is treated as idempotent", len(f.sent), len(f.fails))
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
		f := start(t, settings(), 4)
		c := settings().Classes[book]
		makeInvalid(&c)
		_, err := f.b.AddClass(c)
		if err == nil || !strings.Contains(err.Error(), want+":") {
			t.Errorf("%s: %v", want, err)
		}
		if len(f.b.classes) != 3 {
			t.Errorf("%s: %d classes after that", want, len(f.b.classes))
		}
		s := settings()
		s.Classes = append(s.Classes, c)
		if _, newErr := New(s, 7, f); newErr == nil || err != nil && newErr.Error() != err.Error() {
			t.Errorf("%s: New returns %v, AddClass %v", want, newErr, err)
		}
	}
}
