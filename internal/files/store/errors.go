package store

import (
	"errors"
	"fmt"
)

// Errors of a write, in addition to those of the disk.
var (
	// ErrClosed is returned for writes after Close, and by a second Close.
	ErrClosed = errors.New("the store is closed")
	// ErrFull is returned for a batch that would exceed MaxBytes or MaxRecords.
	ErrFull = errors.New("the store holds as much as it may")
	// ErrBusy is returned for a batch that would exceed MaxPendingBytes.
	ErrBusy = errors.New("the disk does not keep up: too much waits for it")
	// ErrRecordSize is returned for a batch with a key or value that is too long, or with an empty key.
	ErrRecordSize = fmt.Errorf("a key has 1 to %d bytes, a value up to %d", MaxKeyBytes, MaxValueBytes)
)

// ErrLocked is returned by Open while another process has the store open.
var ErrLocked = errors.New("another process has this store open")

// errNoStore is returned by Inspect for a directory without a segment.
var errNoStore = errors.New("there is no store here")

// errHeaderUnreadable is returned by decodeHeader for a header that is damaged or incomplete.
var errHeaderUnreadable = errors.New("no header")

// NewerVersionError means that a file was written by a later version of the program.
type NewerVersionError struct {
	File    string
	Version uint16 // of the format; larger than Version of this package
}

func (n *NewerVersionError) Error() string {
	return fmt.Sprintf(
		"%s has format %d; this program knows %d and those before it: start the newer program, or use another directory",
		n.File, n.Version, Version,
	)
}

// Damage is a range of bytes of a segment that was durable and cannot be read, or a missing segment.
type Damage struct {
	File string `json:"File"`
	// From and To are the offsets of the first byte that cannot be read and of the one after the last.
	From int64 `json:"From"`
	To   int64 `json:"To"`
	// FirstSeq and LastSeq are the sequence numbers of the records that may be lost. Both are 0 if these are unknown.
	FirstSeq uint64 `json:"First"`
	LastSeq  uint64 `json:"Last"`
	Reason   string `json:"Why"`
}

// String returns one line for operators.
func (d Damage) String() string {
	text := fmt.Sprintf("%s: bytes %d to %d: %s", d.File, d.From, d.To, d.Reason)
	if d.LastSeq > 0 {
		text += fmt.Sprintf("; records %d to %d", d.FirstSeq, d.LastSeq)
	}
	return text
}
