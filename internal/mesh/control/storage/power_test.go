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

// powerDisk is a folder of goleveldb's files on a disk that loses power. Any part of what was written since a file's last sync may remain.
// Each name that was made, removed or set since the folder's last sync is kept or lost independently.
type powerDisk struct {
	mu     sync.Mutex
	names  map[lstorage.FileDesc]*powerFile // as the process sees them
	synced map[lstorage.FileDesc]*powerFile // as they are on the disk
	meta   [2]lstorage.FileDesc             // the list of files in use: as the process sees it, and on the disk
	calls  int                              // number of changing calls until the power is lost
	after  *powerDisk                       // the disk after the loss of power; nil before it
	full   int                              // number of changing calls that fail because the disk is full
	fullIn int                              // number of changing calls before those
	random *rand.Rand
}

// powerFile is a file. goleveldb only appends to files.
type powerFile struct {
	data   []byte
	synced int // length of the synced part of data
}

var errNoPower = errors.New("the power is gone")

func newPowerDisk(random *rand.Rand) *powerDisk {
	return &powerDisk{names: map[lstorage.FileDesc]*powerFile{}, synced: map[lstorage.FileDesc]*powerFile{}, random: random}
}

// change counts a changing call, and returns its error. Power is lost at the last one. The caller holds p.mu.
func (p *powerDisk) change() error {
	if p.after != nil {
		return errNoPower
	}
	if p.calls--; p.calls == 0 {
		p.after = p.left()
		return errNoPower
	}
	if p.fullIn--; p.fullIn < 0 && p.full > 0 {
		p.full--
		return syscall.ENOSPC
	}
	return nil
}

// left returns a disk as a loss of power leaves this one. The caller holds p.mu.
func (p *powerDisk) left() *powerDisk {
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
	for fd, f := range p.names {
		if p.synced[fd] == f || p.random.IntN(2) == 0 {
			keep(fd, f)
		}
	}
	for fd, f := range p.synced {
		if p.names[fd] != f && left.names[fd] == nil && p.random.IntN(2) == 0 {
			keep(fd, f)
		}
	}
	for fd, f := range left.names {
		left.synced[fd] = f
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
	for fd, f := range p.names {
		p.synced[fd] = f
	}
	p.meta[1] = p.meta[0]
	return nil
}

func (p *powerDisk) Lock() (lstorage.Locker, error) { return powerLock{}, nil }

type powerLock struct{}

func (powerLock) Unlock() {}

func (p *powerDisk) Log(string) {}

func (p *powerDisk) Close() error { return nil }

// SetMeta replaces the name of the list of files, and syncs the folder, as goleveldb's own files do.
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
	f := p.names[fd]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return struct {
		*bytes.Reader
		io.Closer
	}{bytes.NewReader(bytes.Clone(f.data)), io.NopCloser(nil)}, nil
}

func (p *powerDisk) Create(fd lstorage.FileDesc) (lstorage.Writer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.change(); err != nil {
		return nil, err
	}
	f := &powerFile{}
	p.names[fd] = f
	return &powerWriter{p, fd, f}, nil
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

type powerWriter struct {
	disk *powerDisk
	fd   lstorage.FileDesc
	file *powerFile
}

func (p *powerWriter) Write(data []byte) (int, error) {
	p.disk.mu.Lock()
	defer p.disk.mu.Unlock()
	if p.disk.after != nil {
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

// powerRun is a process that is started again and again on its folder, and writes records with rising numbers.
type powerRun struct {
	folder       string         // exists
	number       int            // of the last record
	acknowledged map[string]int // number of the last record that Put has written, by key
	attempted    map[string]int // number of the last record that Put was called with, by key
}

// errOlder means that a record is not the last one that was written.
var errOlder = errors.New("not the newest record")

func newPowerRun(folder string) *powerRun {
	return &powerRun{folder: folder, acknowledged: map[string]int{}, attempted: map[string]int{}}
}

// start starts the process: it checks all records, and writes more until it has written the given number or power is lost.
func (p *powerRun) start(disk *powerDisk, records int) error {
	store := &Store{folder: p.folder, openFiles: func(string) (*durableFiles, error) {
		return newDurableFiles(disk, disk.syncFolder), nil
	}}
	defer func() { _ = store.Close() }() // it fails after a loss of power
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

// check reads a record, which must not be older than the last acknowledged one.
func (p *powerRun) check(store *Store, key string) error {
	data, err := store.Get(key)
	for errors.Is(err, syscall.ENOSPC) {
		data, err = store.Get(key)
	}
	if err != nil {
		return fmt.Errorf("get %s: %w", key, err)
	}
	found := 0
	if _, err := fmt.Sscanf(string(data), "%d ", &found); err != nil {
		return fmt.Errorf("%w: %s: %w", errOlder, key, err)
	}
	if found < p.acknowledged[key] || found > p.attempted[key] {
		return fmt.Errorf("%w: %s is %d, %d was acknowledged, %d tried", errOlder, key, found, p.acknowledged[key], p.attempted[key])
	}
	p.acknowledged[key] = found // the record may have been written although Put returned an error
	return nil
}

// write writes the next record. A full disk is no error, as a later write may succeed.
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
		return fmt.Errorf("put %s: %w", key, err)
	}
	p.acknowledged[key] = p.number
	return nil
}

// A process writes records as a voter does, sometimes finds the disk full, and loses power at any call to the disk: while journals are
// created, tables written, lists of files replaced and old files removed, and during the recovery after a loss of power. Every record
// that Put has written is read after that, and no older one.
func TestAcknowledgedRecordsOutliveAnyLossOfPower(t *testing.T) {
	seeds := uint64(40)
	if os.Getenv("SOAK") != "" {
		seeds = 2000
	}
	const starts = 14 // the last one only reads
	folder := t.TempDir()
	for seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 1))
		disk := newPowerDisk(random)
		run := newPowerRun(folder)
		for start := range starts {
			last := start == starts-1
			records := 1000
			if random.IntN(3) == 0 {
				disk.full, disk.fullIn = 1+random.IntN(30), random.IntN(60)
			}
			disk.calls = 1 + random.IntN(1+random.IntN(300))
			if last {
				disk.calls, records = -1, 0
			}
			err := run.start(disk, records)
			disk.mu.Lock()
			left := disk.after
			disk.mu.Unlock()
			if errors.Is(err, errOlder) || err != nil && left == nil || err == nil && !last {
				t.Fatalf("seed %d, start %d, %d records written: %v", seed, start, run.number, err)
			}
			if left != nil {
				disk = left
			}
		}
	}
	t.Logf("%d starts", seeds*starts)
}

// clone returns a copy of the disk with its own random numbers.
func (p *powerDisk) clone(seed uint64) *powerDisk {
	p.mu.Lock()
	defer p.mu.Unlock()
	clone := newPowerDisk(rand.New(rand.NewPCG(seed, 2)))
	clone.meta = p.meta
	copies := map[*powerFile]*powerFile{}
	for _, names := range []map[lstorage.FileDesc]*powerFile{p.names, p.synced} {
		for _, f := range names {
			if copies[f] == nil {
				copies[f] = &powerFile{data: bytes.Clone(f.data), synced: f.synced}
			}
		}
	}
	for fd, f := range p.names {
		clone.names[fd] = copies[f]
	}
	for fd, f := range p.synced {
		clone.synced[fd] = copies[f]
	}
	return clone
}

// interrupted starts a process and loses power at a call. It returns the disk after that, nil if there was no such call.
func interrupted(t *testing.T, run powerRun, disk *powerDisk, call int) *powerDisk {
	t.Helper()
	disk.calls = call
	err := run.start(disk, 0)
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if errors.Is(err, errOlder) || err != nil && disk.after == nil {
		t.Fatalf("power lost at call %d: %v", call, err)
	}
	return disk.after
}

// Power is lost during writes, again at any call of the next start, and once more at any call of the start after that. The same holds if
// the list of files is corrupt, so that a new one has to be made.
func TestPowerLostAtEachCallOfTwoStarts(t *testing.T) {
	for name, corrupt := range map[string]bool{"list of files intact": false, "list of files corrupt": true} {
		t.Run(name, func(t *testing.T) {
			starts := 0
			for seed := range uint64(2) {
				starts += interruptTwoStarts(t, seed, corrupt)
			}
			t.Logf("%d starts", starts)
		})
	}
}

// interruptTwoStarts interrupts two starts at all their calls, and returns the number of starts.
func interruptTwoStarts(t *testing.T, seed uint64, corrupt bool) (starts int) {
	t.Helper()
	run := *newPowerRun(t.TempDir())
	disk := newPowerDisk(rand.New(rand.NewPCG(seed, 1)))
	disk.calls = 90 + int(seed)*120
	_ = run.start(disk, 1000) // it ends with the power
	disk = disk.after
	if corrupt { // after a start that has put all records into tables
		if interrupted(t, run, disk, -1) != nil {
			t.Fatal("power was lost without cause")
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
				t.Fatal("power was lost without cause")
			}
			starts += 3
		}
	}
}
