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
	clock   storeClock // set when the store is opened
	id      uint64     // random, set when the store is opened

	queue     *batchQueue
	committer *committer
	compactor *compactor

	mu       sync.RWMutex // guards the fields below; never held during a write or sync of the committer
	index    index
	segments []*segment // the oldest first; the committer may write to the last one
	health   Health
	nextID   uint64 // of the next segment
}

// Health is the state of a store's disk.
type Health struct {
	Err       error    // of the last write; nil if it succeeded
	Failures  int      // errors of the disk since the store was opened
	TornBytes int64    // bytes of incomplete appends, found when the store was opened
	Damage    []Damage // found when the store was opened
}

// Open opens the store in a directory, or creates one if the directory has no segment. Data that cannot be read is reported by
// Health, and the rest is served. Open returns a NewerVersionError for a store that a later version has written, without changing
// it, and ErrLocked if another process has the store open. The caller has to call Close.
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
		if err = store.committer.roll(); err != nil {
			err = fmt.Errorf("no segment can be made: %w", err)
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

// Apply queues a batch, and calls done once the batch is durable or has failed: from another goroutine, or before Apply returns. It
// does not wait for the disk. A batch that failed with an error of the disk is not visible, but may be visible as a whole after the
// store is opened again.
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

// Delete deletes the record of a key and waits until that is durable. It is no error if there is none.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	return s.ApplyAndWait(b)
}

// Get returns the latest durable value of a key, and the time until it expires, which is undefined for a record that never does. ok
// is false if there is no record. An error means that there is one that cannot be read.
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

// Range calls visit for each record, in no particular order, until it returns false. Records that are written during the call may
// be visited or not. Range skips records that cannot be read, and returns the error of the first one. timeLeft is as in Get.
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

// Len returns the number of records in the index. It may count records that have just expired.
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

// Health returns the state of the disk.
func (s *Store) Health() Health {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h := s.health
	h.Damage = slices.Clone(h.Damage)
	return h
}

// recordFailure adds an error of the disk to Health.
func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Err = err
	s.health.Failures++
}

// Compact writes the live records of all segments but the active one into a new segment, and removes the old ones. Damaged segments
// are not removed: they are renamed to end in .damaged, and not read again.
func (s *Store) Compact() error { return s.compactor.compactAll() }

// Close writes the queued batches, seals the active segment and unlocks the directory. It returns ErrClosed if the store was closed
// before.
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

// dropExpired removes expired records from the index.
func (s *Store) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.dropExpired(s.clock.now())
}

// admit sets the error of each batch in a group that would exceed MaxRecords or MaxBytes to ErrFull, and returns the number of the
// other batches.
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

// allocateID returns an ID for a new segment. An ID is never used twice, even if the segment could not be created: after a failure
// the state of the disk is unknown. The caller holds s.mu.
func (s *Store) allocateID() uint64 {
	s.nextID++
	return s.nextID - 1
}

// newStoreID returns a random ID other than 0.
func newStoreID() uint64 { return rand.Uint64() | 1 }
