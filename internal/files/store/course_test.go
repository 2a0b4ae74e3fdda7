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

// model is what a store may have.
type model struct {
	mu    sync.Mutex
	sure  map[string]string          // acknowledged; "" for a delete
	maybe map[string]map[string]bool // values that may be there instead, of writes that failed; "" for none
}

func newModel(content map[string]string) *model {
	return &model{sure: content, maybe: map[string]map[string]bool{}}
}

// note takes in the result of a write.
func (m *model) note(key, value string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.sure[key] = value
		delete(m.maybe, key)
		return
	}
	if m.maybe[key] == nil {
		m.maybe[key] = map[string]bool{}
	}
	m.maybe[key][value] = true
}

// checkReopened compares what a store has after a restart.
func (m *model) checkReopened(t *testing.T, got map[string]string, when string) {
	t.Helper()
	for key := range m.sure {
		if got[key] != m.sure[key] && !m.maybe[key][got[key]] {
			t.Fatalf("%s: %s is %q, and not %q", when, key, got[key], m.sure[key])
		}
	}
	for key := range got {
		if m.sure[key] == "" && !m.maybe[key][got[key]] {
			t.Fatalf("%s: %s=%q was never acknowledged, or was deleted", when, key, got[key])
		}
	}
}

// checkRunning compares what a store has that was not restarted: nothing of the writes that failed.
func (m *model) checkRunning(t *testing.T, got map[string]string, when string) {
	t.Helper()
	for key, value := range m.sure {
		if got[key] != value {
			t.Fatalf("%s: reads %s as %q, and not %q", when, key, got[key], value)
		}
	}
}

// course is a random one of writes, faults of the disk and restarts.
type course struct {
	rng     *rand.Rand
	clock   *testClock
	options store.Options
	disk    *disk.Disk
	model   *model
}

// Many writers, a disk that fails, fills up and loses power, and crashes of the process, in any order: what was
// acknowledged is there, each time, and what failed is there whole or not.
func TestAnyFate(t *testing.T) {
	for seed := range uint64(courses()) {
		clock := newClock()
		c := &course{
			rng: rand.New(rand.NewPCG(seed, 9)), clock: clock, disk: disk.New(), model: newModel(map[string]string{}),
			options: store.Options{
				SegmentBytes: 2000, MaxBytes: 1 << 20, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Clock: clock.now,
			},
		}
		for run := range 12 {
			c.play(t, fmt.Sprintf("seed %d, run %d", seed, run))
		}
	}
}

// play is one run of the process.
func (c *course) play(t *testing.T, when string) {
	t.Helper()
	s, err := store.Open(c.disk, c.options)
	if err != nil {
		t.Fatalf("%s: %v", when, err)
	}
	got := content(t, s)
	c.model.checkReopened(t, got, when)
	if h := s.Health(); len(h.Damage) > 0 {
		t.Fatalf("%s: taken for damaged: %v", when, h.Damage)
	}
	c.model = newModel(got) // what was found is what stays from here on
	for range 20 {
		c.disturb()
		c.write(s)
		c.clock.pass(10 * time.Millisecond)
		if now, err := readAll(s); err == nil { // else the power is off
			c.model.checkRunning(t, now, when)
		}
	}
	c.disk.SetCapacity(-1)
	c.disk.Fail(nil)
	c.end(s)
}

// disturb has the disk fail in some way, or mends it.
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

// write has four writers change records, each of its own keys.
func (c *course) write(s *store.Store) {
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
					err = s.Delete([]byte(key))
				} else {
					err = s.Put([]byte(key), []byte(value), 0)
				}
				c.model.note(key, value, err)
			}
		})
	}
	writers.Wait()
}

// end ends the process in some way, and leaves the disk as the next one finds it.
func (c *course) end(s *store.Store) {
	switch c.rng.IntN(3) {
	case 0:
		if s.Close() == nil {
			c.disk = c.disk.AfterCrash()
		} else {
			c.disk = c.disk.AfterPowerLoss(c.rng)
		}
	case 1:
		crash(s, c.disk)
		c.disk = c.disk.AfterCrash()
	case 2:
		next := c.disk.AfterPowerLoss(c.rng)
		closeAnyhow(s)
		c.disk = next
	}
}

// crash ends a store as a crash of the process does: nothing that it does from then on reaches the disk.
func crash(s *store.Store, d *disk.Disk) {
	d.Fail(disk.ErrPowerLost)
	closeAnyhow(s)
	d.Fail(nil)
}
