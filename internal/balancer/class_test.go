package balancer

import (
	"strings"
	"testing"
	"time"
)

func TestClassAddedWhileRequestsAreInFlight(t *testing.T) {
	f := start(t, settings(), 4)
	f.ask(read)
	out := f.last()
	was := f.b.classes[read]
	for i := range 100 { // the list of classes moves in memory
		c := Class{Name: "late", LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1, Idempotency: NonIdempotent}
		if n, err := f.b.AddClass(c); err != nil || n != book+1+i {
			t.Fatalf("class %d, %v; want %d", n, err, book+1+i)
		}
	}
	f.end(out, StatusOK, 20*ms)
	if f.b.classes[read] != was || was.latency.windowSamples != 1 || was.onTime != 1 {
		t.Errorf("the answer went elsewhere: %+v", *was)
	}
	id := f.ask(book + 100)
	call := f.last()
	if call.id != id {
		t.Fatalf("a request of the class added last was not sent: %+v", call)
	}
	f.end(call, StatusError, 20*ms)
	if len(f.sent) != 2 || len(f.fails) != 1 {
		t.Errorf("%d sends, %d failed: it is taken for idempotent", len(f.sent), len(f.fails))
	}
}

func TestAddClassRejectsWhatNewWould(t *testing.T) {
	for want, spoil := range map[string]func(*Class){
		"classes[3].effect":   func(c *Class) { c.Idempotency = "maybe" },
		"classes[3].scope":    func(c *Class) { c.KeyScope = "planet" },
		"classes[3].aim":      func(c *Class) { c.LatencyTarget = -1 },
		"classes[3].deadline": func(c *Class) { c.Deadline = -1 },
		"classes[3].window":   func(c *Class) { c.KeyWindow = -1 },
	} {
		f := start(t, settings(), 4)
		c := settings().Classes[book]
		spoil(&c)
		_, err := f.b.AddClass(c)
		if err == nil || !strings.Contains(err.Error(), want+":") {
			t.Errorf("%s: %v", want, err)
		}
		if len(f.b.classes) != 3 {
			t.Errorf("%s: %d classes after that", want, len(f.b.classes))
		}
		s := settings()
		s.Classes = append(s.Classes, c)
		if _, old := New(s, 7, f); old == nil || err != nil && old.Error() != err.Error() {
			t.Errorf("%s: New says %v, AddClass %v", want, old, err)
		}
	}
}
