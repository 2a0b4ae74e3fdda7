package store_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"quincegap/internal/files/store"
	"quincegap/internal/standin/disk"
)

const (
	stepsPerSequence = 120
	modelKeys        = 25
	maxBatchChanges  = 4
)

// sequences returns the number of random sequences for the model test.
func sequences() uint64 {
	if os.Getenv("SOAK") != "" {
		return 10000
	}
	return 500
}

// modelChanges are the changes of a batch in order.
type modelChanges []modelChange

// modelChange sets the value of a key, or deletes the key if the value is empty.
type modelChange struct{ key, value string }

// applyTo returns a copy of records with the changes applied.
func (c modelChanges) applyTo(records map[string]string) map[string]string {
	changed := maps.Clone(records)
	for _, change := range c {
		if change.value == "" {
			delete(changed, change.key)
		} else {
			changed[change.key] = change.value
		}
	}
	return changed
}

func (c modelChanges) batch() (b store.Batch) {
	for _, change := range c {
		if change.value == "" {
			b.Delete([]byte(change.key))
		} else {
			b.Put([]byte(change.key), []byte(change.value), 0)
		}
	}
	return b
}

// modelRun compares a store with a map of the acknowledged records, in a random sequence of batches, compactions, restarts and losses
// of power.
type modelRun struct {
	t            *testing.T
	random       *rand.Rand
	options      store.Options
	disk         *disk.Disk
	kv           *store.Store
	acknowledged map[string]string
	when         string
}

// step makes one random change, compaction or restart.
func (r *modelRun) step() {
	switch r.random.IntN(20) {
	case 0, 1:
		if err := r.kv.Compact(); err != nil {
			r.restartAfterPowerLoss(nil)
		}
	case 2:
		r.restart()
	case 3:
		r.disk.LosePowerAt(1+r.random.IntN(20), r.random.Uint64())
	default:
		changes := r.randomChanges()
		if err := r.kv.ApplyAndWait(changes.batch()); err != nil {
			r.restartAfterPowerLoss(changes)
			return
		}
		r.acknowledged = changes.applyTo(r.acknowledged)
	}
}

func (r *modelRun) randomChanges() modelChanges {
	changes := make(modelChanges, 1+r.random.IntN(maxBatchChanges))
	for i := range changes {
		changes[i].key = fmt.Sprint("key-", r.random.IntN(modelKeys))
		if r.random.IntN(4) > 0 {
			changes[i].value = fmt.Sprintf("%x", r.random.Uint64())
		}
	}
	return changes
}

// restart closes and opens the store. The power may be lost meanwhile.
func (r *modelRun) restart() {
	if err := r.kv.Close(); err != nil {
		r.openAfterPowerLoss(nil)
		return
	}
	r.open()
	r.checkContent(nil)
}

// restartAfterPowerLoss opens the store on what a loss of power has left. The changes of a batch that has failed may be stored, all or
// none.
func (r *modelRun) restartAfterPowerLoss(failed modelChanges) {
	closeIgnoringError(r.kv)
	r.openAfterPowerLoss(failed)
}

func (r *modelRun) openAfterPowerLoss(failed modelChanges) {
	r.disk = r.disk.AfterPowerLoss(r.random)
	r.open()
	r.checkContent(failed)
}

// open opens the store, again after each loss of power.
func (r *modelRun) open() {
	r.t.Helper()
	for range 3 {
		kv, err := store.Open(r.disk, r.options)
		if err == nil {
			r.kv = kv
			return
		}
		r.disk = r.disk.AfterPowerLoss(r.random)
	}
	r.t.Fatalf("%s: the store cannot be opened", r.when)
}

// checkContent compares the records of the store with the acknowledged ones, with or without the changes of a failed batch.
func (r *modelRun) checkContent(failed modelChanges) {
	r.t.Helper()
	got, err := readAll(r.kv)
	if err != nil {
		r.restartAfterPowerLoss(failed)
		return
	}
	if withFailed := failed.applyTo(r.acknowledged); maps.Equal(got, withFailed) {
		r.acknowledged = withFailed
	}
	if !maps.Equal(got, r.acknowledged) {
		r.t.Fatalf("%s: the store has %v, want the acknowledged %v with or without %v", r.when, got, r.acknowledged, failed)
	}
	if health := r.kv.Health(); len(health.Damage) > 0 {
		r.t.Fatalf("%s: Health reports damage %v, want none", r.when, health.Damage)
	}
}

// Batches of changes with compactions, restarts and losses of power at any call lose no acknowledged record, and each batch whose write
// has failed is stored completely or not at all.
func TestRandomBatchesAgainstModel(t *testing.T) {
	for seed := range sequences() {
		clock := newClock()
		run := &modelRun{
			t:            t,
			random:       rand.New(rand.NewPCG(seed, 58)),
			disk:         disk.New(),
			acknowledged: map[string]string{},
			options: store.Options{
				SegmentBytes: 700, MaxBytes: 1 << 20, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Clock: clock.now,
			},
		}
		run.open()
		for step := range stepsPerSequence {
			run.when = fmt.Sprintf("seed %d, step %d", seed, step)
			run.step()
			clock.advance(time.Millisecond)
		}
		run.when = fmt.Sprintf("seed %d, end", seed)
		run.restart()
		closeIgnoringError(run.kv)
	}
}
