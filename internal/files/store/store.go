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

	mu       sync.RWMutex // guards what follows; it is never held while the committer writes or syncs
	index    index
	segments []*segment // the oldest first; the last one is the committer's, unless the disk has failed
	health   Health
	nextID   uint64 // of a segment
}

// Health is the state of a store's disk.
type Health struct {
	Err       error // of the last write; nil where it succeeded
	Failures  int   // of the disk since the store was opened
	TornBytes int64 // of appends that were cut, found when the store was opened
	Damage    []Damage
}

// Open opens the store in a directory, or makes a new one where there is no segment. What cannot be read is reported by Health
// and doesn't keep the rest from being served. A store that a later version wrote is refused with a NewerVersionError, and
// nothing of it is changed; one that another process has open with ErrLocked.
func Open(dir FS, options Options) (*Store, error) {
	options = options.withDefaults()
	lock, err := dir.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{
		fs:      dir,
		options: options,
		lock:    lock,
		clock:   storeClock{machine: options.Clock},
		queue:   newBatchQueue(options.MaxPendingBytes),
	}
	s.committer = newCommitter(s)
	s.compactor = &compactor{store: s}
	err = s.recoverLog()
	if err == nil {
		if err = s.committer.roll(); err != nil {
			err = fmt.Errorf("no segment can be made: %w", err)
		}
	}
	if err != nil {
		return nil, errors.Join(err, s.closeFiles(), lock.Close())
	}
	go s.committer.run()
	return s, nil
}

func (s *Store) closeFiles() error {
	var errs []error
	for _, seg := range s.segments {
		if seg.file != nil {
			errs = append(errs, seg.file.Close())
		}
	}
	return errors.Join(errs...)
}

// Apply makes a batch durable, and calls done, from another goroutine or before it returns, once it is or has failed. It does
// not wait for the disk. After an error of the disk the batch may be there after a restart or not; until then it is not
// seen.
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

// Put makes a record durable, which expires after retention, or never where that is 0.
func (s *Store) Put(key, value []byte, retention time.Duration) error {
	var b Batch
	b.Put(key, value, retention)
	return s.ApplyAndWait(b)
}

// Delete makes durable that there is no record of a key.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	return s.ApplyAndWait(b)
}

// Get returns the value that was last made durable for a key, and after what time it expires; false where there is none. An
// error says that there is one which cannot be read. For a record that never expires, timeLeft means nothing.
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

// Range calls a function with each record, in no order, until it returns false. Records that are written meanwhile are visited
// or not. The error is that of the first record that could not be read; the others are visited all the same.
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

// Len returns how many records the index has. Some that have just expired may be among them.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.index.locations)
}

// Size returns the bytes of all segments.
func (s *Store) Size() (total int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.totalBytes()
}

// totalBytes is Size for callers that hold s.mu.
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

// recordFailure notes an error of the disk in Health.
func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Err = err
	s.health.Failures++
}

// Compact writes all live records into one segment, and removes the others. Damaged files are not removed but renamed to end
// in .damaged, and no longer read.
func (s *Store) Compact() error { return s.compactor.compactAll() }

// Close makes durable what is queued, and unlocks the directory. It returns ErrClosed if the store was closed before.
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

// dropExpired removes the records that have expired from the index.
func (s *Store) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.dropExpired(s.clock.now())
}

// admit sets ErrFull for the batches of a group that would make more live records than Options allow, and returns how many
// are left.
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

// allocateID returns an ID for a new segment. It is never used again, whatever becomes of the segment: after a failure nobody
// knows what is on the disk. The caller holds s.mu.
func (s *Store) allocateID() uint64 {
	s.nextID++
	return s.nextID - 1
}

// newStoreID draws a random ID other than 0.
func newStoreID() uint64 { return rand.Uint64() | 1 }
