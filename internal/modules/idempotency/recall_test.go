package idempotency

import (
	"math/rand/v2"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

var here = Origin{Zone: "north", Cell: 3, Endpoint: "box-1"}

const keep = 10 * time.Second

// What is known of a request after each course of its attempts.
func TestWhatIsKnown(t *testing.T) {
	const ok, full, reset, moot, late = balancer.StatusOK, balancer.StatusRejected, balancer.StatusReset, balancer.StatusNotSent, balancer.StatusTimeout
	for _, x := range []struct {
		name          string
		ends          []balancer.Status
		unanswered    bool
		tells, served bool
		last          Change
	}{
		{"never ran", []balancer.Status{full}, false, false, false, DeleteEntry},
		{"never sent", []balancer.Status{moot, full}, false, false, false, DeleteEntry},
		{"may have run", []balancer.Status{reset}, false, true, false, NoChange},
		{"then never ran", []balancer.Status{late, full}, false, true, false, NoChange},
		{"served", []balancer.Status{ok}, false, true, true, PutEntry},
		{"served at last", []balancer.Status{full, reset, ok}, false, true, true, PutEntry},
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
				t.Errorf("%s: while it is out nothing is known", x.name)
			}
			_, last = m.EndAttempt(time.Second, id, s, !x.unanswered)
		}
		e, ok := m.Lookup(time.Second, id)
		if ok != x.tells || e.Served != x.served || last != x.last {
			t.Errorf("%s: %v %+v, last %v", x.name, ok, e, last)
		}
	}
}

// Two attempts of one key at a time, from two requests: what one proves says nothing of the other.
func TestTwoAtATime(t *testing.T) {
	m := NewTable(10)
	id := KeyedID("book", "k")
	m.BeginAttempt(0, id, "book", keep, here)
	if _, changed, _ := m.BeginAttempt(0, id, "book", keep, Origin{Cell: 9}); !changed {
		t.Error("the first one is not yet known to be durable, and the second did not wait")
	}
	m.MarkDurable(id)
	m.EndAttempt(0, id, balancer.StatusRejected, false)
	e, ok := m.Lookup(0, id)
	if !ok || e.Cell != here.Cell {
		t.Errorf("%+v %v", e, ok)
	}
	if _, changed, _ := m.BeginAttempt(0, id, "book", keep, here); changed {
		t.Error("it is durable, and was to be written again")
	}
	if _, c := m.EndAttempt(0, id, balancer.StatusRejected, false); c != NoChange {
		t.Error("one is still out")
	}
	if _, c := m.EndAttempt(0, id, balancer.StatusRejected, false); c != DeleteEntry || m.Len() != 0 {
		t.Errorf("none has run: %v, %d", c, m.Len())
	}
}

// It is forgotten in time, never before, and not while an attempt is out.
func TestForgetting(t *testing.T) {
	m := NewTable(2)
	a, b, c := KeyedID("book", "a"), RequestID("pay", "b"), KeyedID("book", "c")
	m.BeginAttempt(0, a, "book", keep, here)
	m.EndAttempt(0, a, balancer.StatusOK, true)
	m.BeginAttempt(time.Second, b, "pay", keep, here)
	if _, _, err := m.BeginAttempt(2*time.Second, c, "book", keep, here); err != ErrFull {
		t.Errorf("beyond the bound: %v", err)
	}
	if _, ok := m.Lookup(keep-1, a); !ok {
		t.Error("forgotten early")
	}
	if _, ok := m.Lookup(keep, a); ok {
		t.Error("not forgotten")
	}
	if _, ok := m.Lookup(time.Hour, b); !ok {
		t.Error("forgotten while it is out")
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
		if _, err := Decode(text[:n], 0, 0); err == nil {
			t.Errorf("%d of %d bytes were taken for an entry", n, len(text))
		}
	}
	text[0]++
	if _, err := Decode(text, 0, 0); err == nil {
		t.Error("another layout was read")
	}
	m := NewTable(1)
	id := KeyedID("book", "k")
	if err := m.Restore(id, got); err != nil {
		t.Fatal(err)
	}
	if x, ok := m.Lookup(time.Hour, id); !ok || !x.Served {
		t.Errorf("%+v %v", x, ok)
	}
	if m.Restore(KeyedID("book", "l"), got) != ErrFull {
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

// Random courses of many requests, with deaths in between: whatever may have run is known, whichever of the writes
// that nobody waited for reached the disk before a death.
func TestAnyCourse(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		type fate struct{ ran, out, served bool }
		fates := map[ID]*fate{}
		disk := map[ID][]byte{}
		m := NewTable(1000)
		now := time.Duration(0)
		for range 200 {
			id := KeyedID("book", string(rune('a'+rng.IntN(8))))
			f := fates[id]
			if f == nil {
				f = &fate{}
				fates[id] = f
			}
			switch {
			case rng.IntN(20) == 0: // a death
				m = NewTable(1000)
				for id, text := range disk {
					e, err := Decode(text, now, keep)
					if err != nil {
						t.Fatal(err)
					}
					m.Restore(id, e)
				}
				for _, f := range fates {
					f.ran, f.out = f.ran || f.out, false
				}
			case !f.out:
				e, changed, err := m.BeginAttempt(now, id, "book", time.Hour, here)
				if err != nil {
					t.Fatal(err)
				}
				if changed {
					disk[id] = e.Encode()
					m.MarkDurable(id)
				}
				f.out = true
			default:
				status := []balancer.Status{balancer.StatusOK, balancer.StatusRejected, balancer.StatusReset, balancer.StatusNotSent}[rng.IntN(4)]
				e, change := m.EndAttempt(now, id, status, true)
				f.out = false
				f.ran = f.ran || !status.NeverRan()
				f.served = f.served || status == balancer.StatusOK
				if rng.IntN(2) == 0 { // else it does not get there
					switch change {
					case PutEntry:
						disk[id] = e.Encode()
					case DeleteEntry:
						delete(disk, id)
					}
				}
			}
			for id, f := range fates {
				if e, known := m.Lookup(now, id); f.ran && !known || e.Served && !f.served {
					t.Fatalf("seed %d: %+v is known as %+v, %v", seed, f, e, known)
				}
			}
			now += time.Millisecond
		}
	}
}
