package store

import (
	"errors"
	"fmt"
)

// What a write can fail with, beside the errors of the disk.
var (
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("the store is closed")
	// ErrFull is returned for a batch that would exceed MaxBytes or MaxRecords.
	ErrFull = errors.New("the store holds as much as it may")
	// ErrBusy is returned for a batch that would exceed MaxPendingBytes.
	ErrBusy = errors.New("the disk does not keep up: too much waits for it")
	// ErrRecordSize is returned for a batch with a key or value that is too long, or a key that is empty.
	ErrRecordSize = fmt.Errorf("a key has 1 to %d bytes, a value up to %d", MaxKeyBytes, MaxValueBytes)
)

// ErrLocked is returned by Open while another process has the store open.
var ErrLocked = errors.New("another process has this store open")

// errNoStore is returned by Inspect for a directory without a segment.
var errNoStore = errors.New("there is no store here")

// errHeaderUnreadable stands for a header that is damaged or was never written as a whole.
var errHeaderUnreadable = errors.New("no header")

// NewerVersionError says that a file was written by a later version of the program.
type NewerVersionError struct {
	File    string
	Version uint16 // of the format; larger than Version of this package
}

func (n *NewerVersionError) Error() string {
	return fmt.Sprintf("%s has format %d; this program knows %d and those before it: start the newer program, or use another directory", n.File, n.Version, Version)
}

// Damage is a range of bytes that cannot be read and was durable, with the records that are known to be lost.
type Damage struct {
	File string `json:"File"`
	// From and To are the first byte that cannot be read and the one behind the last.
	From int64 `json:"From"`
	To   int64 `json:"To"`
	// FirstSeq and LastSeq are the sequence numbers of the records that may have been there; both 0 where that is unknown.
	FirstSeq uint64 `json:"First"`
	LastSeq  uint64 `json:"Last"`
	Reason   string `json:"Why"`
}

func (d Damage) String() string {
	text := fmt.Sprintf("%s: bytes %d to %d: %s", d.File, d.From, d.To, d.Reason)
	if d.LastSeq > 0 {
		text += fmt.Sprintf("; records %d to %d", d.FirstSeq, d.LastSeq)
	}
	return text
}
