package store

import (
	"errors"
	"fmt"
)

// Errors of a write, in addition to disk errors.
var (
	// ErrClosed is returned for a write after Close, and by a second call of Close.
	ErrClosed = errors.New("the store is closed")
	// ErrFull is returned for a batch that would exceed MaxBytes or MaxRecords.
	ErrFull = errors.New("the store holds as much as it may")
	// ErrBusy is returned for a batch that would exceed MaxPendingBytes, because the disk is too slow.
	ErrBusy = errors.New("the disk does not keep up: too much waits for it")
	// ErrRecordSize is returned for a batch with a key or value that is too long, or with an empty key.
	ErrRecordSize = fmt.Errorf("a key has 1 to %d bytes, a value up to %d", MaxKeyBytes, MaxValueBytes)
)

// ErrLocked is returned by Open while another process has the store open.
var ErrLocked = errors.New("another process has this store open")

// errNoStore is returned by Inspect for a directory without a segment.
var errNoStore = errors.New("there is no store here")

// errHeaderUnreadable is returned by decodeHeader for a header that is damaged or incomplete.
var errHeaderUnreadable = errors.New("the header is damaged or incomplete")

// NewerVersionError is returned if a later version of the program has written a file.
type NewerVersionError struct {
	File    string // name of the file
	Version uint16 // version of the file's format, which is higher than the constant Version
}

func (n *NewerVersionError) Error() string {
	return fmt.Sprintf(
		"%s has format %d; this program knows %d and those before it: start the newer program, or use another directory",
		n.File, n.Version, Version,
	)
}

// Damage describes a range of bytes in a segment that were durable and cannot be read, or a missing segment.
type Damage struct {
	File string `json:"File"`
	// From and To are the start offset and the exclusive end offset of the range.
	From int64 `json:"From"`
	To   int64 `json:"To"`
	// FirstSeq and LastSeq are the first and the last sequence number of the records that may be lost. Both are 0 if these are
	// unknown.
	FirstSeq uint64 `json:"First"`
	LastSeq  uint64 `json:"Last"`
	Reason   string `json:"Why"`
}

// String describes the damage in one line for operators.
func (d Damage) String() string {
	text := fmt.Sprintf("%s: bytes %d to %d: %s", d.File, d.From, d.To, d.Reason)
	if d.LastSeq > 0 {
		text += fmt.Sprintf("; records %d to %d", d.FirstSeq, d.LastSeq)
	}
	return text
}
