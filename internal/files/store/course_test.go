package store_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

// model knows which records a store may have.
type model struct {
	mu           sync.Mutex
	acknowledged map[string]string          // value by key; "" for a deletion
	uncertain    map[string]map[string]bool // by key, the values of writes that failed: each may be there or not; "" for a deletion
}

func newModel(content map[string]string) *model {
	return &model{acknowledged: content, uncertain: map[string]map[string]bool{}}
}

// record records the result of a write.
func (m *model) record(key, value string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.acknowledged[key] = value
		delete(m.uncertain, key)
		return
	}
	if m.uncertain[key] == nil {
		m.uncertain[key] = map[string]bool{}
	}
	m.uncertain[key][value] = true
}

// checkReopened checks the records of a store that was opened again: failed writes may have taken effect.
func (m *model) checkReopened(t *testing.T, got map[string]string, when string) {
	t.Helper()
	for key := range m.acknowledged {
		if got[key] != m.acknowledged[key] && !m.uncertain[key][got[key]] {
			t.Fatalf("%s: %s is %q, and not %q", when, key, got[key], m.acknowledged[key])
		}
	}
	for key := range got {
		if m.acknowledged[key] == "" && !m.uncertain[key][got[key]] {
			t.Fatalf("%s: %s=%q was never acknowledged, or was deleted", when, key, got[key])
		}
	}
}

// checkRunning checks the records of a store that was not opened again: failed writes are not visible.
func (m *model) checkRunning(t *testing.T, got map[string]string, when string) {
	t.Helper()
	for key, value := range m.acknowledged {
		if got[key] != value {
			t.Fatalf("%s: reads %s as %q, and not %q", when, key, got[key], value)
		}
	}
}

// course is a random sequence of writes, disk faults and restarts.
type course struct {
	rng     *rand.Rand
	clock   *testClock
	options store.Options
	disk    *disk.Disk
	model   *model
}

// With many writers, a disk that fails, fills up and loses power, and crashes of the process, in any order, acknowledged writes are
// always there, and each failed write has taken effect as a whole or not at all.
func TestAnyFate(t *testing.T) {
	for seed := range uint64(seeds()) {
		clock := newClock()
		c := &course{
			rng:   rand.New(rand.NewPCG(seed, 9)),
			clock: clock,
			disk:  disk.New(),
			model: newModel(map[string]string{}),
			options: store.Options{
				SegmentBytes: 2000, MaxBytes: 1 << 20, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Clock: clock.now,
			},
		}
		for run := range 12 {
			c.play(t, fmt.Sprintf("seed %d, run %d", seed, run))
		}
	}
}

// play plays one run of the process, from opening the store until the process ends in some way.
func (c *course) play(t *testing.T, when string) {
	t.Helper()
	kv, err := store.Open(c.disk, c.options)
	if err != nil {
		t.Fatalf("%s: %v", when, err)
	}
	got := content(t, kv)
	c.model.checkReopened(t, got, when)
	if h := kv.Health(); len(h.Damage) > 0 {
		t.Fatalf("%s: reported as damaged: %v", when, h.Damage)
	}
	c.model = newModel(got) // records that were read once stay
	for range 20 {
		c.disturb()
		c.write(kv)
		c.clock.advance(10 * time.Millisecond)
		if records, err := readAll(kv); err == nil { // it fails after a loss of power
			c.model.checkRunning(t, records, when)
		}
	}
	c.disk.SetCapacity(-1)
	c.disk.Fail(nil)
	c.end(kv)
}

// disturb makes the disk fail in some way, or work again.
func (c *course) disturb() {
	switch c.rng.IntN(12) {
	case 0:
		c.disk.FailSyncs(1)
	case 1:
		c.disk.SetCapacity(c.rng.IntN(600))
	case 2:
		c.disk.Fail(syscall.EIO)
	case 3:
		c.disk.LosePowerAt(1+c.rng.IntN(30), c.rng.Uint64())
	default:
		c.disk.SetCapacity(-1)
		c.disk.Fail(nil)
	}
}

// write changes records with four concurrent writers, each with its own keys.
func (c *course) write(kv *store.Store) {
	var writers sync.WaitGroup
	for w := range 4 {
		rng := rand.New(rand.NewPCG(c.rng.Uint64(), uint64(w)))
		writers.Go(func() {
			for range 6 {
				key := fmt.Sprintf("w%d-%d", w, rng.IntN(5))
				value := fmt.Sprintf("%x", rng.Uint64())
				var err error
				if rng.IntN(4) == 0 {
					value = ""
					err = kv.Delete([]byte(key))
				} else {
					err = kv.Put([]byte(key), []byte(value), 0)
				}
				c.model.record(key, value, err)
			}
		})
	}
	writers.Wait()
}

// end ends the process in some way, and leaves the disk as the next one finds it.
func (c *course) end(kv *store.Store) {
	switch c.rng.IntN(3) {
	case 0:
		if kv.Close() == nil {
			c.disk = c.disk.AfterCrash()
		} else {
			c.disk = c.disk.AfterPowerLoss(c.rng)
		}
	case 1:
		crash(kv, c.disk)
		c.disk = c.disk.AfterCrash()
	case 2:
		next := c.disk.AfterPowerLoss(c.rng)
		closeIgnoringError(kv)
		c.disk = next
	}
}

// crash ends a store as a crash of the process does: nothing that it does afterwards reaches the disk.
func crash(kv *store.Store, testDisk *disk.Disk) {
	testDisk.Fail(disk.ErrPowerLost)
	closeIgnoringError(kv)
	testDisk.Fail(nil)
}
