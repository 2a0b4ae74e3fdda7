package balancer

import (
	"strings"
	"testing"
	"time"
)

func TestClassAddedWhileRequestsAreOut(t *testing.T) {
	d := start(t, settings(), 4)
	d.ask(read)
	out := d.last()
	was := d.b.classes[read]
	for i := range 100 { // the list of classes moves in memory
		c := Class{Name: "late", LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 1, Idempotency: NonIdempotent}
		if n, err := d.b.AddClass(c); err != nil || n != book+1+i {
			t.Fatalf("class %d, %v; want %d", n, err, book+1+i)
		}
	}
	d.end(out, StatusOK, 20*ms)
	if d.b.classes[read] != was || was.latency.windowSamples != 1 || was.onTime != 1 {
		t.Errorf("the answer went elsewhere: %+v", *was)
	}
	id := d.ask(book + 100)
	call := d.last()
	if call.id != id {
		t.Fatalf("a request of the class added last was not sent: %+v", call)
	}
	d.end(call, StatusError, 20*ms)
	if len(d.sent) != 2 || len(d.fails) != 1 {
		t.Errorf("%d sends, %d failed: it is not taken for unsafe", len(d.sent), len(d.fails))
	}
}

func TestAddClassRefusesWhatNewWould(t *testing.T) {
	for want, spoil := range map[string]func(*Class){
		"classes[3].effect":   func(c *Class) { c.Idempotency = "maybe" },
		"classes[3].scope":    func(c *Class) { c.KeyScope = "planet" },
		"classes[3].aim":      func(c *Class) { c.LatencyTarget = -1 },
		"classes[3].deadline": func(c *Class) { c.Deadline = -1 },
		"classes[3].window":   func(c *Class) { c.KeyWindow = -1 },
	} {
		d := start(t, settings(), 4)
		c := settings().Classes[book]
		spoil(&c)
		_, err := d.b.AddClass(c)
		if err == nil || !strings.Contains(err.Error(), want+":") {
			t.Errorf("%s: %v", want, err)
		}
		if len(d.b.classes) != 3 {
			t.Errorf("%s: %d classes after that", want, len(d.b.classes))
		}
		s := settings()
		s.Classes = append(s.Classes, c)
		if _, old := New(s, 7, d); old == nil || err != nil && old.Error() != err.Error() {
			t.Errorf("%s: New says %v, AddClass %v", want, old, err)
		}
	}
}
