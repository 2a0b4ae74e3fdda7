package store_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// clock is one that stands still unless it is moved.
type clock struct{ wall, up, boot atomic.Int64 }

func newClock() *clock {
	c := &clock{}
	c.wall.Store(1_800_000_000_000)
	c.up.Store(1_000_000)
	c.boot.Store(7)
	return c
}

func (c *clock) stamp() store.Timestamp {
	return store.Timestamp{WallMillis: c.wall.Load(), UptimeMillis: c.up.Load(), BootID: uint64(c.boot.Load())}
}

func (c *clock) pass(d time.Duration) {
	c.wall.Add(d.Milliseconds())
	c.up.Add(d.Milliseconds())
}

func open(t testing.TB, d store.FS, o store.Options) *store.Store {
	t.Helper()
	if o.Clock == nil {
		o.Clock = newClock().stamp
	}
	s, err := store.Open(d, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// content is all that a store has.
func content(t testing.TB, s *store.Store) map[string]string {
	t.Helper()
	all := map[string]string{}
	if err := s.Range(func(key, value []byte, _ time.Duration) bool {
		all[string(key)] = string(value)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	return all
}

func put(t testing.TB, s *store.Store, key, value string) {
	t.Helper()
	if err := s.Put([]byte(key), []byte(value), 0); err != nil {
		t.Fatal(err)
	}
}

func TestStore(t *testing.T) {
	dir := store.Dir(t.TempDir())
	c := newClock()
	s := open(t, dir, store.Options{Clock: c.stamp})
	put(t, s, "a", "1")
	put(t, s, "b", "2")
	put(t, s, "a", "3")
	if err := s.Put([]byte("short"), []byte("x"), time.Second); err != nil {
		t.Fatal(err)
	}
	if err := s.Delete([]byte("b")); err != nil {
		t.Fatal(err)
	}
	var b store.Batch
	b.Put([]byte("c"), []byte("4"), time.Minute)
	b.Put([]byte("empty"), nil, 0)
	if err := s.ApplyAndWait(b); err != nil {
		t.Fatal(err)
	}
	if _, left, ok, err := s.Get([]byte("c")); !ok || left != time.Minute || err != nil {
		t.Errorf("c: %v %v %v", left, ok, err)
	}
	want := map[string]string{"a": "3", "short": "x", "c": "4", "empty": ""}
	if got := content(t, s); !maps.Equal(got, want) {
		t.Errorf("%v", got)
	}
	if _, err := store.Open(dir, store.Options{}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.Put([]byte("a"), nil, 0); !errors.Is(err, store.ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
	c.pass(1000 * time.Millisecond)
	delete(want, "short")
	s = open(t, dir, store.Options{Clock: c.stamp})
	defer s.Close()
	if got := content(t, s); !maps.Equal(got, want) || s.Len() != len(want) {
		t.Errorf("opened again: %v", got)
	}
	if h := s.Health(); h.Err != nil || h.TornBytes > 0 || len(h.Damage) > 0 {
		t.Errorf("%+v", h)
	}
	for _, bad := range []error{s.Put(nil, nil, 0), s.Put(make([]byte, store.MaxKeyBytes+1), nil, 0), s.Put([]byte("k"), make([]byte, store.MaxValueBytes+1), 0)} {
		if !errors.Is(bad, store.ErrRecordSize) {
			t.Errorf("out of bounds: %v", bad)
		}
	}
}

// script is a run of changes that is the same every time: segments roll, a compaction comes about, records expire
// and go. It notes what was acknowledged after how much.
type script struct {
	acks []ack
}

type ack struct {
	units, ops int
	key, value string // "" for a delete
}

var small = store.Options{SegmentBytes: 700, MaxBytes: 1 << 20}

func (x *script) play(d *disk.Disk, o store.Options, n int) (err error) {
	s, err := store.Open(d, o)
	if err != nil {
		return err
	}
	defer s.Close()
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
			return err
		}
		x.acks = append(x.acks, ack{d.Units(), d.Operations(), key, value})
	}
	return nil
}

// holds checks that a store has what was acknowledged, and beyond that at most what was being written.
func (x *script) holds(t testing.TB, s *store.Store, acked int, when string) {
	t.Helper()
	want := map[string]string{}
	for _, a := range x.acks[:acked] {
		want[a.key] = a.value
	}
	with := maps.Clone(want)
	if acked < len(x.acks) {
		with[x.acks[acked].key] = x.acks[acked].value
	}
	for _, m := range []map[string]string{want, with} {
		maps.DeleteFunc(m, func(_, value string) bool { return value == "" })
	}
	if got := content(t, s); !maps.Equal(got, want) && !maps.Equal(got, with) {
		t.Fatalf("%s: it has %v, of %v", when, got, want)
	}
	if h := s.Health(); len(h.Damage) > 0 {
		t.Fatalf("%s: taken for damaged: %v", when, h.Damage)
	}
}

// A run cut at every single byte that it writes, and at every change of a name.
func TestCutAtEveryByte(t *testing.T) {
	o := small
	o.Clock = newClock().stamp
	d, x := disk.New(), &script{}
	if err := x.play(d, o, 120); err != nil {
		t.Fatal(err)
	}
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
		x.holds(t, s, acked, fmt.Sprintf("cut after %d", u))
		put(t, s, "after", "it") // it goes on
		s.Close()
		s = open(t, at, o)
		if got := content(t, s); got["after"] != "it" {
			t.Fatalf("cut after %d: what was written then is not there", u)
		}
		s.Close()
	}
}

// The power goes at each call that changes something, with anything left of what was not synced; then again while
// the store recovers.
func TestPowerLostAtEveryOperation(t *testing.T) {
	o := small
	o.Clock = newClock().stamp
	whole := &script{}
	d := disk.New()
	if err := whole.play(d, o, 120); err != nil {
		t.Fatal(err)
	}
	calls := d.Operations()
	for n := 1; n <= calls; n++ {
		for seed := range uint64(min(4, fates()/10)) {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			d, x := disk.New(), &script{}
			d.LosePowerAt(n, seed)
			x.play(d, o, 120)
			acked := len(x.acks)
			x.acks = whole.acks
			left := d.AfterPowerLoss(rng)
			left.LosePowerAt(1+rng.IntN(8), seed) // while it is opened, or a little after
			if s, err := store.Open(left, o); err == nil {
				s.Close()
			}
			s := open(t, left.AfterPowerLoss(rng), o)
			x.holds(t, s, acked, fmt.Sprintf("power lost at call %d, seed %d", n, seed))
			s.Close()
		}
	}
}

// fates is how many courses are played: some in make test, many in make soak.
func fates() int {
	if os.Getenv("SOAK") != "" {
		return 300
	}
	return 20
}

// Many writers, a disk that fails, fills up and loses power, and deaths of the process, in any order: what was
// acknowledged is there, each time, and what failed is there whole or not.
func TestAnyFate(t *testing.T) {
	for seed := range uint64(fates()) {
		rng := rand.New(rand.NewPCG(seed, 9))
		c := newClock()
		o := store.Options{SegmentBytes: 2000, MaxBytes: 1 << 20, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Clock: c.stamp}
		d := disk.New()
		sure := map[string]string{}           // acknowledged
		maybe := map[string]map[string]bool{} // values that may be there instead; "" for none
		for life := range 12 {
			s, err := store.Open(d, o)
			if err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			got := content(t, s)
			for key := range maps.Keys(sure) {
				if got[key] != sure[key] && !maybe[key][got[key]] {
					t.Fatalf("seed %d, life %d: %s is %q, and not %q", seed, life, key, got[key], sure[key])
				}
			}
			for key := range got {
				if sure[key] == "" && !maybe[key][got[key]] {
					t.Fatalf("seed %d, life %d: %s=%q was never acknowledged, or was deleted", seed, life, key, got[key])
				}
			}
			if h := s.Health(); len(h.Damage) > 0 {
				t.Fatalf("seed %d, life %d: taken for damaged: %v", seed, life, h.Damage)
			}
			// What was found is what stays from here on.
			sure, maybe = got, map[string]map[string]bool{}
			var mu sync.Mutex
			for range 20 {
				switch rng.IntN(12) {
				case 0:
					d.FailSyncs(1)
				case 1:
					d.SetCapacity(rng.IntN(600))
				case 2:
					d.Fail(syscall.EIO)
				case 3:
					d.LosePowerAt(1+rng.IntN(30), rng.Uint64())
				default:
					d.SetCapacity(-1)
					d.Fail(nil)
				}
				var all sync.WaitGroup
				for w := range 4 {
					steps := rand.New(rand.NewPCG(rng.Uint64(), uint64(w)))
					all.Go(func() {
						for range 6 {
							key := fmt.Sprintf("w%d-%d", w, steps.IntN(5)) // of this writer alone
							value := fmt.Sprintf("%x", steps.Uint64())
							var err error
							if steps.IntN(4) == 0 {
								value = ""
								err = s.Delete([]byte(key))
							} else {
								err = s.Put([]byte(key), []byte(value), 0)
							}
							mu.Lock()
							if err == nil {
								sure[key] = value
								delete(maybe, key)
							} else {
								if maybe[key] == nil {
									maybe[key] = map[string]bool{}
								}
								maybe[key][value] = true
							}
							mu.Unlock()
						}
					})
				}
				all.Wait()
				c.pass(10 * time.Millisecond)
				now := content2(s)
				for key, value := range sure {
					if now != nil && now[key] != value {
						t.Fatalf("seed %d, life %d: reads %s as %q, and not %q", seed, life, key, now[key], value)
					}
				}
			}
			d.SetCapacity(-1)
			d.Fail(nil)
			switch rng.IntN(3) {
			case 0:
				if s.Close() == nil {
					d = d.AfterCrash()
				} else {
					d = d.AfterPowerLoss(rng)
				}
			case 1:
				kill(s, d)
				d = d.AfterCrash()
			case 2:
				next := d.AfterPowerLoss(rng)
				s.Close()
				d = next
			}
		}
	}
}

// kill ends a store as a death of the process does: nothing that it does from then on reaches the disk.
func kill(s *store.Store, d *disk.Disk) {
	d.Fail(disk.ErrPowerLost)
	s.Close()
	d.Fail(nil)
}

// content2 is the content, nil where the power is off.
func content2(s *store.Store) map[string]string {
	all := map[string]string{}
	if s.Range(func(key, value []byte, _ time.Duration) bool {
		all[string(key)] = string(value)
		return true
	}) != nil {
		return nil
	}
	return all
}

// After a failed sync nothing more is acknowledged on that file, though the next sync of it would say that all is
// well.
func TestFailedSync(t *testing.T) {
	c := newClock()
	o := store.Options{Clock: c.stamp, MinBackoff: time.Millisecond}
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
		s.Close()
	}
}

// The disk fills up in the midst of a compaction, and is freed again.
func TestFullDisk(t *testing.T) {
	for room := 0; room < 1500; room += 50 {
		c := newClock()
		o := store.Options{SegmentBytes: 1000, MaxBytes: 1 << 20, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Clock: c.stamp}
		d := disk.New()
		s := open(t, d, o)
		want := map[string]string{}
		step := func(i int) error {
			key, value := fmt.Sprintf("k%d", i%5), fmt.Sprintf("%d-%s", i, strings.Repeat("y", 50))
			err := s.Put([]byte(key), []byte(value), 0)
			if err == nil {
				want[key] = value
			}
			return err
		}
		for i := range 25 {
			if err := step(i); err != nil {
				t.Fatal(err)
			}
		}
		d.SetCapacity(room)
		failed := 0
		for i := range 60 {
			if step(i) != nil {
				failed++
			}
			c.pass(10 * time.Millisecond)
		}
		if failed == 0 {
			t.Fatalf("room %d: nothing failed, and nothing is tested", room)
		}
		if got := content(t, s); !maps.Equal(got, want) {
			t.Fatalf("room %d, full: %v and not %v", room, got, want)
		}
		d.SetCapacity(-1)
		for i := range 60 {
			if err := step(i); err != nil && i > 0 {
				t.Fatalf("room %d, freed: %v", room, err)
			}
			c.pass(10 * time.Millisecond)
		}
		s.Close()
		s = open(t, d.AfterPowerLoss(rand.New(rand.NewPCG(uint64(room), 0))), o)
		if got := content(t, s); !maps.Equal(got, want) {
			t.Fatalf("room %d, after: %v and not %v", room, got, want)
		}
		if size := s.Size(); size > 5000 {
			t.Errorf("room %d: %d bytes for five records", room, size)
		}
		s.Close()
	}
}

// step is to the next bit that is flipped: each of a header's version, and every third of the others.
func step(bit int) int {
	if bit >= 8*8-3 && bit < 8*10 {
		return 1
	}
	return 3
}

// Each bit of a log, flipped: every other record is found, or the loss of it is named. Nothing wrong is believed.
func TestAnyBitFlipped(t *testing.T) {
	o := store.Options{Clock: newClock().stamp, SegmentBytes: 900, MaxBytes: 1 << 20}
	d := disk.New()
	s := open(t, d, o)
	want := map[string]string{}
	for i := range 20 {
		key, value := fmt.Sprintf("k%02d", i), strings.Repeat(string(rune('a'+i)), 30)
		put(t, s, key, value)
		want[key] = value
	}
	d = d.AfterCrash() // so that the last segment is not ended
	for name, size := range d.Files() {
		if !strings.HasSuffix(name, ".seg") {
			continue
		}
		for bit := 0; bit < 8*size; bit += step(bit) {
			hit := d.AfterCrash()
			hit.FlipBit(name, bit)
			s, err := store.Open(hit, o)
			if err != nil {
				t.Fatalf("%s, bit %d: %v", name, bit, err)
			}
			got := content(t, s)
			h := s.Health()
			missing := 0
			for key, value := range want {
				if got[key] != value {
					missing++
				}
			}
			for key := range got {
				if want[key] == "" {
					t.Fatalf("%s, bit %d: believes %q", name, bit, key)
				}
			}
			if missing > 1 || missing > 0 && len(h.Damage) == 0 && h.TornBytes == 0 {
				t.Fatalf("%s, bit %d of %d: %d records are missing, damage %v, torn %d", name, bit, 8*size, missing, h.Damage, h.TornBytes)
			}
			s.Close()
		}
	}
}

// A batch that nobody waits for goes with the next that somebody does, in one sync, or by itself after its time, or when
// the store is closed.
func TestIdleBatches(t *testing.T) {
	d := disk.New()
	o := store.Options{Clock: newClock().stamp}
	s := open(t, d, o)
	done := make(chan error, 1)
	apply := func(key string, idle time.Duration) {
		var b store.Batch
		b.Put([]byte(key), []byte("v"), 0)
		b.SetMaxDelay(idle)
		s.Apply(b, func(err error) { done <- err })
	}
	put(t, s, "first", "v")
	before := d.Operations()
	put(t, s, "alone", "v")
	each := d.Operations() - before // calls of the disk that a group takes
	before = d.Operations()
	apply("idle", time.Hour)
	if _, _, ok, _ := s.Get([]byte("idle")); ok || d.Operations() != before {
		t.Error("it did not wait")
	}
	put(t, s, "urgent", "v")
	if err := <-done; err != nil || d.Operations() != before+each {
		t.Errorf("%v; %d calls of the disk for both, %d for one", err, d.Operations()-before, each)
	}
	apply("timed", time.Millisecond)
	if err := <-done; err != nil {
		t.Error(err)
	}
	apply("last", time.Hour)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	s = open(t, d.AfterCrash(), o)
	if got := content(t, s); len(got) != 6 {
		t.Errorf("%v", got)
	}
	s.Close()
}

// The power goes at each call of a repair, and again while the store is opened after that: all that could be read
// before it can be read afterwards, what could not be is not believed, and the repair can be done again.
func TestPowerLostInRepair(t *testing.T) {
	o := store.Options{Clock: newClock().stamp, SegmentBytes: 500, MaxBytes: 1 << 20}
	damaged := func() *disk.Disk {
		d := disk.New()
		s := open(t, d, o)
		for i := range 20 {
			put(t, s, fmt.Sprintf("k%02d", i), strings.Repeat(string(rune('a'+i)), 30))
		}
		d = d.AfterCrash()
		n := 0
		for _, name := range slices.Sorted(maps.Keys(d.Files())) {
			if strings.HasSuffix(name, ".seg") && n < 2 { // in two files, so that the second is hit after the first is mended
				d.FlipBit(name, 8*250)
				n++
			}
		}
		return d
	}
	s := open(t, damaged(), o)
	want, hurt := content(t, s), len(s.Health().Damage)
	s.Close()
	if hurt != 2 || len(want) >= 20 || len(want) < 16 {
		t.Fatalf("%d places are damaged, %d records left", hurt, len(want))
	}
	repair := func(d *disk.Disk) error {
		s, err := store.Open(d, o)
		if err != nil {
			return err
		}
		return errors.Join(s.Compact(), s.Close())
	}
	for n, died := 1, true; died; n++ {
		for seed := range uint64(min(8, fates())) {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			d := damaged()
			d.LosePowerAt(n, seed)
			died = repair(d) != nil
			left := d.AfterPowerLoss(rng)
			left.LosePowerAt(1+rng.IntN(8), seed)
			if s, err := store.Open(left, o); err == nil {
				s.Close()
			}
			left = left.AfterPowerLoss(rng)
			s := open(t, left, o)
			if got := content(t, s); !maps.Equal(got, want) {
				t.Fatalf("power lost at call %d, seed %d: %d records, %d before", n, seed, len(got), len(want))
			}
			s.Close()
			if err := repair(left); err != nil {
				t.Fatalf("power lost at call %d, seed %d: again: %v", n, seed, err)
			}
			s = open(t, left, o)
			if got := content(t, s); !maps.Equal(got, want) || len(s.Health().Damage) > 0 {
				t.Fatalf("power lost at call %d, seed %d: repaired: %d records, damage %v", n, seed, len(got), s.Health().Damage)
			}
			s.Close()
		}
	}
}

// A file that was taken away, cut short or put there from another store is named.
func TestForeignAndMissingFiles(t *testing.T) {
	o := store.Options{Clock: newClock().stamp, SegmentBytes: 500, MaxBytes: 1 << 20}
	fill := func(dir string, n int) []string {
		s := open(t, store.Dir(dir), o)
		for i := range n {
			put(t, s, fmt.Sprint("k", i), strings.Repeat("v", 140))
		}
		s.Close()
		files, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
		slices.Sort(files)
		return files
	}
	dir := t.TempDir()
	files := fill(dir, 20)
	os.Remove(files[1])
	s := open(t, store.Dir(dir), o)
	if h := s.Health(); len(h.Damage) != 1 || !strings.Contains(h.Damage[0].String(), filepath.Base(files[1])) {
		t.Errorf("a file is missing: %v", h.Damage)
	}
	s.Close()

	dir = t.TempDir()
	files = fill(dir, 20)
	os.Truncate(files[1], 200)
	s = open(t, store.Dir(dir), o)
	if h := s.Health(); len(h.Damage) != 1 || h.Damage[0].FirstSeq == 0 || h.Damage[0].File != filepath.Base(files[1]) {
		t.Errorf("a file is cut: %v", h.Damage)
	}
	if n := s.Len(); n != 20-int(s.Health().Damage[0].LastSeq-s.Health().Damage[0].FirstSeq+1) {
		t.Errorf("%d are left, beside %v", n, s.Health().Damage)
	}
	s.Close()

	other := t.TempDir()
	fill(other, 50)
	text, _ := os.ReadFile(filepath.Join(other, filepath.Base(files[0])))
	os.WriteFile(filepath.Join(dir, "00000000000000ff.seg"), text, 0o600)
	if _, err := store.Open(store.Dir(dir), o); err == nil || !strings.Contains(err.Error(), "00000000000000ff.seg") {
		t.Errorf("a file of another store: %v", err)
	}
}

// A store that a later program wrote is refused, and left as it is.
func TestNewerVersion(t *testing.T) {
	dir := t.TempDir()
	s := open(t, store.Dir(dir), store.Options{})
	put(t, s, "a", "1")
	s.Close()
	files, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	text, _ := os.ReadFile(files[0])
	text[8]++
	const header = 100
	binary.LittleEndian.PutUint32(text[header-4:], crc32.Checksum(text[:header-4], crc32.MakeTable(crc32.Castagnoli)))
	os.WriteFile(files[0], text, 0o600)
	var newer *store.NewerVersionError
	if _, err := store.Open(store.Dir(dir), store.Options{}); !errors.As(err, &newer) || newer.Version != store.Version+1 {
		t.Errorf("%v", err)
	}
	if again, _ := filepath.Glob(filepath.Join(dir, "*.seg")); !slices.Equal(again, files) {
		t.Errorf("files changed: %v", again)
	}
}

// The wall clock set back or forward makes no record expire early; a machine that was off lets them age.
func TestClockSet(t *testing.T) {
	for _, x := range []struct {
		name     string
		wall, up time.Duration // that pass while the store is closed
		boots    bool
		left     time.Duration // of a minute; 0 for none
	}{
		{"nothing", 0, 0, false, time.Minute},
		{"set back", -24 * time.Hour, time.Second, false, 59 * time.Second},
		{"set forward", 24 * time.Hour, time.Second, false, 59 * time.Second},
		{"restarted", 10 * time.Second, 0, true, 50 * time.Second},
		{"restarted and set back", -time.Hour, 0, true, time.Minute},
		{"off for long", time.Hour, 0, true, 0},
	} {
		c := newClock()
		d := disk.New()
		s := open(t, d, store.Options{Clock: c.stamp})
		if err := s.Put([]byte("k"), nil, time.Minute); err != nil {
			t.Fatal(err)
		}
		s.Close()
		c.wall.Add(x.wall.Milliseconds())
		c.up.Add(x.up.Milliseconds())
		if x.boots {
			c.boot.Add(1)
			c.up.Store(5)
		}
		s = open(t, d, store.Options{Clock: c.stamp})
		if _, left, ok, err := s.Get([]byte("k")); ok != (x.left > 0) || left != x.left || err != nil {
			t.Errorf("%s: %v left, %v, %v", x.name, left, ok, err)
		}
		c.wall.Add(-48 * time.Hour.Milliseconds()) // while it is open it counts for nothing
		if _, left, _, _ := s.Get([]byte("k")); left != x.left {
			t.Errorf("%s, set back: %v left", x.name, left)
		}
		s.Close()
	}
}

// Records that have expired cost no file, no place in the index and, at open, no reading.
func TestExpired(t *testing.T) {
	c := newClock()
	o := store.Options{Clock: c.stamp, SegmentBytes: 2000, MaxBytes: 20_000, MaxRecords: 400}
	d := disk.New()
	s := open(t, d, o)
	for i := range 5000 {
		if err := s.Put(fmt.Append(nil, "k", i), make([]byte, 20), time.Second); err != nil {
			t.Fatal(i, err)
		}
		c.pass(3 * time.Millisecond)
	}
	if n, size := s.Len(), s.Size(); n > 340 || size > 40_000+3*2000 {
		t.Errorf("%d records, %d bytes", n, size)
	}
	s.Close()
	c.pass(time.Minute)
	s = open(t, d, o)
	put(t, s, "a", "1")
	if n, files := s.Len(), d.Files(); n != 1 || len(files) > 2 {
		t.Errorf("%d records in %v", n, files)
	}
	s.Close()
}

// A key that is written again and again takes no more room than once.
func TestOneKeyForEver(t *testing.T) {
	c := newClock()
	d := disk.New()
	s := open(t, d, store.Options{Clock: c.stamp, SegmentBytes: 1000, MaxBytes: 10_000})
	for i := range 3000 {
		if err := s.Put([]byte("list"), fmt.Append(nil, i), time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s = open(t, d, store.Options{Clock: c.stamp})
	if got := content(t, s); got["list"] != "2999" || s.Size() > 5000 {
		t.Errorf("%v, %d bytes", got, s.Size())
	}
	s.Close()
}

// What would not fit is refused, and nothing is lost by it.
func TestBounds(t *testing.T) {
	o := store.Options{Clock: newClock().stamp, SegmentBytes: 1000, MaxBytes: 3000, MaxRecords: 20}
	s := open(t, disk.New(), o)
	full := 0
	for i := range 100 {
		if err := s.Put(fmt.Append(nil, "k", i), make([]byte, 10), 0); errors.Is(err, store.ErrFull) {
			full++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if full != 80 || s.Len() != 20 {
		t.Errorf("%d were refused, %d are there", full, s.Len())
	}
	if err := s.Put([]byte("k0"), make([]byte, 2900), 0); !errors.Is(err, store.ErrFull) {
		t.Errorf("too many bytes: %v", err)
	}
	put(t, s, "k0", "shorter")
	if err := s.Delete([]byte("k1")); err != nil {
		t.Errorf("deleting always goes: %v", err)
	}
	put(t, s, "new", "in its place")
	s.Close()
}

// A disk that hangs holds nobody up but those who wait for it, and bounds what waits.
func TestBusy(t *testing.T) {
	d := &hanging{FS: disk.New(), go_: make(chan struct{})}
	s := open(t, d, store.Options{MaxPendingBytes: 1000})
	d.hang.Store(true)
	var failed, done atomic.Int64
	var all sync.WaitGroup
	for i := range 100 {
		var b store.Batch
		b.Put(fmt.Append(nil, "k", i), make([]byte, 20), 0)
		all.Add(1)
		s.Apply(b, func(err error) {
			defer all.Done()
			done.Add(1)
			if errors.Is(err, store.ErrBusy) {
				failed.Add(1)
			}
		})
	}
	if n := failed.Load(); n < 50 || done.Load() != n {
		t.Errorf("%d of 100 were refused", n)
	}
	close(d.go_)
	all.Wait()
	if n := s.Len() + int(failed.Load()); n != 100 {
		t.Errorf("%d were acknowledged or refused", n)
	}
	s.Close()
}

type hanging struct {
	store.FS
	hang atomic.Bool
	go_  chan struct{}
}

type hangingFile struct {
	store.File
	d *hanging
}

func (h *hanging) Create(name string) (store.File, error) {
	f, err := h.FS.Create(name)
	return hangingFile{f, h}, err
}

func (h hangingFile) Sync() error {
	if h.d.hang.Load() {
		<-h.d.go_
	}
	return h.File.Sync()
}

// Reads that bring less than was asked for lose nothing.
func TestShortReads(t *testing.T) {
	o := small
	o.Clock = newClock().stamp
	d, x := disk.New(), &script{}
	if err := x.play(d, o, 60); err != nil {
		t.Fatal(err)
	}
	d.SetShortReads(true)
	s := open(t, d, o)
	x.holds(t, s, len(x.acks), "short reads")
	s.Close()
}
