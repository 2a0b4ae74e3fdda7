package idempotency

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// here is where the attempts of the tests go.
var here = Origin{Zone: "north", Cell: 3, Endpoint: "box-1"}

// keep is for how long their requests are remembered.
const keep = 10 * time.Second

// begin begins an attempt that the table must have room for, and reports whether the entry has to be written.
func begin(t *testing.T, table *Table, now time.Duration, id ID, class string, to Origin) (changed bool) {
	t.Helper()
	e, changed, err := table.BeginAttempt(now, id, class, keep, to)
	if err != nil || e.Class != class {
		t.Fatalf("%+v %v", e, err)
	}
	return changed
}

// What is known of a request after each course of its attempts.
func TestWhatIsKnown(t *testing.T) {
	const ok, rejected, reset, notSent, timeout = balancer.StatusOK, balancer.StatusRejected, balancer.StatusReset, balancer.StatusNotSent, balancer.StatusTimeout
	for _, x := range []struct {
		name          string
		ends          []balancer.Status
		unanswered    bool
		known, served bool
		last          Change
	}{
		{"never ran", []balancer.Status{rejected}, false, false, false, DeleteEntry},
		{"never sent", []balancer.Status{notSent, rejected}, false, false, false, DeleteEntry},
		{"may have run", []balancer.Status{reset}, false, true, false, NoChange},
		{"then never ran", []balancer.Status{timeout, rejected}, false, true, false, NoChange},
		{"served", []balancer.Status{ok}, false, true, true, PutEntry},
		{"served at last", []balancer.Status{rejected, reset, ok}, false, true, true, PutEntry},
		{"ran, and nobody was there for the answer", []balancer.Status{ok}, true, true, false, NoChange},
	} {
		m := NewTable(10)
		id := KeyedID("book", "k")
		var last Change
		for _, s := range x.ends {
			e, changed, err := m.BeginAttempt(time.Second, id, "book", keep, here)
			if err != nil || !changed || e.Origin != here {
				t.Fatalf("%s: before: %+v %v %v", x.name, e, changed, err)
			}
			if _, ok := m.Lookup(time.Second, id); !ok {
				t.Errorf("%s: while it is in flight nothing is known", x.name)
			}
			_, last = m.EndAttempt(time.Second, id, s, !x.unanswered)
		}
		e, ok := m.Lookup(time.Second, id)
		if ok != x.known || e.Served != x.served || last != x.last {
			t.Errorf("%s: %v %+v, last %v", x.name, ok, e, last)
		}
	}
}

// Two attempts of one key at a time, from two requests: what one proves says nothing of the other.
func TestTwoAtATime(t *testing.T) {
	m := NewTable(10)
	id := KeyedID("book", "k")
	begin(t, m, 0, id, "book", here)
	if !begin(t, m, 0, id, "book", Origin{Cell: 9}) {
		t.Error("the first one is not yet known to be durable, and the second did not wait")
	}
	m.MarkDurable(id)
	m.EndAttempt(0, id, balancer.StatusRejected, false)
	e, ok := m.Lookup(0, id)
	if !ok || e.Cell != here.Cell {
		t.Errorf("%+v %v", e, ok)
	}
	if begin(t, m, 0, id, "book", here) {
		t.Error("it is durable, and was to be written again")
	}
	if _, c := m.EndAttempt(0, id, balancer.StatusRejected, false); c != NoChange {
		t.Error("one is still in flight")
	}
	if _, c := m.EndAttempt(0, id, balancer.StatusRejected, false); c != DeleteEntry || m.Len() != 0 {
		t.Errorf("none has run: %v, %d", c, m.Len())
	}
}

// It is forgotten in time, never before, and not while an attempt is in flight.
func TestForgetting(t *testing.T) {
	m := NewTable(2)
	a, b, c := KeyedID("book", "a"), RequestID("pay", "b"), KeyedID("book", "c")
	begin(t, m, 0, a, "book", here)
	m.EndAttempt(0, a, balancer.StatusOK, true)
	begin(t, m, time.Second, b, "pay", here)
	if _, _, err := m.BeginAttempt(2*time.Second, c, "book", keep, here); !errors.Is(err, ErrFull) {
		t.Errorf("beyond the bound: %v", err)
	}
	if _, ok := m.Lookup(keep-1, a); !ok {
		t.Error("forgotten early")
	}
	if _, ok := m.Lookup(keep, a); ok {
		t.Error("not forgotten")
	}
	if _, ok := m.Lookup(time.Hour, b); !ok {
		t.Error("forgotten while it is in flight")
	}
	if _, _, err := m.BeginAttempt(time.Hour, c, "book", keep, here); err != nil {
		t.Error(err)
	}
}

// What is kept is read back as it was, with its age; anything else is refused.
func TestEncoding(t *testing.T) {
	e := Entry{Class: "book", Origin: here, Served: true, Retention: keep}
	text := e.Encode()
	got, err := Decode(text, time.Hour, 4*time.Second)
	if err != nil || got.Class != e.Class || got.Origin != here || !got.Served || got.Retention != keep || got.SentAt != time.Hour-6*time.Second {
		t.Errorf("%+v %v", got, err)
	}
	for n := range text {
		if _, err := Decode(text[:n], 0, 0); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("%d of %d bytes: %v", n, len(text), err)
		}
	}
	text[0]++
	if _, err := Decode(text, 0, 0); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("another layout: %v", err)
	}
	m := NewTable(1)
	id := KeyedID("book", "k")
	if err := m.Restore(id, got); err != nil {
		t.Fatal(err)
	}
	if x, ok := m.Lookup(time.Hour, id); !ok || !x.Served {
		t.Errorf("%+v %v", x, ok)
	}
	if err := m.Restore(KeyedID("book", "l"), got); !errors.Is(err, ErrFull) {
		t.Error("no bound")
	}
	if _, ok := m.Lookup(time.Hour+4*time.Second, id); ok {
		t.Error("it outlives its time after a restart")
	}
}

func FuzzDecode(f *testing.F) {
	e := Entry{Class: "book", Origin: here, Retention: keep}
	f.Add(e.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := Decode(b, time.Hour, 0)
		if err != nil {
			return
		}
		if again, err := Decode(e.Encode(), time.Hour, 0); err != nil || again != e {
			t.Errorf("%+v %+v %v", e, again, err)
		}
	})
}

// IDs tell classes, keys and sorts apart.
func TestIDs(t *testing.T) {
	seen := map[ID]bool{KeyedID("ab", "c"): true, KeyedID("a", "bc"): true, RequestID("ab", "c"): true, KeyedID("ab", "d"): true}
	if len(seen) != 4 {
		t.Error("two are one")
	}
}

// fate is what has become of a request.
type fate struct{ ran, inFlight, served bool }

// course is a sidecar's table with its disk over several incarnations, and what has become of the requests.
type course struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	table *Table
	disk  map[ID][]byte
	fates map[ID]*fate
}

// restart has the sidecar die, and the next one begin with what is on disk.
func (c *course) restart() {
	c.t.Helper()
	c.table = NewTable(1000)
	for id, text := range c.disk {
		e, err := Decode(text, c.now, keep)
		if err != nil {
			c.t.Fatal(err)
		}
		if err := c.table.Restore(id, e); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, f := range c.fates {
		f.ran, f.inFlight = f.ran || f.inFlight, false
	}
}

// begin begins an attempt.
func (c *course) begin(id ID, f *fate) {
	c.t.Helper()
	e, changed, err := c.table.BeginAttempt(c.now, id, "book", time.Hour, here)
	if err != nil {
		c.t.Fatal(err)
	}
	if changed {
		c.disk[id] = e.Encode()
		c.table.MarkDurable(id)
	}
	f.inFlight = true
}

// end ends an attempt. What changes on disk may get there or not.
func (c *course) end(id ID, f *fate) {
	status := []balancer.Status{
		balancer.StatusOK, balancer.StatusRejected, balancer.StatusReset, balancer.StatusNotSent,
	}[c.rng.IntN(4)]
	e, change := c.table.EndAttempt(c.now, id, status, true)
	f.inFlight = false
	f.ran = f.ran || !status.NeverRan()
	f.served = f.served || status == balancer.StatusOK
	if c.rng.IntN(2) == 1 {
		return
	}
	switch change {
	case NoChange:
	case PutEntry:
		c.disk[id] = e.Encode()
	case DeleteEntry:
		delete(c.disk, id)
	}
}

// check checks that whatever may have run is known, and nothing else to be served.
func (c *course) check(seed uint64) {
	c.t.Helper()
	for id, f := range c.fates {
		e, known := c.table.Lookup(c.now, id)
		if f.ran && !known || e.Served && !f.served {
			c.t.Fatalf("seed %d: %+v is known as %+v, %v", seed, f, e, known)
		}
	}
}

// Random courses of many requests, with deaths in between: whatever may have run is known, whichever of the writes
// that nobody waited for reached the disk before a death.
func TestAnyCourse(t *testing.T) {
	for seed := range uint64(200) {
		c := &course{
			t: t, rng: rand.New(rand.NewPCG(seed, 1)), table: NewTable(1000), disk: map[ID][]byte{}, fates: map[ID]*fate{},
		}
		for range 200 {
			id := KeyedID("book", string(rune('a'+c.rng.IntN(8))))
			f := c.fates[id]
			if f == nil {
				f = &fate{}
				c.fates[id] = f
			}
			switch {
			case c.rng.IntN(20) == 0:
				c.restart()
			case !f.inFlight:
				c.begin(id, f)
			default:
				c.end(id, f)
			}
			c.check(seed)
			c.now += time.Millisecond
		}
	}
}
