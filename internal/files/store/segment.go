package store

import (
	"fmt"
	"io"
)

// segment is a file of the log. Once its store is open, the store's mutex guards the fields that change.
type segment struct {
	header
	name    string // of the file
	file    Reader // nil once it is closed
	size    int64  // in bytes
	records uint64
	lastSeq uint64 // of its last record; 0 for none
	// expiresAt is the latest expiry of the records in the segment, and shadowedUntil that of the records in other segments that
	// they superseded, both in ms of store time. After both, the segment is not needed: see skipExpired.
	expiresAt     int64
	shadowedUntil int64
	liveBytes     int64 // bytes of the records that are the latest of their key
	sealed        bool
	damaged       bool // a part of it could not be read when the store was opened
}

// readSeal reads the last frame of a segment. ok is false if that is not a seal.
func readSeal(seg *segment) (seal frame, ok bool) {
	if seg.size < int64(seg.header.size()+sealBytes) {
		return seal, false
	}
	b := make([]byte, sealBytes)
	if _, err := io.ReadFull(io.NewSectionReader(seg.file, seg.size-sealBytes, sealBytes), b); err != nil {
		return seal, false
	}
	seal, ok = decodeFrame(b)
	return seal, ok && seal.kind == kindSeal
}

// readRecord reads the record at a location. The caller holds the store's mutex, which keeps the file open.
func readRecord(l location) (record frame, err error) {
	b := make([]byte, l.size)
	if _, err := io.ReadFull(io.NewSectionReader(l.segment.file, int64(l.offset), int64(l.size)), b); err != nil {
		return record, fmt.Errorf("%s at %d: %w", l.segment.name, l.offset, err)
	}
	record, ok := decodeFrame(b)
	if !ok || record.kind != kindPut || record.seq != l.seq {
		return record, fmt.Errorf("%s at %d: record %d is damaged", l.segment.name, l.offset, l.seq)
	}
	return record, nil
}
