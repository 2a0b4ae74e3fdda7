package idempotency

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"quincegap/internal/balancer"
)

// testOrigin is where the attempts of the tests are sent.
var testOrigin = Origin{Zone: "north", Cell: 3, Endpoint: "s-1"}

// testRetention is the retention of the entries in the tests.
const testRetention = 10 * time.Second

// begin calls BeginAttempt, which must succeed, and reports whether the entry has to be written.
func begin(t *testing.T, table *Table, now time.Duration, id ID, class string, to Origin) (changed bool) {
	t.Helper()
	entry, changed, err := table.BeginAttempt(now, id, class, testRetention, to)
	if err != nil || entry.Class != class {
		t.Fatalf("BeginAttempt returned %+v and the error %v, want an entry of class %s", entry, err, class)
	}
	return changed
}

// The attempts of a request end one after the other. Their outcomes determine whether the request counts as one that may have run.
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
			entry, changed, err := table.BeginAttempt(time.Second, id, "book", testRetention, testOrigin)
			if err != nil || !changed || entry.Origin != testOrigin {
				t.Fatalf("%s: BeginAttempt returned %+v, changed %v, error %v, want an unsaved entry with the origin %+v",
					test.name, entry, changed, err, testOrigin)
			}
			if _, ok := table.Lookup(time.Second, id); !ok {
				t.Errorf("%s: Lookup does not find the request while an attempt is in flight", test.name)
			}
			_, last = table.EndAttempt(id, status, !test.unanswered)
		}
		entry, ok := table.Lookup(time.Second, id)
		if ok != test.known || entry.Served != test.served || last != test.last {
			t.Errorf("%s: known %v, entry %+v, last change %v, want known %v, served %v, last change %v",
				test.name, ok, entry, last, test.known, test.served, test.last)
		}
	}
}

// Two requests with the same key have attempts in flight at the same time. The outcome of one says nothing about the other.
func TestTwoAttemptsInFlight(t *testing.T) {
	table := NewTable(10)
	id := KeyedID("book", "k")
	begin(t, table, 0, id, "book", testOrigin)
	if !begin(t, table, 0, id, "book", Origin{Cell: 9}) {
		t.Error("the entry is not durable yet, but the second attempt does not have to wait for it")
	}
	table.MarkDurable(id)
	table.EndAttempt(id, balancer.StatusRejected, false)
	entry, ok := table.Lookup(0, id)
	if !ok || entry.Cell != testOrigin.Cell {
		t.Errorf("Lookup returned %+v, %v, want an entry with the cell %d of the first attempt", entry, ok, testOrigin.Cell)
	}
	if begin(t, table, 0, id, "book", testOrigin) {
		t.Error("the entry is durable, but has to be written again")
	}
	if _, change := table.EndAttempt(id, balancer.StatusRejected, false); change != NoChange {
		t.Errorf("EndAttempt returned the change %v while another attempt is in flight, want none", change)
	}
	if _, change := table.EndAttempt(id, balancer.StatusRejected, false); change != DeleteEntry || table.Len() != 0 {
		t.Errorf("after all attempts were rejected: change %v and %d entries, want %v and 0", change, table.Len(), DeleteEntry)
	}
}

// An entry expires at the end of its retention, not before, and not while an attempt is in flight.
func TestExpiry(t *testing.T) {
	table := NewTable(2)
	first, second, third := KeyedID("book", "a"), RequestID("pay", "b"), KeyedID("book", "c")
	begin(t, table, 0, first, "book", testOrigin)
	table.EndAttempt(first, balancer.StatusOK, true)
	begin(t, table, time.Second, second, "pay", testOrigin)
	if _, _, err := table.BeginAttempt(2*time.Second, third, "book", testRetention, testOrigin); !errors.Is(err, ErrFull) {
		t.Errorf("BeginAttempt with a full table: got error %v, want ErrFull", err)
	}
	if _, ok := table.Lookup(testRetention-1, first); !ok {
		t.Error("the entry expired before the end of its retention")
	}
	if _, ok := table.Lookup(testRetention, first); ok {
		t.Error("the entry did not expire at the end of its retention")
	}
	if _, ok := table.Lookup(time.Hour, second); !ok {
		t.Error("the entry expired while an attempt is in flight")
	}
	if _, _, err := table.BeginAttempt(time.Hour, third, "book", testRetention, testOrigin); err != nil {
		t.Errorf("BeginAttempt after an entry has expired: %v", err)
	}
}

// Decode returns the entry that was encoded, with its age. Truncated entries and entries of another version are errors.
func TestEncoding(t *testing.T) {
	entry := Entry{Class: "book", Origin: testOrigin, Served: true, Retention: testRetention}
	encoded := entry.Encode()
	got, err := Decode(encoded, time.Hour, 4*time.Second)
	if err != nil || got.Class != entry.Class || got.Origin != testOrigin || !got.Served {
		t.Errorf("Decode returned %+v and the error %v, want %+v", got, err, entry)
	}
	if got.Retention != testRetention || got.SentAt != time.Hour-6*time.Second {
		t.Errorf("decoded retention %v and SentAt %v, want %v and %v", got.Retention, got.SentAt, testRetention, time.Hour-6*time.Second)
	}
	for n := range encoded {
		if _, err := Decode(encoded[:n], 0, 0); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("Decode of %d of %d bytes: got error %v, want ErrTruncated or ErrUnknownFormat", n, len(encoded), err)
		}
	}
	encoded[0]++
	if _, err := Decode(encoded, 0, 0); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("Decode of another version: got error %v, want ErrUnknownFormat", err)
	}
	table := NewTable(1)
	id := KeyedID("book", "k")
	if err := table.Restore(id, got); err != nil {
		t.Fatal(err)
	}
	if restored, ok := table.Lookup(time.Hour, id); !ok || !restored.Served {
		t.Errorf("Lookup after Restore returned %+v, %v, want a served entry", restored, ok)
	}
	if err := table.Restore(KeyedID("book", "l"), got); !errors.Is(err, ErrFull) {
		t.Error("Restore to a full table did not return ErrFull")
	}
	if _, ok := table.Lookup(time.Hour+4*time.Second, id); ok {
		t.Error("a restored entry did not expire at the end of its retention")
	}
}

func FuzzDecode(f *testing.F) {
	entry := Entry{Class: "book", Origin: testOrigin, Retention: testRetention}
	f.Add(entry.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		entry, err := Decode(b, time.Hour, 0)
		if err != nil {
			return
		}
		if again, err := Decode(entry.Encode(), time.Hour, 0); err != nil || again != entry {
			t.Errorf("decoded again after Encode: got %+v and the error %v, want %+v", again, err, entry)
		}
	})
}

// IDs of different classes, keys or kinds of digest differ.
func TestIDs(t *testing.T) {
	seen := map[ID]bool{KeyedID("ab", "c"): true, KeyedID("a", "bc"): true, RequestID("ab", "c"): true, KeyedID("ab", "d"): true}
	if len(seen) != 4 {
		t.Errorf("%d different IDs, want 4", len(seen))
	}
}

// actualOutcome is what has actually happened to a request.
type actualOutcome struct{ ran, inFlight, served bool }

// model is a sidecar's table with its disk, over several processes, and the actual outcomes of the requests.
type model struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	table    *Table
	disk     map[ID][]byte
	outcomes map[ID]*actualOutcome
}

// restart simulates a crash: it replaces the table with one that is restored from the disk.
func (m *model) restart() {
	m.t.Helper()
	m.table = NewTable(1000)
	for id, encoded := range m.disk {
		entry, err := Decode(encoded, m.now, testRetention)
		if err != nil {
			m.t.Fatal(err)
		}
		if err := m.table.Restore(id, entry); err != nil {
			m.t.Fatal(err)
		}
	}
	for _, outcome := range m.outcomes {
		outcome.ran, outcome.inFlight = outcome.ran || outcome.inFlight, false
	}
}

// begin begins an attempt and writes its entry to the disk if necessary.
func (m *model) begin(id ID, outcome *actualOutcome) {
	m.t.Helper()
	entry, changed, err := m.table.BeginAttempt(m.now, id, "book", time.Hour, testOrigin)
	if err != nil {
		m.t.Fatal(err)
	}
	if changed {
		m.disk[id] = entry.Encode()
		m.table.MarkDurable(id)
	}
	outcome.inFlight = true
}

// end ends an attempt with a random outcome. The change reaches the disk or not, at random.
func (m *model) end(id ID, outcome *actualOutcome) {
	status := []balancer.Status{
		balancer.StatusOK, balancer.StatusRejected, balancer.StatusReset, balancer.StatusNotSent,
	}[m.rng.IntN(4)]
	entry, change := m.table.EndAttempt(id, status, true)
	outcome.inFlight = false
	outcome.ran = outcome.ran || !status.NeverRan()
	outcome.served = outcome.served || status == balancer.StatusOK
	if m.rng.IntN(2) == 1 {
		return
	}
	switch change {
	case NoChange:
	case PutEntry:
		m.disk[id] = entry.Encode()
	case DeleteEntry:
		delete(m.disk, id)
	}
}

// check checks that each request that has run is known, and that no request counts as served that was not.
func (m *model) check(seed uint64) {
	m.t.Helper()
	for id, outcome := range m.outcomes {
		entry, known := m.table.Lookup(m.now, id)
		if outcome.ran && !known || entry.Served && !outcome.served {
			m.t.Fatalf("seed %d: a request with the actual outcome %+v is in the table as %+v, known %v", seed, outcome, entry, known)
		}
	}
}

// Requests have random outcomes, with crashes in between. Each request that may have run is known, whichever of the writes that the
// caller does not wait for reached the disk before a crash.
func TestRandomOutcomes(t *testing.T) {
	for seed := range uint64(200) {
		model := &model{
			t: t, rng: rand.New(rand.NewPCG(seed, 1)), table: NewTable(1000), disk: map[ID][]byte{}, outcomes: map[ID]*actualOutcome{},
		}
		for range 200 {
			id := KeyedID("book", string(rune('a'+model.rng.IntN(8))))
			outcome := model.outcomes[id]
			if outcome == nil {
				outcome = &actualOutcome{}
				model.outcomes[id] = outcome
			}
			switch {
			case model.rng.IntN(20) == 0:
				model.restart()
			case !outcome.inFlight:
				model.begin(id, outcome)
			default:
				model.end(id, outcome)
			}
			model.check(seed)
			model.now += time.Millisecond
		}
	}
}

// boundModel fills a table to its bound and beyond, and knows what the table must retain.
type boundModel struct {
	t        *testing.T
	table    *Table
	now      time.Duration
	retained map[ID]time.Duration // end of the retention of each request that was begun
	inFlight map[ID]int
}

// step begins or ends an attempt of a request, or lets time pass.
func (b *boundModel) step(random *rand.Rand) {
	b.t.Helper()
	id := KeyedID("book", strconv.Itoa(random.IntN(12)))
	switch random.IntN(3) {
	case 0:
		b.begin(id)
	case 1:
		if b.inFlight[id] > 0 {
			b.inFlight[id]--
			b.table.EndAttempt(id, balancer.StatusReset, false) // may have run
		}
	case 2:
		b.now += time.Duration(random.IntN(int(testRetention / 4)))
	}
}

// begin begins an attempt, and checks that it fails only if the table is full of entries that must be retained.
func (b *boundModel) begin(id ID) {
	b.t.Helper()
	_, known := b.table.Lookup(b.now, id)
	_, _, err := b.table.BeginAttempt(b.now, id, "book", testRetention, testOrigin)
	if err == nil {
		b.inFlight[id]++
		if !known {
			b.retained[id] = b.now + testRetention
		}
		return
	}
	needed := 0
	for other, end := range b.retained {
		if b.now < end || b.inFlight[other] > 0 || b.table.entries[other] != nil {
			needed++
		}
	}
	if known || needed < b.table.maxEntries {
		b.t.Fatalf("%v for a request that is known: %v, while %d entries are needed", err, known, needed)
	}
}

// check checks the size of the table, and that it knows each request that it must retain.
func (b *boundModel) check(when string) {
	b.t.Helper()
	if n := b.table.Len(); n > b.table.maxEntries || b.table.expirations.Len() != n {
		b.t.Fatalf("%s: %d entries and %d expirations, want %d at most", when, n, b.table.expirations.Len(), b.table.maxEntries)
	}
	for id, end := range b.retained {
		if _, known := b.table.Lookup(b.now, id); !known && (b.now < end || b.inFlight[id] > 0) {
			b.t.Fatalf("%s: a request is unknown at %v, %d in flight, retained until %v", when, b.now, b.inFlight[id], end)
		}
	}
}

// A table that is filled to its bound and beyond, while entries expire with and without attempts in flight, is full only if no entry could
// have been removed, and forgets no request that may have run before its retention has ended.
func TestTableStaysWithinItsBound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 58))
		model := &boundModel{t: t, table: NewTable(5), retained: map[ID]time.Duration{}, inFlight: map[ID]int{}}
		for step := range 300 {
			model.step(random)
			model.check(fmt.Sprintf("seed %d, step %d", seed, step))
		}
	}
}
