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

// workload is a sequence of changes that is the same at each play: it rotates segments, causes a compaction, and deletes records. It
// remembers the changes that were acknowledged.
type workload struct {
	acknowledged []change
}

// change is an acknowledged change.
type change struct {
	units int // of the disk until the change was acknowledged: see disk.Disk.Units
	key   string
	value string // "" for a deletion
}

var smallSegments = store.Options{SegmentBytes: 700, MaxBytes: 1 << 20}

// play makes n changes, or fewer if one fails.
func (w *workload) play(testDisk *disk.Disk, options store.Options, n int) error {
	kv, err := store.Open(testDisk, options)
	if err != nil {
		return err
	}
	for i := range n {
		key := fmt.Sprintf("key-%d", i%7)
		value := ""
		if i%5 == 4 {
			err = kv.Delete([]byte(key))
		} else {
			value = fmt.Sprintf("value-%d-%s", i, strings.Repeat("x", i%40))
			err = kv.Put([]byte(key), []byte(value), 0)
		}
		if err != nil {
			break
		}
		w.acknowledged = append(w.acknowledged, change{units: testDisk.Units(), key: key, value: value})
	}
	return errors.Join(err, kv.Close())
}

// checkContent checks that a store has the first n changes, and of the others at most the next one.
func (w *workload) checkContent(tb testing.TB, kv *store.Store, n int, when string) {
	tb.Helper()
	want := map[string]string{}
	for _, c := range w.acknowledged[:n] {
		want[c.key] = c.value
	}
	withNext := maps.Clone(want)
	if n < len(w.acknowledged) {
		withNext[w.acknowledged[n].key] = w.acknowledged[n].value
	}
	for _, m := range []map[string]string{want, withNext} {
		maps.DeleteFunc(m, func(_, value string) bool { return value == "" })
	}
	if got := content(tb, kv); !maps.Equal(got, want) && !maps.Equal(got, withNext) {
		tb.Fatalf("%s: it has %v, of %v", when, got, want)
	}
	if h := kv.Health(); len(h.Damage) > 0 {
		tb.Fatalf("%s: reported as damaged: %v", when, h.Damage)
	}
}

// A crash after any byte that is written, and after any creation, rename or removal of a file, loses no acknowledged change.
func TestCutAtEveryByte(t *testing.T) {
	options := smallSegments
	options.Clock = newClock().now
	testDisk, played := disk.New(), &workload{}
	check(t, played.play(testDisk, options, 120))
	if n := len(testDisk.Files()); n > 12 {
		t.Fatalf("%d files: there was no compaction, so that none is tested", n)
	}
	acknowledged := 0
	for units := range testDisk.Units() + 1 {
		for acknowledged < len(played.acknowledged) && played.acknowledged[acknowledged].units <= units {
			acknowledged++
		}
		truncated := testDisk.CutAt(units)
		kv := open(t, truncated, options)
		played.checkContent(t, kv, acknowledged, fmt.Sprintf("crash after %d", units))
		put(t, kv, "after", "it") // the store is writable
		closeStore(t, kv)
		kv = open(t, truncated, options)
		if got := content(t, kv); got["after"] != "it" {
			t.Fatalf("crash after %d: the next write is not there", units)
		}
		closeStore(t, kv)
	}
}

// After a crash at any byte of a sequence of batches, each batch is there as a whole or not at all.
func TestBatchCutAtEveryByte(t *testing.T) {
	const batches, perBatch = 5, 3
	options := store.Options{Clock: newClock().now}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	for i := range batches {
		var b store.Batch
		for j := range perBatch {
			b.Put(fmt.Appendf(nil, "%d-%d", i, j), []byte("value"), 0)
		}
		check(t, kv.ApplyAndWait(b))
	}
	closeStore(t, kv)
	for units := range testDisk.Units() + 1 {
		kv := open(t, testDisk.CutAt(units), options)
		got := content(t, kv)
		closeStore(t, kv)
		for i := range batches {
			found := 0
			for j := range perBatch {
				if _, ok := got[fmt.Sprintf("%d-%d", i, j)]; ok {
					found++
				}
			}
			if found != 0 && found != perBatch {
				t.Fatalf("crash after %d: %d of the %d records of batch %d", units, found, perBatch, i)
			}
		}
	}
}

// A record whose write was reported as failed is ignored, although it is complete in the file when the process restarts.
func TestFailedWriteIsNotBelieved(t *testing.T) {
	clock := newClock()
	options := store.Options{Clock: clock.now, MinBackoff: time.Millisecond}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	put(t, kv, "a", "1")
	testDisk.FailSyncs(1)
	if err := kv.Put([]byte("b"), []byte("2"), 0); !errors.Is(err, syscall.EIO) {
		t.Fatalf("the sync failed, and the error is %v", err)
	}
	clock.advance(time.Second)
	put(t, kv, "c", "3")
	crash(kv, testDisk)
	kv = open(t, testDisk.AfterCrash(), options)
	if got := content(t, kv); !maps.Equal(got, map[string]string{"a": "1", "c": "3"}) {
		t.Errorf("%v", got)
	}
	closeStore(t, kv)
}

// A loss of power at any call that changes the disk loses no acknowledged change, whichever unsynced data survives, even if the power
// is lost again during recovery.
func TestPowerLostAtEveryOperation(t *testing.T) {
	options := smallSegments
	options.Clock = newClock().now
	complete := &workload{}
	testDisk := disk.New()
	check(t, complete.play(testDisk, options, 120))
	calls := testDisk.Operations()
	for call := 1; call <= calls; call++ {
		for seed := range uint64(min(4, seeds()/10)) {
			rng := rand.New(rand.NewPCG(seed, uint64(call)))
			testDisk, interrupted := disk.New(), &workload{}
			testDisk.LosePowerAt(call, seed)
			_ = interrupted.play(testDisk, options, 120) // fails when the power is lost
			survived := testDisk.AfterPowerLoss(rng)
			survived.LosePowerAt(1+rng.IntN(8), seed) // while the store is opened, or soon after
			tryOpen(survived, options)
			kv := open(t, survived.AfterPowerLoss(rng), options)
			when := fmt.Sprintf("power lost at call %d, seed %d", call, seed)
			complete.checkContent(t, kv, len(interrupted.acknowledged), when)
			closeStore(t, kv)
		}
	}
}

// After a failed sync, no write to the same file is acknowledged any more, although the next sync of it would succeed.
func TestFailedSync(t *testing.T) {
	clock := newClock()
	options := store.Options{Clock: clock.now, MinBackoff: time.Millisecond}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	put(t, kv, "a", "1")
	before := slices.Sorted(maps.Keys(testDisk.Files()))
	testDisk.FailSyncs(1)
	if err := kv.Put([]byte("b"), []byte("2"), 0); !errors.Is(err, syscall.EIO) {
		t.Fatalf("the sync failed, and the error of the write is %v", err)
	}
	if h := kv.Health(); !errors.Is(h.Err, syscall.EIO) || h.Failures != 1 {
		t.Errorf("%+v", h)
	}
	if _, _, ok, _ := kv.Get([]byte("b")); ok {
		t.Error("a record that was not acknowledged is visible")
	}
	clock.advance(time.Second)
	put(t, kv, "c", "3")
	if h := kv.Health(); h.Err != nil {
		t.Errorf("the disk works again, and Health has %v", h.Err)
	}
	if after := slices.Sorted(maps.Keys(testDisk.Files())); len(after) != len(before)+1 {
		t.Errorf("the same file is still in use: %v, %v", before, after)
	}
	for seed := range uint64(20) {
		kv := open(t, testDisk.AfterPowerLoss(rand.New(rand.NewPCG(seed, 0))), options)
		got := content(t, kv)
		if !maps.Equal(got, map[string]string{"a": "1", "c": "3"}) {
			t.Errorf("%v", got)
		}
		if h := kv.Health(); len(h.Damage) > 0 {
			t.Errorf("%v", h.Damage)
		}
		closeStore(t, kv)
	}
}

// overwriter writes five records again and again.
type overwriter struct {
	store *store.Store
	clock *testClock
	want  map[string]string // acknowledged records
}

// write makes the ith write.
func (o *overwriter) write(i int) error {
	key, value := fmt.Sprintf("k%d", i%5), fmt.Sprintf("%d-%s", i, strings.Repeat("y", 50))
	err := o.store.Put([]byte(key), []byte(value), 0)
	if err == nil {
		o.want[key] = value
	}
	return err
}

// writeSlowly makes n writes with 10 ms after each, and returns their errors.
func (o *overwriter) writeSlowly(n int) []error {
	errs := make([]error, n)
	for i := range n {
		errs[i] = o.write(i)
		o.clock.advance(10 * time.Millisecond)
	}
	return errs
}

// A disk that fills up, during a compaction too, and has space again later, loses no acknowledged write.
func TestFullDisk(t *testing.T) {
	for capacity := 0; capacity < 1500; capacity += 50 {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) { testFullDisk(t, capacity) })
	}
}

func testFullDisk(t *testing.T, capacity int) {
	t.Helper()
	clock := newClock()
	options := store.Options{
		SegmentBytes: 1000, MaxBytes: 1 << 20, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Clock: clock.now,
	}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	writer := &overwriter{store: kv, clock: clock, want: map[string]string{}}
	for i := range 25 {
		check(t, writer.write(i))
	}
	testDisk.SetCapacity(capacity)
	if errs := writer.writeSlowly(60); errors.Join(errs...) == nil {
		t.Fatal("no write failed, so that nothing is tested")
	}
	if got := content(t, kv); !maps.Equal(got, writer.want) {
		t.Fatalf("full: %v, want %v", got, writer.want)
	}
	testDisk.SetCapacity(-1)
	errs := writer.writeSlowly(60)
	if err := errors.Join(errs[1:]...); err != nil { // the first may come during the backoff
		t.Fatalf("with space again: %v", err)
	}
	closeStore(t, kv)
	kv = open(t, testDisk.AfterPowerLoss(rand.New(rand.NewPCG(uint64(capacity), 0))), options)
	if got := content(t, kv); !maps.Equal(got, writer.want) {
		t.Fatalf("after a loss of power: %v, want %v", got, writer.want)
	}
	if size := kv.Size(); size > 5000 {
		t.Errorf("%d bytes for five records", size)
	}
	closeStore(t, kv)
}

// damagedDisk returns a disk with a store of 20 records, and with a bit flipped in each of the first two segments, so that a repair
// meets damage a second time.
func damagedDisk(t *testing.T, options store.Options) *disk.Disk {
	t.Helper()
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	for i := range 20 {
		put(t, kv, fmt.Sprintf("k%02d", i), strings.Repeat(string(rune('a'+i)), 30))
	}
	testDisk = testDisk.AfterCrash()
	flipped := 0
	for _, name := range slices.Sorted(maps.Keys(testDisk.Files())) {
		if strings.HasSuffix(name, ".seg") && flipped < 2 {
			testDisk.FlipBit(name, 8*250)
			flipped++
		}
	}
	return testDisk
}

// repair compacts all of a store, as quincegapctl store repair does.
func repair(testDisk *disk.Disk, options store.Options) error {
	kv, err := store.Open(testDisk, options)
	if err != nil {
		return err
	}
	return errors.Join(kv.Compact(), kv.Close())
}

// A loss of power at any call of a repair, and again during the recovery after it, loses no record that could be read before, and
// returns no lost one. The repair can be repeated.
func TestPowerLostInRepair(t *testing.T) {
	options := store.Options{Clock: newClock().now, SegmentBytes: 500, MaxBytes: 1 << 20}
	kv := open(t, damagedDisk(t, options), options)
	want, damages := content(t, kv), len(kv.Health().Damage)
	closeStore(t, kv)
	if damages != 2 || len(want) >= 20 || len(want) < 16 {
		t.Fatalf("damage in %d places, %d records left", damages, len(want))
	}
	for call, lost := 1, true; lost; call++ {
		for seed := range uint64(min(8, seeds())) {
			lost = testRepair(t, options, want, call, seed)
		}
	}
}

// testRepair repairs a damaged store on a disk that loses power at a call. It returns false if the repair took fewer calls.
func testRepair(t *testing.T, options store.Options, want map[string]string, call int, seed uint64) (powerLost bool) {
	t.Helper()
	when := fmt.Sprintf("power lost at call %d, seed %d", call, seed)
	rng := rand.New(rand.NewPCG(seed, uint64(call)))
	testDisk := damagedDisk(t, options)
	testDisk.LosePowerAt(call, seed)
	powerLost = repair(testDisk, options) != nil
	survived := testDisk.AfterPowerLoss(rng)
	survived.LosePowerAt(1+rng.IntN(8), seed)
	tryOpen(survived, options)
	survived = survived.AfterPowerLoss(rng)
	kv := open(t, survived, options)
	if got := content(t, kv); !maps.Equal(got, want) {
		t.Fatalf("%s: %d records, %d before", when, len(got), len(want))
	}
	closeStore(t, kv)
	if err := repair(survived, options); err != nil {
		t.Fatalf("%s: repeated: %v", when, err)
	}
	kv = open(t, survived, options)
	if got := content(t, kv); !maps.Equal(got, want) || len(kv.Health().Damage) > 0 {
		t.Fatalf("%s: repaired: %d records, damage %v", when, len(got), kv.Health().Damage)
	}
	closeStore(t, kv)
	return powerLost
}
