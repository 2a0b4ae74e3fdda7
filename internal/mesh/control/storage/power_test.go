package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"

	lstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// powerDisk simulates a folder of goleveldb's files on a disk that loses power. Of the bytes that were written since a file's last sync,
// any number may remain. Each creation, removal and renaming of a file since the folder's last sync is kept or undone independently.
type powerDisk struct {
	mu               sync.Mutex
	names            map[lstorage.FileDesc]*powerFile // files by name, as the process sees them
	synced           map[lstorage.FileDesc]*powerFile // files by name, as of the folder's last sync
	meta             [2]lstorage.FileDesc             // active manifest, as the process sees it and as of the folder's last sync
	callsUntilLoss   int                              // number of calls of change until the loss of power; 0 or less for no loss
	afterLoss        *powerDisk                       // the disk after the loss of power; nil before it
	failuresWhenFull int                              // number of calls of change that fail because the disk is full
	callsUntilFull   int                              // number of calls of change before those that fail
	random           *rand.Rand
}

// powerFile is the content of a file on a powerDisk. goleveldb only appends to files.
type powerFile struct {
	data   []byte
	synced int // length of the synced part of data
}

var errNoPower = errors.New("power lost")

func newPowerDisk(random *rand.Rand) *powerDisk {
	return &powerDisk{names: map[lstorage.FileDesc]*powerFile{}, synced: map[lstorage.FileDesc]*powerFile{}, random: random}
}

// change counts a call that changes the disk, and returns its error. Power is lost when the counter reaches 0. The caller holds p.mu.
func (p *powerDisk) change() error {
	if p.afterLoss != nil {
		return errNoPower
	}
	if p.callsUntilLoss--; p.callsUntilLoss == 0 {
		p.afterLoss = p.stateAfterLoss()
		return errNoPower
	}
	if p.callsUntilFull--; p.callsUntilFull < 0 && p.failuresWhenFull > 0 {
		p.failuresWhenFull--
		return syscall.ENOSPC
	}
	return nil
}

// stateAfterLoss returns the disk as it may be after a loss of power, chosen at random. The caller holds p.mu.
func (p *powerDisk) stateAfterLoss() *powerDisk {
	left := newPowerDisk(p.random)
	left.meta = [2]lstorage.FileDesc{p.meta[1], p.meta[1]}
	if p.random.IntN(2) == 0 {
		left.meta = [2]lstorage.FileDesc{p.meta[0], p.meta[0]}
	}
	keep := func(fd lstorage.FileDesc, file *powerFile) {
		data := file.data[:file.synced+p.random.IntN(len(file.data)-file.synced+1)]
		if p.random.IntN(4) == 0 {
			data = file.data[:file.synced]
		}
		left.names[fd] = &powerFile{data: bytes.Clone(data), synced: len(data)}
	}
	for fd, file := range p.names {
		if p.synced[fd] == file || p.random.IntN(2) == 0 {
			keep(fd, file)
		}
	}
	for fd, file := range p.synced {
		if p.names[fd] != file && left.names[fd] == nil && p.random.IntN(2) == 0 {
			keep(fd, file)
		}
	}
	for fd, file := range left.names {
		left.synced[fd] = file
	}
	return left
}

func (p *powerDisk) syncFolder() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.change(); err != nil {
		return err
	}
	p.synced = map[lstorage.FileDesc]*powerFile{}
	for fd, file := range p.names {
		p.synced[fd] = file
	}
	p.meta[1] = p.meta[0]
	return nil
}

func (p *powerDisk) Lock() (lstorage.Locker, error) { return powerLock{}, nil }

type powerLock struct{}

func (powerLock) Unlock() {}

func (p *powerDisk) Log(string) {}

func (p *powerDisk) Close() error { return nil }

// SetMeta sets the active manifest and syncs the folder, as goleveldb's own file storage does.
func (p *powerDisk) SetMeta(fd lstorage.FileDesc) error {
	p.mu.Lock()
	err := p.change()
	if err == nil {
		p.meta[0] = fd
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	return p.syncFolder()
}

func (p *powerDisk) GetMeta() (lstorage.FileDesc, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.names[p.meta[0]] == nil {
		return lstorage.FileDesc{}, os.ErrNotExist
	}
	return p.meta[0], nil
}

func (p *powerDisk) List(kinds lstorage.FileType) (all []lstorage.FileDesc, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for fd := range p.names {
		if fd.Type&kinds != 0 {
			all = append(all, fd)
		}
	}
	return all, nil
}

func (p *powerDisk) Open(fd lstorage.FileDesc) (lstorage.Reader, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := p.names[fd]
	if file == nil {
		return nil, os.ErrNotExist
	}
	return struct {
		*bytes.Reader
		io.Closer
	}{bytes.NewReader(bytes.Clone(file.data)), io.NopCloser(nil)}, nil
}

func (p *powerDisk) Create(fd lstorage.FileDesc) (lstorage.Writer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.change(); err != nil {
		return nil, err
	}
	file := &powerFile{}
	p.names[fd] = file
	return &powerWriter{p, fd, file}, nil
}

func (p *powerDisk) Remove(fd lstorage.FileDesc) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.change(); err != nil {
		return err
	}
	delete(p.names, fd)
	return nil
}

func (p *powerDisk) Rename(from, to lstorage.FileDesc) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.change(); err != nil {
		return err
	}
	p.names[to] = p.names[from]
	delete(p.names, from)
	return nil
}

// powerWriter writes a file of a powerDisk.
type powerWriter struct {
	disk *powerDisk
	fd   lstorage.FileDesc
	file *powerFile
}

func (p *powerWriter) Write(data []byte) (int, error) {
	p.disk.mu.Lock()
	defer p.disk.mu.Unlock()
	if p.disk.afterLoss != nil {
		return 0, errNoPower
	}
	p.file.data = append(p.file.data, data...)
	return len(data), p.disk.change()
}

func (p *powerWriter) Sync() error {
	p.disk.mu.Lock()
	err := p.disk.change()
	if err == nil {
		p.file.synced = len(p.file.data)
	}
	p.disk.mu.Unlock()
	if err == nil && p.fd.Type == lstorage.TypeManifest {
		return p.disk.syncFolder()
	}
	return err
}

func (p *powerWriter) Close() error { return nil }

// powerRun simulates a process that is started repeatedly on the same folder, and writes records with increasing numbers.
type powerRun struct {
	folder       string         // path of an existing folder
	number       int            // number of the newest record
	acknowledged map[string]int // number of the newest record for which Put returned no error, by key
	attempted    map[string]int // number of the newest record that Put was called with, by key
}

// errUnexpectedRecord means that a record is older than the last acknowledged one, or was never written.
var errUnexpectedRecord = errors.New("unexpected record")

func newPowerRun(folder string) *powerRun {
	return &powerRun{folder: folder, acknowledged: map[string]int{}, attempted: map[string]int{}}
}

// start starts the process. It checks the newest record of each key, and then writes the given number of records, or fewer if power is
// lost.
func (p *powerRun) start(disk *powerDisk, records int) error {
	store := &Store{folder: p.folder, openFiles: func(string) (*durableFiles, error) {
		return newDurableFiles(disk, disk.syncFolder), nil
	}}
	defer func() { _ = store.Close() }() // Close fails after a loss of power
	for key := range p.acknowledged {
		if err := p.check(store, key); err != nil {
			return err
		}
	}
	for range records {
		if err := p.write(store); err != nil {
			return err
		}
	}
	return nil
}

// check reads the record of a key. It fails if the record is older than the last acknowledged one, or newer than the last attempted one.
// While the disk is full, it retries.
func (p *powerRun) check(store *Store, key string) error {
	data, err := store.Get(key)
	for errors.Is(err, syscall.ENOSPC) {
		data, err = store.Get(key)
	}
	if err != nil {
		return fmt.Errorf("get record %s: %w", key, err)
	}
	found := 0
	if _, err := fmt.Sscanf(string(data), "%d ", &found); err != nil {
		return fmt.Errorf("%w: number of record %s: %w", errUnexpectedRecord, key, err)
	}
	if found < p.acknowledged[key] || found > p.attempted[key] {
		return fmt.Errorf("%w: record %s has number %d, want %d (acknowledged) to %d (attempted)", errUnexpectedRecord,
			key, found, p.acknowledged[key], p.attempted[key])
	}
	p.acknowledged[key] = found // the record may have been written although Put returned an error
	return nil
}

// write writes the next record. It returns no error if the disk is full, because a later write may succeed.
func (p *powerRun) write(store *Store) error {
	key := []string{"vote", "standing", "vote"}[p.number%3]
	p.number++
	p.attempted[key] = p.number
	body := fmt.Appendf(nil, "%d ", p.number)
	if key == "vote" {
		body = append(body, bytes.Repeat([]byte("0123456789abcdef"), 1+p.number%7<<9)...)
	}
	err := store.Put(key, body)
	if errors.Is(err, syscall.ENOSPC) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("put record %s: %w", key, err)
	}
	p.acknowledged[key] = p.number
	return nil
}

// A process writes records as a voter does, sometimes finds the disk full, and loses power at a random call to the disk: while journals are
// created, tables are written, manifests are replaced and old files are removed, and during the recovery from a loss of power. After that,
// no record is older than the last one for which Put returned no error.
func TestAcknowledgedRecordsOutliveAnyLossOfPower(t *testing.T) {
	seeds := uint64(40)
	if os.Getenv("SOAK") != "" {
		seeds = 2000
	}
	const starts = 14 // the last start only reads
	folder := t.TempDir()
	for seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 1))
		disk := newPowerDisk(random)
		run := newPowerRun(folder)
		for start := range starts {
			last := start == starts-1
			records := 1000
			if random.IntN(3) == 0 {
				disk.failuresWhenFull, disk.callsUntilFull = 1+random.IntN(30), random.IntN(60)
			}
			disk.callsUntilLoss = 1 + random.IntN(1+random.IntN(300))
			if last {
				disk.callsUntilLoss, records = -1, 0
			}
			err := run.start(disk, records)
			disk.mu.Lock()
			left := disk.afterLoss
			disk.mu.Unlock()
			if errors.Is(err, errUnexpectedRecord) || err != nil && left == nil || err == nil && !last {
				t.Fatalf("seed %d, start %d, %d records written: unexpected result of the start: %v", seed, start, run.number, err)
			}
			if left != nil {
				disk = left
			}
		}
	}
	t.Logf("started %d times", seeds*starts)
}

// clone returns a copy of the disk with a separate random generator.
func (p *powerDisk) clone(seed uint64) *powerDisk {
	p.mu.Lock()
	defer p.mu.Unlock()
	clone := newPowerDisk(rand.New(rand.NewPCG(seed, 2)))
	clone.meta = p.meta
	copies := map[*powerFile]*powerFile{}
	for _, names := range []map[lstorage.FileDesc]*powerFile{p.names, p.synced} {
		for _, file := range names {
			if copies[file] == nil {
				copies[file] = &powerFile{data: bytes.Clone(file.data), synced: file.synced}
			}
		}
	}
	for fd, file := range p.names {
		clone.names[fd] = copies[file]
	}
	for fd, file := range p.synced {
		clone.synced[fd] = copies[file]
	}
	return clone
}

// interrupted starts a process and loses power at the call with the given number. It returns the disk after that, nil if the start made
// fewer calls. A negative number means no loss of power.
func interrupted(t *testing.T, run powerRun, disk *powerDisk, call int) *powerDisk {
	t.Helper()
	disk.callsUntilLoss = call
	err := run.start(disk, 0)
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if errors.Is(err, errUnexpectedRecord) || err != nil && disk.afterLoss == nil {
		t.Fatalf("start with power lost at call %d: unexpected error: %v", call, err)
	}
	return disk.afterLoss
}

// No acknowledged record is lost if power is lost during writes, again at any call of the next start, and once more at any call of the
// start after that. The same holds if the manifest is corrupt, so that a new one must be created.
func TestPowerLostAtEachCallOfTwoStarts(t *testing.T) {
	for name, corrupt := range map[string]bool{"list of files intact": false, "list of files corrupt": true} {
		t.Run(name, func(t *testing.T) {
			starts := 0
			for seed := range uint64(2) {
				starts += interruptTwoStarts(t, seed, corrupt)
			}
			t.Logf("started %d times", starts)
		})
	}
}

// interruptTwoStarts loses power at each call of a start and, for each of them, at each call of the following start. It returns the number
// of starts.
func interruptTwoStarts(t *testing.T, seed uint64, corrupt bool) (starts int) {
	t.Helper()
	run := *newPowerRun(t.TempDir())
	disk := newPowerDisk(rand.New(rand.NewPCG(seed, 1)))
	disk.callsUntilLoss = 90 + int(seed)*120
	_ = run.start(disk, 1000) // the loss of power ends the start with an error
	disk = disk.afterLoss
	if corrupt { // after a start without faults, which moves all records into tables
		if interrupted(t, run, disk, -1) != nil {
			t.Fatal("power was lost during a start that requested no loss")
		}
		disk.names[disk.meta[0]].data = []byte("corrupt")
		disk.names[disk.meta[0]].synced = len("corrupt")
	}
	for first := 1; ; first++ {
		left := interrupted(t, run, disk.clone(uint64(first)), first)
		if left == nil {
			return starts
		}
		for second := 1; ; second++ {
			again := interrupted(t, run, left.clone(uint64(second)), second)
			if again == nil {
				break
			}
			if interrupted(t, run, again, -1) != nil {
				t.Fatal("power was lost during a start that requested no loss")
			}
			starts += 3
		}
	}
}
