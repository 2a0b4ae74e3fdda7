package idempotency

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// here is where the attempts of the tests are sent.
var here = Origin{Zone: "north", Cell: 3, Endpoint: "s-1"}

// keep is the retention of their entries.
const keep = 10 * time.Second

// begin begins an attempt, for which the table must have room, and reports whether the entry has to be written.
func begin(t *testing.T, table *Table, now time.Duration, id ID, class string, to Origin) (changed bool) {
	t.Helper()
	e, changed, err := table.BeginAttempt(now, id, class, keep, to)
	if err != nil || e.Class != class {
		t.Fatalf("%+v %v", e, err)
	}
	return changed
}

// The entry of a request after some outcomes of its attempts, one after the other.
func TestEntryAfterOutcomes(t *testing.T) {
	const (
		ok       = balancer.StatusOK
		rejected = balancer.StatusRejected
		reset    = balancer.StatusReset
		notSent  = balancer.StatusNotSent
		timeout  = balancer.StatusTimeout
	)
	for _, test := range []struct {
		name          string
		outcomes      []balancer.Status
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
		{"ran, and the caller had gone", []balancer.Status{ok}, true, true, false, NoChange},
	} {
		table := NewTable(10)
		id := KeyedID("book", "k")
		var last Change
		for _, status := range test.outcomes {
			e, changed, err := table.BeginAttempt(time.Second, id, "book", keep, here)
			if err != nil || !changed || e.Origin != here {
				t.Fatalf("%s: before: %+v %v %v", test.name, e, changed, err)
			}
			if _, ok := table.Lookup(time.Second, id); !ok {
				t.Errorf("%s: unknown while it is in flight", test.name)
			}
			_, last = table.EndAttempt(id, status, !test.unanswered)
		}
		e, ok := table.Lookup(time.Second, id)
		if ok != test.known || e.Served != test.served || last != test.last {
			t.Errorf("%s: %v %+v, last %v", test.name, ok, e, last)
		}
	}
}

// Two requests with the same key have attempts in flight at once: the outcome of one proves nothing about the other.
func TestTwoAttemptsInFlight(t *testing.T) {
	table := NewTable(10)
	id := KeyedID("book", "k")
	begin(t, table, 0, id, "book", here)
	if !begin(t, table, 0, id, "book", Origin{Cell: 9}) {
		t.Error("the entry is not yet durable, and the second attempt need not wait")
	}
	table.MarkDurable(id)
	table.EndAttempt(id, balancer.StatusRejected, false)
	e, ok := table.Lookup(0, id)
	if !ok || e.Cell != here.Cell {
		t.Errorf("%+v %v", e, ok)
	}
	if begin(t, table, 0, id, "book", here) {
		t.Error("the entry is durable, and has to be written again")
	}
	if _, c := table.EndAttempt(id, balancer.StatusRejected, false); c != NoChange {
		t.Error("an attempt is still in flight")
	}
	if _, c := table.EndAttempt(id, balancer.StatusRejected, false); c != DeleteEntry || table.Len() != 0 {
		t.Errorf("no attempt has run: %v, %d", c, table.Len())
	}
}

// An entry expires after its retention, not before, and not while an attempt is in flight.
func TestExpiry(t *testing.T) {
	table := NewTable(2)
	first, second, third := KeyedID("book", "a"), RequestID("pay", "b"), KeyedID("book", "c")
	begin(t, table, 0, first, "book", here)
	table.EndAttempt(first, balancer.StatusOK, true)
	begin(t, table, time.Second, second, "pay", here)
	if _, _, err := table.BeginAttempt(2*time.Second, third, "book", keep, here); !errors.Is(err, ErrFull) {
		t.Errorf("beyond the bound: %v", err)
	}
	if _, ok := table.Lookup(keep-1, first); !ok {
		t.Error("expired early")
	}
	if _, ok := table.Lookup(keep, first); ok {
		t.Error("not expired")
	}
	if _, ok := table.Lookup(time.Hour, second); !ok {
		t.Error("expired while an attempt is in flight")
	}
	if _, _, err := table.BeginAttempt(time.Hour, third, "book", keep, here); err != nil {
		t.Error(err)
	}
}

// An encoded entry is decoded as it was, with its age. Anything else is an error.
func TestEncoding(t *testing.T) {
	e := Entry{Class: "book", Origin: here, Served: true, Retention: keep}
	text := e.Encode()
	got, err := Decode(text, time.Hour, 4*time.Second)
	if err != nil || got.Class != e.Class || got.Origin != here || !got.Served {
		t.Errorf("%+v %v", got, err)
	}
	if got.Retention != keep || got.SentAt != time.Hour-6*time.Second {
		t.Errorf("kept for %v, sent at %v", got.Retention, got.SentAt)
	}
	for n := range text {
		if _, err := Decode(text[:n], 0, 0); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("%d of %d bytes: %v", n, len(text), err)
		}
	}
	text[0]++
	if _, err := Decode(text, 0, 0); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("another version: %v", err)
	}
	table := NewTable(1)
	id := KeyedID("book", "k")
	if err := table.Restore(id, got); err != nil {
		t.Fatal(err)
	}
	if x, ok := table.Lookup(time.Hour, id); !ok || !x.Served {
		t.Errorf("%+v %v", x, ok)
	}
	if err := table.Restore(KeyedID("book", "l"), got); !errors.Is(err, ErrFull) {
		t.Error("no bound")
	}
	if _, ok := table.Lookup(time.Hour+4*time.Second, id); ok {
		t.Error("it does not expire after a restart")
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

// IDs differ by class, by key and by kind.
func TestIDs(t *testing.T) {
	seen := map[ID]bool{KeyedID("ab", "c"): true, KeyedID("a", "bc"): true, RequestID("ab", "c"): true, KeyedID("ab", "d"): true}
	if len(seen) != 4 {
		t.Error("two IDs are equal")
	}
}

// fate is what has truly happened to a request.
type fate struct{ ran, inFlight, served bool }

// model is a sidecar's table with its disk, over several processes, and the true fates of the requests.
type model struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	table *Table
	disk  map[ID][]byte
	fates map[ID]*fate
}

// restart replaces the table by one that is restored from the disk.
func (m *model) restart() {
	m.t.Helper()
	m.table = NewTable(1000)
	for id, text := range m.disk {
		e, err := Decode(text, m.now, keep)
		if err != nil {
			m.t.Fatal(err)
		}
		if err := m.table.Restore(id, e); err != nil {
			m.t.Fatal(err)
		}
	}
	for _, f := range m.fates {
		f.ran, f.inFlight = f.ran || f.inFlight, false
	}
}

// begin begins an attempt.
func (m *model) begin(id ID, f *fate) {
	m.t.Helper()
	e, changed, err := m.table.BeginAttempt(m.now, id, "book", time.Hour, here)
	if err != nil {
		m.t.Fatal(err)
	}
	if changed {
		m.disk[id] = e.Encode()
		m.table.MarkDurable(id)
	}
	f.inFlight = true
}

// end ends an attempt. The change may reach the disk or not.
func (m *model) end(id ID, f *fate) {
	status := []balancer.Status{
		balancer.StatusOK, balancer.StatusRejected, balancer.StatusReset, balancer.StatusNotSent,
	}[m.rng.IntN(4)]
	e, change := m.table.EndAttempt(id, status, true)
	f.inFlight = false
	f.ran = f.ran || !status.NeverRan()
	f.served = f.served || status == balancer.StatusOK
	if m.rng.IntN(2) == 1 {
		return
	}
	switch change {
	case NoChange:
	case PutEntry:
		m.disk[id] = e.Encode()
	case DeleteEntry:
		delete(m.disk, id)
	}
}

// check checks that each request that has run is known, and that none counts as served that was not.
func (m *model) check(seed uint64) {
	m.t.Helper()
	for id, f := range m.fates {
		e, known := m.table.Lookup(m.now, id)
		if f.ran && !known || e.Served && !f.served {
			m.t.Fatalf("seed %d: %+v is known as %+v, %v", seed, f, e, known)
		}
	}
}

// Random outcomes of many requests, with crashes in between: each request that may have run is known, whichever of the writes that
// need not be waited for reached the disk before a crash.
func TestRandomOutcomes(t *testing.T) {
	for seed := range uint64(200) {
		model := &model{
			t: t, rng: rand.New(rand.NewPCG(seed, 1)), table: NewTable(1000), disk: map[ID][]byte{}, fates: map[ID]*fate{},
		}
		for range 200 {
			id := KeyedID("book", string(rune('a'+model.rng.IntN(8))))
			f := model.fates[id]
			if f == nil {
				f = &fate{}
				model.fates[id] = f
			}
			switch {
			case model.rng.IntN(20) == 0:
				model.restart()
			case !f.inFlight:
				model.begin(id, f)
			default:
				model.end(id, f)
			}
			model.check(seed)
			model.now += time.Millisecond
		}
	}
}
