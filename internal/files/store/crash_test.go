package store_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// script is a run of changes that is the same every time: segments roll, a compaction comes about, records expire
// and go. It notes what was acknowledged after how much.
type script struct {
	acks []ack
}

type ack struct {
	units int // of the disk until then
	key   string
	value string // "" for a delete
}

var smallSegments = store.Options{SegmentBytes: 700, MaxBytes: 1 << 20}

// play runs n changes until one fails.
func (x *script) play(d *disk.Disk, o store.Options, n int) error {
	s, err := store.Open(d, o)
	if err != nil {
		return err
	}
	for i := range n {
		key := fmt.Sprintf("key-%d", i%7)
		value := ""
		if i%5 == 4 {
			err = s.Delete([]byte(key))
		} else {
			value = fmt.Sprintf("value-%d-%s", i, strings.Repeat("x", i%40))
			err = s.Put([]byte(key), []byte(value), 0)
		}
		if err != nil {
			break
		}
		x.acks = append(x.acks, ack{units: d.Units(), key: key, value: value})
	}
	return errors.Join(err, s.Close())
}

// checkContent checks that a store has what was acknowledged, and beyond that at most what was being written.
func (x *script) checkContent(tb testing.TB, s *store.Store, acked int, when string) {
	tb.Helper()
	want := map[string]string{}
	for _, a := range x.acks[:acked] {
		want[a.key] = a.value
	}
	withNext := maps.Clone(want)
	if acked < len(x.acks) {
		withNext[x.acks[acked].key] = x.acks[acked].value
	}
	for _, m := range []map[string]string{want, withNext} {
		maps.DeleteFunc(m, func(_, value string) bool { return value == "" })
	}
	if got := content(tb, s); !maps.Equal(got, want) && !maps.Equal(got, withNext) {
		tb.Fatalf("%s: it has %v, of %v", when, got, want)
	}
	if h := s.Health(); len(h.Damage) > 0 {
		tb.Fatalf("%s: taken for damaged: %v", when, h.Damage)
	}
}

// A run cut at every single byte that it writes, and at every change of a name.
func TestCutAtEveryByte(t *testing.T) {
	o := smallSegments
	o.Clock = newClock().now
	d, x := disk.New(), &script{}
	check(t, x.play(d, o, 120))
	if n := len(d.Files()); n > 12 {
		t.Fatalf("%d files: nothing was compacted, and nothing of that is tested", n)
	}
	acked := 0
	for u := range d.Units() + 1 {
		for acked < len(x.acks) && x.acks[acked].units <= u {
			acked++
		}
		at := d.CutAt(u)
		s := open(t, at, o)
		x.checkContent(t, s, acked, fmt.Sprintf("cut after %d", u))
		put(t, s, "after", "it") // it goes on
		closeStore(t, s)
		s = open(t, at, o)
		if got := content(t, s); got["after"] != "it" {
			t.Fatalf("cut after %d: what was written then is not there", u)
		}
		closeStore(t, s)
	}
}

// A run of batches cut at every single byte: of each batch all records are there or none.
func TestBatchCutAtEveryByte(t *testing.T) {
	const batches, perBatch = 5, 3
	o := store.Options{Clock: newClock().now}
	d := disk.New()
	s := open(t, d, o)
	for i := range batches {
		var b store.Batch
		for j := range perBatch {
			b.Put(fmt.Appendf(nil, "%d-%d", i, j), []byte("value"), 0)
		}
		check(t, s.ApplyAndWait(b))
	}
	closeStore(t, s)
	for u := range d.Units() + 1 {
		s := open(t, d.CutAt(u), o)
		got := content(t, s)
		closeStore(t, s)
		for i := range batches {
			found := 0
			for j := range perBatch {
				if _, ok := got[fmt.Sprintf("%d-%d", i, j)]; ok {
					found++
				}
			}
			if found != 0 && found != perBatch {
				t.Fatalf("cut after %d: %d of the %d records of batch %d", u, found, perBatch, i)
			}
		}
	}
}

// A record whose write was reported as failed is not believed, though it is complete in the file when the process restarts.
func TestFailedWriteIsNotBelieved(t *testing.T) {
	c := newClock()
	o := store.Options{Clock: c.now, MinBackoff: time.Millisecond}
	d := disk.New()
	s := open(t, d, o)
	put(t, s, "a", "1")
	d.FailSyncs(1)
	if err := s.Put([]byte("b"), []byte("2"), 0); !errors.Is(err, syscall.EIO) {
		t.Fatalf("the sync failed, and the error is %v", err)
	}
	c.pass(time.Second)
	put(t, s, "c", "3")
	crash(s, d)
	s = open(t, d.AfterCrash(), o)
	if got := content(t, s); !maps.Equal(got, map[string]string{"a": "1", "c": "3"}) {
		t.Errorf("%v", got)
	}
	closeStore(t, s)
}

// The power goes at each call that changes something, with anything left of what was not synced; then again while
// the store recovers.
func TestPowerLostAtEveryOperation(t *testing.T) {
	o := smallSegments
	o.Clock = newClock().now
	complete := &script{}
	d := disk.New()
	check(t, complete.play(d, o, 120))
	calls := d.Operations()
	for n := 1; n <= calls; n++ {
		for seed := range uint64(min(4, courses()/10)) {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			d, x := disk.New(), &script{}
			d.LosePowerAt(n, seed)
			_ = x.play(d, o, 120) // fails with the power
			acked := len(x.acks)
			x.acks = complete.acks
			left := d.AfterPowerLoss(rng)
			left.LosePowerAt(1+rng.IntN(8), seed) // while it is opened, or a little after
			tryOpen(left, o)
			s := open(t, left.AfterPowerLoss(rng), o)
			x.checkContent(t, s, acked, fmt.Sprintf("power lost at call %d, seed %d", n, seed))
			closeStore(t, s)
		}
	}
}

// After a failed sync nothing more is acknowledged on that file, though the next sync of it would say that all is
// well.
func TestFailedSync(t *testing.T) {
	c := newClock()
	o := store.Options{Clock: c.now, MinBackoff: time.Millisecond}
	d := disk.New()
	s := open(t, d, o)
	put(t, s, "a", "1")
	before := slices.Sorted(maps.Keys(d.Files()))
	d.FailSyncs(1)
	if err := s.Put([]byte("b"), []byte("2"), 0); !errors.Is(err, syscall.EIO) {
		t.Fatalf("the sync failed, and was told as %v", err)
	}
	if h := s.Health(); !errors.Is(h.Err, syscall.EIO) || h.Failures != 1 {
		t.Errorf("%+v", h)
	}
	if _, _, ok, _ := s.Get([]byte("b")); ok {
		t.Error("what was not acknowledged is seen")
	}
	c.pass(time.Second)
	put(t, s, "c", "3")
	if h := s.Health(); h.Err != nil {
		t.Errorf("it works again: %v", h.Err)
	}
	if after := slices.Sorted(maps.Keys(d.Files())); len(after) != len(before)+1 {
		t.Errorf("the file went on being used: %v, %v", before, after)
	}
	for seed := range uint64(20) {
		s := open(t, d.AfterPowerLoss(rand.New(rand.NewPCG(seed, 0))), o)
		got := content(t, s)
		if !maps.Equal(got, map[string]string{"a": "1", "c": "3"}) {
			t.Errorf("%v", got)
		}
		if h := s.Health(); len(h.Damage) > 0 {
			t.Errorf("%v", h.Damage)
		}
		closeStore(t, s)
	}
}

// fullDisk writes five records again and again to a disk that fills up.
type fullDisk struct {
	store *store.Store
	clock *testClock
	want  map[string]string // what was acknowledged
}

func (f *fullDisk) write(i int) error {
	key, value := fmt.Sprintf("k%d", i%5), fmt.Sprintf("%d-%s", i, strings.Repeat("y", 50))
	err := f.store.Put([]byte(key), []byte(value), 0)
	if err == nil {
		f.want[key] = value
	}
	return err
}

// writeSlowly is write for numbers up to n, with 10 ms after each. It returns the errors by number.
func (f *fullDisk) writeSlowly(n int) []error {
	errs := make([]error, n)
	for i := range n {
		errs[i] = f.write(i)
		f.clock.pass(10 * time.Millisecond)
	}
	return errs
}

// The disk fills up in the midst of a compaction, and is freed again.
func TestFullDisk(t *testing.T) {
	for capacity := 0; capacity < 1500; capacity += 50 {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) { testFullDisk(t, capacity) })
	}
}

func testFullDisk(t *testing.T, capacity int) {
	t.Helper()
	c := newClock()
	o := store.Options{
		SegmentBytes: 1000, MaxBytes: 1 << 20, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Clock: c.now,
	}
	d := disk.New()
	s := open(t, d, o)
	f := &fullDisk{store: s, clock: c, want: map[string]string{}}
	for i := range 25 {
		check(t, f.write(i))
	}
	d.SetCapacity(capacity)
	if errs := f.writeSlowly(60); errors.Join(errs...) == nil {
		t.Fatal("nothing failed, and nothing is tested")
	}
	if got := content(t, s); !maps.Equal(got, f.want) {
		t.Fatalf("full: %v and not %v", got, f.want)
	}
	d.SetCapacity(-1)
	errs := f.writeSlowly(60)
	if err := errors.Join(errs[1:]...); err != nil { // the first may come before the backoff has passed
		t.Fatalf("freed: %v", err)
	}
	closeStore(t, s)
	s = open(t, d.AfterPowerLoss(rand.New(rand.NewPCG(uint64(capacity), 0))), o)
	if got := content(t, s); !maps.Equal(got, f.want) {
		t.Fatalf("after: %v and not %v", got, f.want)
	}
	if size := s.Size(); size > 5000 {
		t.Errorf("%d bytes for five records", size)
	}
	closeStore(t, s)
}

// damagedDisk has a store of 20 records with a bit flipped in each of its first two segments, so that the second is hit after
// the first has been repaired.
func damagedDisk(t *testing.T, o store.Options) *disk.Disk {
	t.Helper()
	d := disk.New()
	s := open(t, d, o)
	for i := range 20 {
		put(t, s, fmt.Sprintf("k%02d", i), strings.Repeat(string(rune('a'+i)), 30))
	}
	d = d.AfterCrash()
	flipped := 0
	for _, name := range slices.Sorted(maps.Keys(d.Files())) {
		if strings.HasSuffix(name, ".seg") && flipped < 2 {
			d.FlipBit(name, 8*250)
			flipped++
		}
	}
	return d
}

func repair(d *disk.Disk, o store.Options) error {
	s, err := store.Open(d, o)
	if err != nil {
		return err
	}
	return errors.Join(s.Compact(), s.Close())
}

// The power goes at each call of a repair, and again while the store is opened after that: all that could be read
// before it can be read afterwards, what could not be is not believed, and the repair can be done again.
func TestPowerLostInRepair(t *testing.T) {
	o := store.Options{Clock: newClock().now, SegmentBytes: 500, MaxBytes: 1 << 20}
	s := open(t, damagedDisk(t, o), o)
	want, places := content(t, s), len(s.Health().Damage)
	closeStore(t, s)
	if places != 2 || len(want) >= 20 || len(want) < 16 {
		t.Fatalf("%d places are damaged, %d records left", places, len(want))
	}
	for n, lost := 1, true; lost; n++ {
		for seed := range uint64(min(8, courses())) {
			lost = testRepair(t, o, want, n, seed)
		}
	}
}

// testRepair loses the power at the nth call of a repair. It returns false where the repair was done before.
func testRepair(t *testing.T, o store.Options, want map[string]string, n int, seed uint64) (lost bool) {
	t.Helper()
	when := fmt.Sprintf("power lost at call %d, seed %d", n, seed)
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	d := damagedDisk(t, o)
	d.LosePowerAt(n, seed)
	lost = repair(d, o) != nil
	left := d.AfterPowerLoss(rng)
	left.LosePowerAt(1+rng.IntN(8), seed)
	tryOpen(left, o)
	left = left.AfterPowerLoss(rng)
	s := open(t, left, o)
	if got := content(t, s); !maps.Equal(got, want) {
		t.Fatalf("%s: %d records, %d before", when, len(got), len(want))
	}
	closeStore(t, s)
	if err := repair(left, o); err != nil {
		t.Fatalf("%s: again: %v", when, err)
	}
	s = open(t, left, o)
	if got := content(t, s); !maps.Equal(got, want) || len(s.Health().Damage) > 0 {
		t.Fatalf("%s: repaired: %d records, damage %v", when, len(got), s.Health().Damage)
	}
	closeStore(t, s)
	return lost
}
