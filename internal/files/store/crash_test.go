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

// workload is a sequence of changes that is the same in each run. The changes rotate segments, cause a compaction and delete records.
// A workload records which changes were acknowledged.
type workload struct {
	acknowledged []change
}

// change is an acknowledged change.
type change struct {
	units int // disk.Disk.Units when the change was acknowledged
	key   string
	value string // written value; "" for a deletion
}

// smallSegments has segments that are small enough for several rotations and a compaction in a workload.
var smallSegments = store.Options{SegmentBytes: 700, MaxBytes: 1 << 20}

// run makes n changes. It stops at the first one that fails, and returns its error.
func (w *workload) run(testDisk *disk.Disk, options store.Options, n int) error {
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

// checkContent checks that a store has the first n acknowledged changes, and of the others at most the next one.
func (w *workload) checkContent(tb testing.TB, kv *store.Store, n int, when string) {
	tb.Helper()
	want := map[string]string{}
	for _, acknowledged := range w.acknowledged[:n] {
		want[acknowledged.key] = acknowledged.value
	}
	withNext := maps.Clone(want)
	if n < len(w.acknowledged) {
		withNext[w.acknowledged[n].key] = w.acknowledged[n].value
	}
	for _, m := range []map[string]string{want, withNext} {
		maps.DeleteFunc(m, func(_, value string) bool { return value == "" })
	}
	if got := content(tb, kv); !maps.Equal(got, want) && !maps.Equal(got, withNext) {
		tb.Fatalf("%s: the store has %v, want %v with or without the next change", when, got, want)
	}
	if h := kv.Health(); len(h.Damage) > 0 {
		tb.Fatalf("%s: Health reports damage %v, want none", when, h.Damage)
	}
}

// A crash after any written byte, and after any creation, rename or removal of a file, loses no acknowledged change.
func TestCutAtEveryByte(t *testing.T) {
	options := smallSegments
	options.Clock = newClock().now
	testDisk, written := disk.New(), &workload{}
	check(t, written.run(testDisk, options, 120))
	if n := len(testDisk.Files()); n > 12 {
		t.Fatalf("%d files remain, want at most 12: there was no compaction to test", n)
	}
	acknowledged := 0
	for units := range testDisk.Units() + 1 {
		for acknowledged < len(written.acknowledged) && written.acknowledged[acknowledged].units <= units {
			acknowledged++
		}
		truncated := testDisk.CutAt(units)
		kv := open(t, truncated, options)
		written.checkContent(t, kv, acknowledged, fmt.Sprintf("crash after %d units", units))
		put(t, kv, "after", "it") // the recovered store must accept writes
		closeStore(t, kv)
		kv = open(t, truncated, options)
		if got := content(t, kv); got["after"] != "it" {
			t.Fatalf("crash after %d units: the write after the recovery is lost", units)
		}
		closeStore(t, kv)
	}
}

// After a crash at any byte of a sequence of batches, the store has either all records of a batch or none.
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
				t.Fatalf("crash after %d units: the store has %d of the %d records of batch %d", units, found, perBatch, i)
			}
		}
	}
}

// A record whose write was reported as failed is ignored after a crash, although it is complete in the file.
func TestFailedWriteIsIgnoredAfterCrash(t *testing.T) {
	clock := newClock()
	options := store.Options{Clock: clock.now, MinBackoff: time.Millisecond}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	put(t, kv, "a", "1")
	testDisk.FailSyncs(1)
	if err := kv.Put([]byte("b"), []byte("2"), 0); !errors.Is(err, syscall.EIO) {
		t.Fatalf("write with a failing sync: got error %v, want EIO", err)
	}
	clock.advance(time.Second)
	put(t, kv, "c", "3")
	crash(kv, testDisk)
	kv = open(t, testDisk.AfterCrash(), options)
	if got := content(t, kv); !maps.Equal(got, map[string]string{"a": "1", "c": "3"}) {
		t.Errorf("content after a crash: got %v, want only the acknowledged a=1 and c=3", got)
	}
	closeStore(t, kv)
}

// A loss of power at any call that changes the disk loses no acknowledged change, whichever unsynced data survives, even if power is
// lost again during the recovery.
func TestPowerLostAtEveryOperation(t *testing.T) {
	options := smallSegments
	options.Clock = newClock().now
	complete := &workload{}
	testDisk := disk.New()
	check(t, complete.run(testDisk, options, 120))
	calls := testDisk.Operations()
	for call := 1; call <= calls; call++ {
		for seed := range uint64(min(4, seeds()/10)) {
			rng := rand.New(rand.NewPCG(seed, uint64(call)))
			testDisk, interrupted := disk.New(), &workload{}
			testDisk.LosePowerAt(call, seed)
			_ = interrupted.run(testDisk, options, 120) // the run fails when power is lost
			survived := testDisk.AfterPowerLoss(rng)
			survived.LosePowerAt(1+rng.IntN(8), seed) // power is lost again while the store is opened, or soon after
			tryOpen(survived, options)
			kv := open(t, survived.AfterPowerLoss(rng), options)
			when := fmt.Sprintf("power lost at call %d, seed %d", call, seed)
			complete.checkContent(t, kv, len(interrupted.acknowledged), when)
			closeStore(t, kv)
		}
	}
}

// After a failed sync, no further write to the same file is acknowledged, although the next sync of the file would succeed.
func TestFailedSync(t *testing.T) {
	clock := newClock()
	options := store.Options{Clock: clock.now, MinBackoff: time.Millisecond}
	testDisk := disk.New()
	kv := open(t, testDisk, options)
	put(t, kv, "a", "1")
	before := slices.Sorted(maps.Keys(testDisk.Files()))
	testDisk.FailSyncs(1)
	if err := kv.Put([]byte("b"), []byte("2"), 0); !errors.Is(err, syscall.EIO) {
		t.Fatalf("write with a failing sync: got error %v, want EIO", err)
	}
	if h := kv.Health(); !errors.Is(h.Err, syscall.EIO) || h.Failures != 1 {
		t.Errorf("Health after a failed sync: got %+v, want EIO and 1 failure", h)
	}
	if _, _, ok, _ := kv.Get([]byte("b")); ok {
		t.Error("a record whose write failed is visible")
	}
	clock.advance(time.Second)
	put(t, kv, "c", "3")
	if h := kv.Health(); h.Err != nil {
		t.Errorf("Health after the disk has recovered: got error %v, want none", h.Err)
	}
	if after := slices.Sorted(maps.Keys(testDisk.Files())); len(after) != len(before)+1 {
		t.Errorf("files: %v before and %v after the failed sync, want one new file", before, after)
	}
	for seed := range uint64(20) {
		kv := open(t, testDisk.AfterPowerLoss(rand.New(rand.NewPCG(seed, 0))), options)
		got := content(t, kv)
		if !maps.Equal(got, map[string]string{"a": "1", "c": "3"}) {
			t.Errorf("content after a loss of power: got %v, want only the acknowledged a=1 and c=3", got)
		}
		if h := kv.Health(); len(h.Damage) > 0 {
			t.Errorf("Health after a loss of power: got damage %v, want none", h.Damage)
		}
		closeStore(t, kv)
	}
}

// overwriter overwrites five records in turn.
type overwriter struct {
	store *store.Store
	clock *testClock
	want  map[string]string // acknowledged value of each key
}

// write makes write number i.
func (o *overwriter) write(i int) error {
	key, value := fmt.Sprintf("k%d", i%5), fmt.Sprintf("%d-%s", i, strings.Repeat("y", 50))
	err := o.store.Put([]byte(key), []byte(value), 0)
	if err == nil {
		o.want[key] = value
	}
	return err
}

// writeSlowly makes n writes, advances the clock by 10 ms after each, and returns their errors.
func (o *overwriter) writeSlowly(n int) []error {
	errs := make([]error, n)
	for i := range n {
		errs[i] = o.write(i)
		o.clock.advance(10 * time.Millisecond)
	}
	return errs
}

// A disk that fills up, possibly during a compaction, and has space again later, loses no acknowledged write.
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
		t.Fatal("no write failed on the full disk, so that nothing is tested")
	}
	if got := content(t, kv); !maps.Equal(got, writer.want) {
		t.Fatalf("content on the full disk: got %v, want %v", got, writer.want)
	}
	testDisk.SetCapacity(-1)
	errs := writer.writeSlowly(60)
	if err := errors.Join(errs[1:]...); err != nil { // the first write may come during the backoff
		t.Fatalf("writes after the disk has space again: %v", err)
	}
	closeStore(t, kv)
	kv = open(t, testDisk.AfterPowerLoss(rand.New(rand.NewPCG(uint64(capacity), 0))), options)
	if got := content(t, kv); !maps.Equal(got, writer.want) {
		t.Fatalf("content after a loss of power: got %v, want %v", got, writer.want)
	}
	if size := kv.Size(); size > 5000 {
		t.Errorf("the store has %d bytes for five records, want at most 5000", size)
	}
	closeStore(t, kv)
}

// damagedDisk returns a disk with a store of 20 records, and with one flipped bit in each of the first two segments, so that a repair
// has to handle damage twice.
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

// repair compacts a complete store, as quincegapctl store repair does.
func repair(testDisk *disk.Disk, options store.Options) error {
	kv, err := store.Open(testDisk, options)
	if err != nil {
		return err
	}
	return errors.Join(kv.Compact(), kv.Close())
}

// A loss of power at any call of a repair, and again during the recovery, loses no record that was readable before, and does not make
// a lost record reappear. The repair can be repeated.
func TestPowerLostInRepair(t *testing.T) {
	options := store.Options{Clock: newClock().now, SegmentBytes: 500, MaxBytes: 1 << 20}
	kv := open(t, damagedDisk(t, options), options)
	want, damages := content(t, kv), len(kv.Health().Damage)
	closeStore(t, kv)
	if damages != 2 || len(want) >= 20 || len(want) < 16 {
		t.Fatalf("the damaged store has damage in %d places and %d records, want 2 places and 16 to 19 records", damages, len(want))
	}
	for call, lost := 1, true; lost; call++ {
		for seed := range uint64(min(8, seeds())) {
			lost = testRepair(t, options, want, call, seed)
		}
	}
}

// testRepair repairs a damaged store on a disk that loses power at the given call. It returns false if the repair made fewer calls.
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
		t.Fatalf("%s: %d records after the recovery, want the same %d as before the repair", when, len(got), len(want))
	}
	closeStore(t, kv)
	if err := repair(survived, options); err != nil {
		t.Fatalf("%s: repeat the repair: %v", when, err)
	}
	kv = open(t, survived, options)
	if got := content(t, kv); !maps.Equal(got, want) || len(kv.Health().Damage) > 0 {
		t.Fatalf("%s: after the repeated repair: %d records, damage %v; want the %d records from before and no damage",
			when, len(got), kv.Health().Damage, len(want))
	}
	closeStore(t, kv)
	return powerLost
}
