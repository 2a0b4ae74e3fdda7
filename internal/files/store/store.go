package store

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Store is an open store. It is safe for concurrent use.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer
	clock   storeClock // set by Open
	id      uint64     // random ID of the store; Open reads it from the log, or creates it

	queue     *batchQueue
	committer *committer
	compactor *compactor

	mu       sync.RWMutex // guards the fields below; never held during a write or sync of the committer
	index    index
	segments []*segment // segments with the oldest first; the committer may be writing to the last one
	health   Health
	nextID   uint64 // ID of the next segment to create
}

// Health describes the errors of a store's disk and the damage to its files.
type Health struct {
	Err       error    // last disk error; nil after a later write has succeeded
	Failures  int      // number of disk errors since the store was opened
	TornBytes int64    // bytes of incomplete appends that Open found
	Damage    []Damage // damage that Open found
}

// Open opens the store in a directory, or creates one if the directory has no segment. It reports damaged data in Health, and makes
// the remaining records available. Open returns ErrLocked if another process has the store open, and a NewerVersionError for a store
// that a later version has written, which it does not change. The caller must call Close.
func Open(dir FS, options Options) (*Store, error) {
	options = options.withDefaults()
	lock, err := dir.Lock()
	if err != nil {
		return nil, err
	}
	store := &Store{
		fs:      dir,
		options: options,
		lock:    lock,
		clock:   storeClock{machine: options.Clock},
		queue:   newBatchQueue(options.MaxPendingBytes),
	}
	store.committer = newCommitter(store)
	store.compactor = &compactor{store: store}
	err = store.recoverLog()
	if err == nil {
		if err = store.committer.createSegment(); err != nil {
			err = fmt.Errorf("create a segment: %w", err)
		}
	}
	if err != nil {
		return nil, errors.Join(err, store.closeFiles(), lock.Close())
	}
	go store.committer.run()
	return store, nil
}

// closeFiles closes the files of all segments.
func (s *Store) closeFiles() error {
	var errs []error
	for _, seg := range s.segments {
		if seg.file != nil {
			errs = append(errs, seg.file.Close())
		}
	}
	return errors.Join(errs...)
}

// Apply queues a batch without waiting for the disk, and calls done once the batch is durable or has failed. It may call done from
// another goroutine, or before it returns. A batch that has failed with a disk error is not visible to readers, but all of its
// records may become visible when the store is reopened.
func (s *Store) Apply(b Batch, done func(error)) {
	err := b.checkSizes()
	if err == nil {
		err = s.queue.add(b, done)
	}
	if err != nil {
		done(err)
	}
}

// ApplyAndWait applies a batch and waits until it is durable.
func (s *Store) ApplyAndWait(b Batch) error {
	done := make(chan error, 1)
	s.Apply(b, func(err error) { done <- err })
	return <-done
}

// Put writes a record and waits until it is durable. The record expires after retention, or never if that is 0.
func (s *Store) Put(key, value []byte, retention time.Duration) error {
	var b Batch
	b.Put(key, value, retention)
	return s.ApplyAndWait(b)
}

// Delete deletes the record of a key and waits until the deletion is durable. It is no error if the key has no record.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	return s.ApplyAndWait(b)
}

// Get returns the latest durable value of a key, and the time until it expires. timeLeft is undefined for a record that never
// expires. ok is false if the key has no record. Get returns an error if the record cannot be read.
func (s *Store) Get(key []byte) (value []byte, timeLeft time.Duration, ok bool, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.index.locations[string(key)]
	now := s.clock.now()
	if !ok || l.expiresAt <= now {
		return nil, 0, false, nil
	}
	record, err := readRecord(l)
	if err != nil {
		return nil, 0, false, err
	}
	return record.value, time.Duration(l.expiresAt-now) * time.Millisecond, true, nil
}

// Range calls visit for each record, in no particular order, until visit returns false. It may or may not visit records that are
// written during the call. Range skips records that cannot be read, and returns the first read error. timeLeft is as in Get.
func (s *Store) Range(visit func(key, value []byte, timeLeft time.Duration) bool) error {
	s.mu.RLock()
	keys := slices.Collect(maps.Keys(s.index.locations))
	s.mu.RUnlock()
	var firstErr error
	for _, key := range keys {
		value, timeLeft, ok, err := s.Get([]byte(key))
		if err != nil {
			firstErr = cmp.Or(firstErr, err)
			continue
		}
		if ok && !visit([]byte(key), value, timeLeft) {
			break
		}
	}
	return firstErr
}

// Len returns the number of records in the index, which may include records that have just expired.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.index.locations)
}

// Size returns the size of all segments in bytes.
func (s *Store) Size() (total int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.totalBytes()
}

// totalBytes returns the size of all segments in bytes. The caller holds s.mu.
func (s *Store) totalBytes() (sum int64) {
	for _, seg := range s.segments {
		sum += seg.size
	}
	return sum
}

// Health returns a copy of the current disk errors and damage.
func (s *Store) Health() Health {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h := s.health
	h.Damage = slices.Clone(h.Damage)
	return h
}

// recordFailure adds a disk error to Health.
func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Err = err
	s.health.Failures++
}

// Compact copies the live records of all segments except the active one to a new segment, and removes the old segments. Damaged
// segments are not removed but renamed, with the suffix .damaged, and not read again.
func (s *Store) Compact() error { return s.compactor.compactAll() }

// Close writes the queued batches, seals the active segment and unlocks the directory. It returns ErrClosed if the store was already
// closed.
func (s *Store) Close() error {
	if err := s.queue.close(); err != nil {
		return err
	}
	<-s.committer.done
	s.compactor.running.Wait()
	err := s.committer.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	err = errors.Join(err, s.closeFiles(), s.lock.Close())
	s.index = index{}
	s.segments = nil
	return err
}

// dropExpired removes the expired records from the index.
func (s *Store) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.dropExpired(s.clock.now())
}

// admit rejects the batches of a group that would exceed MaxRecords or MaxBytes: it sets their entries in errs to ErrFull. It
// returns the number of the other batches.
func (s *Store) admit(group []pendingBatch, errs []error) (admitted int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bytes := s.index.liveBytes
	records := len(s.index.locations)
	for i := range group {
		addedRecords, addedBytes := group[i].growth(&s.index)
		tooMany := addedRecords > 0 && records+addedRecords > s.options.MaxRecords
		tooLarge := addedBytes > 0 && bytes+addedBytes > s.options.MaxBytes
		if tooMany || tooLarge {
			errs[i] = ErrFull
			continue
		}
		records += addedRecords
		bytes += addedBytes
		admitted++
	}
	return admitted
}

// allocateID returns an ID for a new segment. An ID is never reused, even if its segment could not be created, since a file may exist
// on the disk after a failed creation. The caller holds s.mu.
func (s *Store) allocateID() uint64 {
	s.nextID++
	return s.nextID - 1
}

// newStoreID returns a random ID that is not 0.
func newStoreID() uint64 { return rand.Uint64() | 1 }
