// Package store keeps records on a disk so that what it has acknowledged is
// there after a death of the process or a loss of power: a log in segments, an
// index in memory, and compaction. One process writes; any number of goroutines
// read.
//
// Records expire by the time of the store, which nobody can set back, nor, while
// the machine runs, forward. docs/design/store.md tells why it is built so, and
// docs/design/store-format.md what is on the disk.
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

// Options bound a store. The zero value of each means its default.
type Options struct {
	SegmentBytes    int64         // a segment is ended from this size on; 4 MiB
	MaxBytes        int64         // that live records may have on the disk; files together stay below twice this and three segments; 64 MiB
	MaxRecords      int           // live ones, which the index holds in memory; 1 million
	MaxPendingBytes int64         // bytes that may wait for the disk; 4 MiB
	MinBackoff      time.Duration // pause after the disk has failed, doubled each time; 100 ms
	MaxBackoff      time.Duration // the longest; 5 s
	Clock           Clock         // the machine's
}

func (o Options) withDefaults() Options {
	o.SegmentBytes = cmp.Or(o.SegmentBytes, 4<<20)
	o.MaxBytes = cmp.Or(o.MaxBytes, 64<<20)
	o.MaxRecords = cmp.Or(o.MaxRecords, 1<<20)
	o.MaxPendingBytes = cmp.Or(o.MaxPendingBytes, 4<<20)
	o.MinBackoff = cmp.Or(o.MinBackoff, 100*time.Millisecond)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, 5*time.Second)
	if o.Clock == nil {
		o.Clock = SystemClock()
	}
	return o
}

// What a write can fail with, beside the disk's own errors.
var (
	ErrClosed     = errors.New("the store is closed")
	ErrFull       = errors.New("the store holds as much as it may")
	ErrBusy       = errors.New("the disk does not keep up: too much waits for it")
	ErrRecordSize = fmt.Errorf("a key has 1 to %d bytes, a value up to %d", MaxKeyBytes, MaxValueBytes)
)

// Batch is a number of records that become durable together or not at all.
type Batch struct {
	records  []frame
	size     int64
	maxDelay time.Duration
}

// SetMaxDelay says that nobody waits for the batch: it goes to the disk with the next one that somebody does wait for, and
// needs no sync of its own unless none comes for so long. What is lost with the power meanwhile was not acknowledged.
func (b *Batch) SetMaxDelay(most time.Duration) { b.maxDelay = most }

// Put adds a record that stays for a time; 0 for until it is deleted. Key and value must not change until the
// batch has been applied.
func (b *Batch) Put(key, value []byte, keep time.Duration) {
	b.add(frame{kind: kindPut, key: key, value: value, expiresAt: keep.Milliseconds()}, minPutBytes)
}

// Delete adds that a record goes.
func (b *Batch) Delete(key []byte) { b.add(frame{kind: kindDelete, key: key}, minDeleteBytes) }

func (b *Batch) add(f frame, fixed int) {
	b.records = append(b.records, f)
	b.size += int64(fixed + len(f.key) + len(f.value))
}

// pendingBatch is a batch on its way to the disk.
type pendingBatch struct {
	Batch
	done func(error)
}

// location is where the latest record of a key stands.
type location struct {
	segment   *segment
	seq       uint64
	expiresAt int64
	offset    uint32
	size      uint32
}

// segment is a file of the log.
type segment struct {
	header
	name          string
	file          Reader
	size          int64
	records       uint64
	lastSeq       uint64
	expiresAt     int64 // when all of its records have expired,
	shadowedUntil int64 // and all that they have taken the place of in other segments
	liveBytes     int64 // bytes of records that are the latest of their key
	sealed        bool
	skipped       bool // all in it had expired at open, so that it was not read
	damaged       bool // something in it could not be read at open
}

// Store is an open store.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer

	mu          sync.RWMutex // guards what follows
	index       map[string]location
	liveBytes   int64      // bytes of the latest records of all keys
	segments    []*segment // the oldest first; the last one is written to, unless the disk has failed
	expirations expiryQueue
	baseTime    int64 // time of the store at start,
	baseUptime  int64 // which was this much up time
	health      Health
	nextID      uint64 // of a segment

	queueMu       sync.Mutex // guards what follows
	queue         []pendingBatch
	pendingBytes  int64
	closing       bool
	timerSet      bool          // it is woken soon, for batches that are idle
	wake          chan struct{} // holds one
	committerDone chan struct{}

	// Of the committer alone.
	currentSegment *segment // the last one
	activeFile     File     // its file; nil where the disk has failed
	storeID        uint64
	nextSeq        uint64 // sequence number
	durableSeq     uint64 // all up to this one are durable
	failedSeqs     seqRange
	retryAt        int64 // up time
	backoff        time.Duration
	buffer         []byte
	offsets        []uint32

	compactMu        sync.Mutex // held by whoever removes segments
	obsolete         []*segment // files that are to go; compactMu guards it
	compacting       sync.WaitGroup
	compactThreshold int64 // total of bytes from which on it is tried again
}

// Health is how a store's disk does.
type Health struct {
	Err       error // that the last write failed with; nil where it did not
	Failures  int   // of writes since the store was opened
	TornBytes int64 // bytes of an append that was cut, found at open
	Damage    []Damage
}

// storeTime is the time of the store: it never goes back, whatever the machine's clock is set to.
func (s *Store) storeTime() int64 { return s.baseTime + s.options.Clock().UptimeMillis - s.baseUptime }

// Open opens the store in a directory, and makes one where there is none. What cannot be read is named in
// Health, and never stops what can from being served; a store that a later program wrote is refused as a whole
// (NewerVersionError), and nothing of it is changed.
func Open(dir FS, set Options) (*Store, error) {
	set = set.withDefaults()
	lock, err := dir.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{
		fs: dir, options: set, lock: lock, index: map[string]location{}, wake: make(chan struct{}, 1),
		committerDone: make(chan struct{}), backoff: set.MinBackoff,
	}
	if err = s.recoverLog(); err == nil {
		if err = s.roll(); err != nil {
			err = fmt.Errorf("no segment can be made: %w", err)
		}
	}
	if err != nil {
		s.closeFiles()
		lock.Close()
		return nil, err
	}
	go s.commitLoop()
	return s, nil
}

func (s *Store) closeFiles() {
	for _, seg := range s.segments {
		if seg.file != nil {
			seg.file.Close()
		}
	}
}

// Apply makes a batch durable, and calls done, from another goroutine, once it is or has failed. It does not wait
// for the disk. After an error the batch may be there after a restart or not, as far as it has come; it is not seen
// before.
func (s *Store) Apply(b Batch, done func(error)) {
	if err := s.enqueue(b, done); err != nil {
		done(err)
	}
}

func (s *Store) enqueue(b Batch, done func(error)) error {
	for i := range b.records {
		if n := len(b.records[i].key); n == 0 || n > MaxKeyBytes || len(b.records[i].value) > MaxValueBytes {
			return ErrRecordSize
		}
	}
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	switch {
	case s.closing:
		return ErrClosed
	case s.pendingBytes > 0 && s.pendingBytes+b.size > s.options.MaxPendingBytes:
		return ErrBusy
	}
	s.pendingBytes += b.size
	s.queue = append(s.queue, pendingBatch{b, done})
	switch {
	case b.maxDelay <= 0 || s.pendingBytes > s.options.MaxPendingBytes/2:
		s.wakeCommitter()
	case !s.timerSet:
		s.timerSet = true
		time.AfterFunc(b.maxDelay, s.wakeCommitter)
	}
	return nil
}

// wakeCommitter has the committer look at the queue.
func (s *Store) wakeCommitter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ApplyAndWait applies a batch and waits until it is durable.
func (s *Store) ApplyAndWait(b Batch) error {
	done := make(chan error, 1)
	s.Apply(b, func(err error) { done <- err })
	return <-done
}

// Put makes a record durable.
func (s *Store) Put(key, value []byte, keep time.Duration) error {
	var b Batch
	b.Put(key, value, keep)
	return s.ApplyAndWait(b)
}

// Delete makes durable that there is no record of a key.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	return s.ApplyAndWait(b)
}

// Get returns the value that was last made durable for a key, and until when it stays; false where there is
// none. An error says that it is there and cannot be read.
func (s *Store) Get(key []byte) (value []byte, left time.Duration, ok bool, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.index[string(key)]
	now := s.storeTime()
	if !ok || p.expiresAt <= now {
		return nil, 0, false, nil
	}
	f, err := s.readRecord(p)
	if err != nil {
		return nil, 0, false, err
	}
	return f.value, time.Duration(p.expiresAt-now) * time.Millisecond, true, nil
}

// readRecord brings a record from its segment.
func (s *Store) readRecord(p location) (f frame, err error) {
	b := make([]byte, p.size)
	if _, err := io.ReadFull(io.NewSectionReader(p.segment.file, int64(p.offset), int64(p.size)), b); err != nil {
		return f, fmt.Errorf("%s at %d: %w", p.segment.name, p.offset, err)
	}
	f, ok := decodeFrame(b)
	if !ok || f.kind != kindPut || f.seq != p.seq {
		return f, fmt.Errorf("%s at %d: record %d is damaged", p.segment.name, p.offset, p.seq)
	}
	return f, nil
}

// Range calls a function with each record that is there, in no order, until it returns false. Records that are
// written meanwhile may come or not. An error names the first record that could not be read; the others come all
// the same.
func (s *Store) Range(each func(key, value []byte, left time.Duration) bool) (err error) {
	s.mu.RLock()
	keys := slices.Collect(maps.Keys(s.index))
	s.mu.RUnlock()
	for _, key := range keys {
		value, left, ok, fault := s.Get([]byte(key))
		if fault != nil {
			err = cmp.Or(err, fault)
		} else if ok && !each([]byte(key), value, left) {
			break
		}
	}
	return err
}

// Len is how many records the index has. Ones that have just expired may be among them.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.index)
}

// Size is the bytes of all files.
func (s *Store) Size() (total int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.totalBytes()
}

func (s *Store) totalBytes() (sum int64) {
	for _, seg := range s.segments {
		sum += seg.size
	}
	return sum
}

// Health is how the disk does.
func (s *Store) Health() Health {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h := s.health
	h.Damage = slices.Clone(h.Damage)
	return h
}

// Close makes durable what waits, and lets go of the directory.
func (s *Store) Close() error {
	s.queueMu.Lock()
	if s.closing {
		s.queueMu.Unlock()
		return ErrClosed
	}
	s.closing = true
	s.wakeCommitter()
	s.queueMu.Unlock()
	<-s.committerDone
	s.compacting.Wait()
	var err error
	if s.activeFile != nil {
		err = s.seal()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeFiles()
	s.index, s.segments = nil, nil
	return errors.Join(err, s.lock.Close())
}

// commitLoop writes what waits, one sync for all that has come meanwhile.
func (s *Store) commitLoop() {
	defer close(s.committerDone)
	for range s.wake {
		s.queueMu.Lock()
		group, closing := s.queue, s.closing
		s.queue, s.timerSet = nil, false
		s.queueMu.Unlock()
		if len(group) > 0 {
			s.commitGroup(group)
			size := int64(0)
			for _, w := range group {
				size += w.size
			}
			s.queueMu.Lock()
			s.pendingBytes -= size
			s.queueMu.Unlock()
		}
		if closing { // nothing is queued after that was seen
			return
		}
	}
}

// commitGroup writes a group of batches, syncs, and tells of each.
func (s *Store) commitGroup(group []pendingBatch) {
	s.dropExpired()
	errs := make([]error, len(group))
	kept := s.admitGroup(group, errs)
	if kept > 0 {
		if err := s.writeGroup(group, errs); err != nil {
			for i := range errs {
				errs[i] = cmp.Or(errs[i], err)
			}
		}
	}
	for i, w := range group {
		w.done(errs[i])
	}
	s.maintain()
}

// admitGroup refuses batches that would make more live records than there may be. What a record takes the place of is
// not counted as free: it is, once this has been durable.
func (s *Store) admitGroup(group []pendingBatch, errs []error) (kept int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	live, records := s.liveBytes, len(s.index)
	for i, w := range group {
		puts, size := 0, int64(0)
		for j := range w.records {
			if f := &w.records[j]; f.kind == kindPut {
				puts++
				size += int64(minPutBytes + len(f.key) + len(f.value))
				if p, ok := s.index[string(f.key)]; ok {
					puts--
					size -= int64(p.size)
				}
			}
		}
		if puts > 0 && records+puts > s.options.MaxRecords || size > 0 && live+size > s.options.MaxBytes {
			errs[i] = ErrFull
			continue
		}
		records += puts
		live += size
		kept++
	}
	return kept
}

// writeGroup makes durable the batches of a group that have no error yet.
func (s *Store) writeGroup(group []pendingBatch, errs []error) (err error) {
	up := s.options.Clock().UptimeMillis
	if s.activeFile == nil {
		if up < s.retryAt {
			return s.Health().Err
		}
		if err := s.roll(); err != nil {
			s.recordFailure(err)
			return err
		}
	}
	seg := s.currentSegment
	now := s.storeTime()
	first := s.nextSeq
	b := appendFrame(s.buffer[:0], &frame{kind: kindGroup, seq: first, durableSeq: s.durableSeq, storeTime: now})
	s.offsets = s.offsets[:0]
	for i, w := range group {
		if errs[i] != nil {
			continue
		}
		for j := range w.records {
			f := &w.records[j]
			f.seq, f.moreInBatch = s.nextSeq, j < len(w.records)-1
			s.nextSeq++
			if f.kind == kindPut {
				if f.expiresAt == 0 {
					f.expiresAt = never
				} else {
					f.expiresAt += now
				}
			}
			s.offsets = append(s.offsets, uint32(len(b)))
			b = appendFrame(b, f)
		}
	}
	s.offsets = append(s.offsets, uint32(len(b)))
	s.buffer = b
	if cap(b) > 1<<20 {
		s.buffer = nil
	}
	n, err := s.activeFile.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err == nil {
		// Of a file whose sync has failed nothing that was not synced is known: the kernel may have dropped it and
		// say that all is well next time. So nothing more goes there.
		err = s.activeFile.Sync()
	}
	if err != nil {
		s.failedSeqs[1] = s.nextSeq
		if s.failedSeqs[0] == 0 {
			s.failedSeqs[0] = first
		}
		s.activeFile = nil // what is durable in it goes on being read
		s.mu.Lock()
		seg.size += int64(n)
		s.mu.Unlock()
		s.recordFailure(err)
		return err
	}
	s.durableSeq = s.nextSeq - 1
	s.mu.Lock()
	at := uint32(seg.size)
	k := 0
	for i, w := range group {
		if errs[i] != nil {
			continue
		}
		for j := range w.records {
			s.indexRecord(seg, &w.records[j], at+s.offsets[k], s.offsets[k+1]-s.offsets[k])
			k++
		}
	}
	seg.size += int64(len(b))
	seg.lastSeq = s.durableSeq
	s.health.Err = nil
	s.mu.Unlock()
	s.backoff = s.options.MinBackoff
	if seg.size >= s.options.SegmentBytes {
		err := s.seal()
		if err == nil {
			err = s.roll()
		}
		if err != nil {
			s.recordFailure(err)
		}
	}
	return nil
}

// recordFailure notes that the disk has failed, and when it is next asked.
func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	s.health.Err = err
	s.health.Failures++
	s.mu.Unlock()
	s.retryAt = s.options.Clock().UptimeMillis + s.backoff.Milliseconds()
	s.backoff = min(2*s.backoff, s.options.MaxBackoff)
}

// seal ends the segment that is written to.
func (s *Store) seal() error {
	seg, active := s.currentSegment, s.activeFile
	s.activeFile = nil
	b := appendFrame(nil, &frame{kind: kindSeal, seq: s.nextSeq - 1, expiresAt: seg.expiresAt, shadowedUntil: seg.shadowedUntil, records: seg.records})
	n, err := active.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = active.Sync()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		seg.sealed = true
	}
	seg.size += int64(n)
	return err
}

// roll makes a new segment to write to.
func (s *Store) roll() error {
	// Its number is used up whatever comes of it: after a failure nobody knows what is on the disk.
	s.mu.Lock()
	id := s.allocateID()
	s.mu.Unlock()
	h := header{storeID: s.storeID, id: id, firstSeq: s.nextSeq, durableSeq: s.durableSeq, failedSeqs: s.failedSeqs, timestamp: s.options.Clock(), storeTime: s.storeTime()}
	if s.currentSegment != nil {
		h.previousID = s.currentSegment.id
	}
	name := segmentName(h.id)
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	b := h.encode()
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		f.Close()
		s.fs.Remove(name) // if that fails, it has no record
		return err
	}
	s.activeFile, s.failedSeqs = f, seqRange{}
	s.currentSegment = &segment{header: h, name: name, file: f, size: int64(len(b))}
	s.mu.Lock()
	s.segments = append(s.segments, s.currentSegment)
	s.mu.Unlock()
	return nil
}

// indexRecord puts a record into the index. s.mu is held.
func (s *Store) indexRecord(seg *segment, f *frame, at, size uint32) {
	seg.records++
	key := string(f.key)
	old, had := s.index[key]
	if had && old.seq > f.seq {
		return
	}
	if had {
		old.segment.liveBytes -= int64(old.size)
		s.liveBytes -= int64(old.size)
		if old.segment != seg {
			seg.shadowedUntil = max(seg.shadowedUntil, old.expiresAt)
		}
	}
	if f.kind == kindDelete {
		if had {
			delete(s.index, key)
		}
		return
	}
	seg.expiresAt = max(seg.expiresAt, f.expiresAt)
	seg.liveBytes += int64(size)
	s.liveBytes += int64(size)
	s.index[key] = location{seg, f.seq, f.expiresAt, at, size}
	if f.expiresAt != never {
		if len(s.expirations) > 2*len(s.index)+1000 { // most have been written anew since
			s.expirations = s.expirations[:0]
			for key, p := range s.index {
				s.expirations.push(p.expiresAt, key)
			}
		} else {
			s.expirations.push(f.expiresAt, key)
		}
	}
}

// dropExpired drops from the index what has expired.
func (s *Store) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.storeTime()
	for {
		key, ok := s.expirations.pop(now)
		if !ok {
			return
		}
		if p, ok := s.index[key]; ok && p.expiresAt <= now {
			p.segment.liveBytes -= int64(p.size)
			s.liveBytes -= int64(p.size)
			delete(s.index, key)
		}
	}
}

// expiryQueue are keys by when a record of theirs expires; what has been written anew since stands there again.
type expiryQueue []expiry

type expiry struct {
	expiresAt int64
	key       string
}

func (e *expiryQueue) push(at int64, key string) {
	*e = append(*e, expiry{at, key})
	q := *e
	for i := len(q) - 1; i > 0 && q[i].expiresAt < q[(i-1)/2].expiresAt; i = (i - 1) / 2 {
		q[i], q[(i-1)/2] = q[(i-1)/2], q[i]
	}
}

// pop takes a key out whose time has come.
func (e *expiryQueue) pop(now int64) (key string, ok bool) {
	q := *e
	if len(q) == 0 || q[0].expiresAt > now {
		return "", false
	}
	key = q[0].key
	n := len(q) - 1
	q[0], q[n] = q[n], expiry{}
	q = q[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && q[c+1].expiresAt < q[c].expiresAt {
			c++
		}
		if q[i].expiresAt <= q[c].expiresAt {
			break
		}
		q[i], q[c] = q[c], q[i]
		i = c
	}
	*e = q
	return key, true
}

// newStoreID draws what tells a store from others.
func newStoreID() uint64 { return rand.Uint64() | 1 }
