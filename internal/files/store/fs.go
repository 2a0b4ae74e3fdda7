package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"quincegap/internal/files/atomicfile"
)

// FS is a directory, as a store uses it. Names have no folders. Tests put one in its place that fails.
type FS interface {
	// Create makes a file that must not be there yet, for writing at its end.
	Create(name string) (File, error)
	Open(name string) (Reader, error)
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes what was made, renamed and removed durable.
	SyncDir() error
	// Lock takes the directory for this process until it is closed; ErrLocked where another one has it.
	Lock() (io.Closer, error)
	// Locked tells whether some process has it, without getting in the way of one that is about to take it.
	Locked() (bool, error)
}

// Reader is a file for reading.
type Reader interface {
	io.ReaderAt
	io.Closer
	Size() (int64, error)
	// Sync makes durable what was written to the file by whoever.
	Sync() error
}

// File is a file for writing at its end, that can be read meanwhile.
type File interface {
	Reader
	io.Writer
}

// ErrLocked says that another process has the store.
var ErrLocked = errors.New("another process has this store open")

// Dir is a directory of the real file system.
type Dir string

type diskFile struct{ *os.File }

func (d diskFile) Size() (int64, error) {
	info, err := d.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create is of FS.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

// Open is of FS.
func (d Dir) Open(name string) (Reader, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

// List is of FS.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Rename is of FS.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove is of FS.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir is of FS.
func (d Dir) SyncDir() error { return atomicfile.Disk{}.SyncDir(string(d)) }

// Locks of an open file (fcntl(2), "Open file description locks"): the kernel lets go of them when the process
// ends, however it does, and they can be asked for without being taken.
const (
	ofdGetLock = 36
	ofdSetLock = 37
)

func exclusiveLock() *syscall.Flock_t { return &syscall.Flock_t{Type: syscall.F_WRLCK} }

// Lock is of FS.
func (d Dir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.FcntlFlock(f.Fd(), ofdSetLock, exclusiveLock()); err != nil {
		f.Close()
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EACCES) {
			err = ErrLocked
		}
		return nil, err
	}
	return f, nil
}

// Locked is of FS.
func (d Dir) Locked() (bool, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	} else if err != nil {
		return false, err
	}
	defer f.Close()
	l := exclusiveLock()
	err = syscall.FcntlFlock(f.Fd(), ofdGetLock, l)
	return l.Type != syscall.F_UNLCK, err
}

const (
	lockName        = "lock"
	segmentSuffix   = ".seg"
	temporarySuffix = ".tmp"
	// damagedSuffix is put behind the name of a damaged file that others stand for now.
	damagedSuffix = ".damaged"
)

func segmentName(id uint64) string {
	s := strconv.FormatUint(id, 16)
	return strings.Repeat("0", 16-len(s)) + s + segmentSuffix
}

// parseSegmentName is the segment that a file name names; false for other files.
func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	id, err := strconv.ParseUint(digits, 16, 64)
	return id, err == nil && id > 0 && segmentName(id) == name
}

// listSegments are the ids of those in a directory, in their order, and the names of files that were not finished.
func listSegments(d FS) (ids []uint64, unfinished []string, err error) {
	names, err := d.List()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	for _, name := range names {
		if id, ok := parseSegmentName(name); ok {
			ids = append(ids, id)
		} else if strings.HasSuffix(name, temporarySuffix) {
			unfinished = append(unfinished, name)
		}
	}
	slices.Sort(ids)
	slices.Sort(unfinished)
	return ids, unfinished, nil
}

// Timestamp is what a machine tells of the time.
type Timestamp struct {
	WallMillis   int64  // Unix time in ms; it may be set
	BootID       uint64 // which start of the machine it is; 0 where that is not known
	UptimeMillis int64  // ms since then, which nobody can set
}

// Clock tells the time.
type Clock func() Timestamp

// SystemClock is this machine's.
func SystemClock() Clock {
	var boot uint64
	if text, err := os.ReadFile("/proc/sys/kernel/random/boot_id"); err == nil {
		digits := strings.ReplaceAll(string(text), "-", "")
		boot, _ = strconv.ParseUint(digits[:min(16, len(digits))], 16, 64)
	}
	began := time.Now()
	var up int64
	if text, err := os.ReadFile("/proc/uptime"); err == nil && boot != 0 {
		first, _, _ := strings.Cut(string(text), " ")
		s, err := strconv.ParseFloat(first, 64)
		if err != nil {
			boot = 0
		}
		up = int64(s * 1000)
	} else {
		boot = 0
	}
	return func() Timestamp {
		return Timestamp{WallMillis: time.Now().UnixMilli(), BootID: boot, UptimeMillis: up + time.Since(began).Milliseconds()}
	}
}
