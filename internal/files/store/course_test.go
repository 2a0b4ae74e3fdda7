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

// model tracks which records a store may have.
type model struct {
	mu           sync.Mutex
	acknowledged map[string]string          // last acknowledged value of each key; "" for a deletion
	uncertain    map[string]map[string]bool // values of failed writes by key, each of which may be stored or not; "" for a deletion
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

// checkAfterReopening checks the records of a store that was reopened: failed writes may have taken effect.
func (m *model) checkAfterReopening(t *testing.T, got map[string]string, when string) {
	t.Helper()
	for key := range m.acknowledged {
		if got[key] != m.acknowledged[key] && !m.uncertain[key][got[key]] {
			t.Fatalf("%s: %s is %q after reopening, want the acknowledged %q", when, key, got[key], m.acknowledged[key])
		}
	}
	for key := range got {
		if m.acknowledged[key] == "" && !m.uncertain[key][got[key]] {
			t.Fatalf("%s: %s is %q after reopening, but that value was never acknowledged or was deleted", when, key, got[key])
		}
	}
}

// checkWhileOpen checks the records of a store that has remained open: failed writes are not visible.
func (m *model) checkWhileOpen(t *testing.T, got map[string]string, when string) {
	t.Helper()
	for key, value := range m.acknowledged {
		if got[key] != value {
			t.Fatalf("%s: %s is %q while the store is open, want the acknowledged %q", when, key, got[key], value)
		}
	}
}

// randomFaults runs a random sequence of writes, disk faults and restarts.
type randomFaults struct {
	rng     *rand.Rand
	clock   *testClock
	options store.Options
	disk    *disk.Disk
	model   *model
}

// Concurrent writers use a disk that fails, fills up and loses power, and the process crashes, all in random order. Acknowledged
// writes are never lost, and each failed write has taken effect either completely or not at all.
func TestRandomFaultsLoseNoAcknowledgedWrite(t *testing.T) {
	for seed := range uint64(seeds()) {
		clock := newClock()
		faults := &randomFaults{
			rng:   rand.New(rand.NewPCG(seed, 9)),
			clock: clock,
			disk:  disk.New(),
			model: newModel(map[string]string{}),
			options: store.Options{
				SegmentBytes: 2000, MaxBytes: 1 << 20, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Clock: clock.now,
			},
		}
		for run := range 12 {
			faults.runProcess(t, fmt.Sprintf("seed %d, run %d", seed, run))
		}
	}
}

// runProcess simulates one run of the process, from opening the store until the process ends in a random way.
func (r *randomFaults) runProcess(t *testing.T, when string) {
	t.Helper()
	kv, err := store.Open(r.disk, r.options)
	if err != nil {
		t.Fatalf("%s: open the store: %v", when, err)
	}
	got := content(t, kv)
	r.model.checkAfterReopening(t, got, when)
	if h := kv.Health(); len(h.Damage) > 0 {
		t.Fatalf("%s: Health reports damage %v, want none", when, h.Damage)
	}
	r.model = newModel(got) // records that were read must not change any more
	for range 20 {
		r.injectFault()
		r.write(kv)
		r.clock.advance(10 * time.Millisecond)
		if records, err := readAll(kv); err == nil { // reads fail after a loss of power
			r.model.checkWhileOpen(t, records, when)
		}
	}
	r.disk.SetCapacity(-1)
	r.disk.Fail(nil)
	r.endProcess(kv)
}

// injectFault makes the disk fail in a random way, or work again.
func (r *randomFaults) injectFault() {
	switch r.rng.IntN(12) {
	case 0:
		r.disk.FailSyncs(1)
	case 1:
		r.disk.SetCapacity(r.rng.IntN(600))
	case 2:
		r.disk.Fail(syscall.EIO)
	case 3:
		r.disk.LosePowerAt(1+r.rng.IntN(30), r.rng.Uint64())
	default:
		r.disk.SetCapacity(-1)
		r.disk.Fail(nil)
	}
}

// write changes records with four concurrent writers, each with its own keys.
func (r *randomFaults) write(kv *store.Store) {
	var writers sync.WaitGroup
	for w := range 4 {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), uint64(w)))
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
				r.model.record(key, value, err)
			}
		})
	}
	writers.Wait()
}

// endProcess ends the process in a random way, and sets the disk to the state that the next process finds.
func (r *randomFaults) endProcess(kv *store.Store) {
	switch r.rng.IntN(3) {
	case 0:
		if kv.Close() == nil {
			r.disk = r.disk.AfterCrash()
		} else {
			r.disk = r.disk.AfterPowerLoss(r.rng)
		}
	case 1:
		crash(kv, r.disk)
		r.disk = r.disk.AfterCrash()
	case 2:
		next := r.disk.AfterPowerLoss(r.rng)
		closeIgnoringError(kv)
		r.disk = next
	}
}

// crash simulates a process crash: nothing that the store does afterwards reaches the disk.
func crash(kv *store.Store, testDisk *disk.Disk) {
	testDisk.Fail(disk.ErrPowerLost)
	closeIgnoringError(kv)
	testDisk.Fail(nil)
}
