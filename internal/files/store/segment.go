package store

import (
	"fmt"
	"io"
)

// segment is one file of the log. Once its store is open, the store's mutex guards the fields that change.
type segment struct {
	header
	name    string // name of the file
	file    Reader // open file; nil once it is closed
	size    int64  // size of the file in bytes
	records uint64 // number of records, both puts and deletions
	lastSeq uint64 // sequence number of the last record; 0 for none
	// expiresAt is the latest expiry of the records in the segment. supersededExpiresAt is the latest expiry of the records in other
	// segments that they superseded. Both are store times in ms. After both, the segment is not needed: see skipExpired.
	expiresAt           int64
	supersededExpiresAt int64
	liveBytes           int64 // bytes of the records that are the latest of their key
	sealed              bool  // whether the segment ends with a seal
	damaged             bool  // whether a part of the segment could not be read when the store was opened
}

// seqLimitOfPrevious returns a sequence number that is higher than those of all acknowledged records in the preceding segment. Failed
// records at the end of that segment were never acknowledged.
func (s *segment) seqLimitOfPrevious() uint64 {
	if !s.failedSeqs.empty() && s.failedSeqs.end == s.firstSeq {
		return s.failedSeqs.first
	}
	return s.firstSeq
}

// continues reports whether a segment follows a compacted one without any other segment between them. The header of a compacted segment
// does not name the segments that were replaced by earlier compactions.
func (s *segment) continues(previous *segment) bool {
	return previous.isCompacted() && previous.durableSeq+1 >= s.seqLimitOfPrevious()
}

// readSeal reads the seal at the end of a segment. ok is false if the segment does not end with a seal or cannot be read.
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

// readRecord reads the put at a location. It fails if the disk returns an error, or if another or a damaged frame is at the location.
// The caller holds the store's mutex, which prevents the file from being closed.
func readRecord(l location) (record frame, err error) {
	b := make([]byte, l.size)
	if _, err := io.ReadFull(io.NewSectionReader(l.segment.file, int64(l.offset), int64(l.size)), b); err != nil {
		return record, fmt.Errorf("%s at byte %d: %w", l.segment.name, l.offset, err)
	}
	record, ok := decodeFrame(b)
	if !ok || record.kind != kindPut || record.seq != l.seq {
		return record, fmt.Errorf("%s at byte %d: record %d is damaged", l.segment.name, l.offset, l.seq)
	}
	return record, nil
}
