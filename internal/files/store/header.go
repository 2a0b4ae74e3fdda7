package store

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// The on-disk format is described in docs/design/store-format.md. All numbers are little-endian.

// Version is the version of the format that this package writes. It reads this version and earlier ones.
const Version = 1

const (
	magic          = "QGSTORE\n"
	minHeaderBytes = 100 // size of the header of a segment that replaces no others
	checksumBytes  = 4
	maxReplaced    = 1 << 16 // exclusive limit of the segments that one can replace, as the header has two bytes for their number
)

// Offsets of header fields that must be the same in each version of the format.
const (
	versionOffset       = len(magic)
	replacedCountOffset = versionOffset + 2
	numbersOffset       = replacedCountOffset + 2 + 4 // the numbers follow four reserved bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the data at the start of a segment file.
type header struct {
	version    uint16    // version of the format
	storeID    uint64    // random ID of the store, by which segments of another store are detected
	id         uint64    // ID of the segment; also its file name
	firstSeq   uint64    // sequence number of the segment's first record, or of the first one in the segments that it replaces
	durableSeq uint64    // sequence number up to which all records were durable when the segment was created
	failedSeqs seqRange  // sequence numbers before this segment whose write was reported as failed
	previousID uint64    // ID of the preceding segment; 0 for none
	timestamp  Timestamp // clock reading when the segment was created; WallMillis is not encoded
	storeTime  int64     // store time in ms at timestamp
	replaces   []uint64  // IDs of the segments whose live records a compaction has copied to this one, so that they are no longer read
}

// seqRange is a range of sequence numbers of records whose write was reported as failed. Some of these records may be in a file
// nevertheless.
type seqRange struct {
	first uint64
	end   uint64 // exclusive end of the range; 0 for an empty range
}

func (r seqRange) empty() bool { return r.end <= r.first }

func (r seqRange) contains(seq uint64) bool { return r.first <= seq && seq < r.end }

// inAnyRange reports whether one of the ranges contains a sequence number.
func inAnyRange(ranges []seqRange, seq uint64) bool {
	return slices.ContainsFunc(ranges, func(r seqRange) bool { return r.contains(seq) })
}

// isCompacted reports whether a compaction has written the segment. Such a segment lacks the sequence numbers of the records that
// were not live. It is always sealed, as it was complete before it was renamed to its final name.
func (h *header) isCompacted() bool { return len(h.replaces) > 0 }

// size returns the size of the encoded header in bytes.
func (h *header) size() int { return minHeaderBytes + 8*len(h.replaces) }

// encode returns the header in the current version of the format, with its checksum.
func (h *header) encode() []byte {
	b := make([]byte, 0, h.size())
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(h.replaces)))
	b = binary.LittleEndian.AppendUint32(b, 0) // reserved
	for _, number := range []uint64{
		h.storeID, h.id, h.firstSeq, h.durableSeq, h.failedSeqs.first, h.failedSeqs.end, h.previousID, h.timestamp.BootID,
		uint64(h.timestamp.UptimeMillis), uint64(h.storeTime),
	} {
		b = binary.LittleEndian.AppendUint64(b, number)
	}
	for _, id := range h.replaces {
		b = binary.LittleEndian.AppendUint64(b, id)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader decodes the header at the start of a segment. It returns errHeaderUnreadable for a damaged or incomplete header, and a
// NewerVersionError for a later version of the format. It verifies the checksum before the version, as otherwise one flipped bit
// could make the store look as if a later version had written it. Therefore each version of the format must have the number of
// replaced segments at the same offset, and the checksum at the end of the header.
func decodeHeader(file string, b []byte) (decoded header, err error) {
	if len(b) < minHeaderBytes || string(b[:len(magic)]) != magic {
		return decoded, errHeaderUnreadable
	}
	replacedCount := int(binary.LittleEndian.Uint16(b[replacedCountOffset:]))
	size := minHeaderBytes + 8*replacedCount
	if len(b) < size {
		return decoded, errHeaderUnreadable
	}
	checksumOffset := size - checksumBytes
	if crc32.Checksum(b[:checksumOffset], castagnoli) != binary.LittleEndian.Uint32(b[checksumOffset:]) {
		return decoded, errHeaderUnreadable
	}
	if decoded.version = binary.LittleEndian.Uint16(b[versionOffset:]); decoded.version > Version {
		return decoded, &NewerVersionError{file, decoded.version}
	}
	numbers := numberReader{b[numbersOffset:]}
	decoded.storeID = numbers.uint64()
	decoded.id = numbers.uint64()
	decoded.firstSeq = numbers.uint64()
	decoded.durableSeq = numbers.uint64()
	decoded.failedSeqs.first = numbers.uint64()
	decoded.failedSeqs.end = numbers.uint64()
	decoded.previousID = numbers.uint64()
	decoded.timestamp.BootID = numbers.uint64()
	decoded.timestamp.UptimeMillis = numbers.int64()
	decoded.storeTime = numbers.int64()
	for range replacedCount {
		decoded.replaces = append(decoded.replaces, numbers.uint64())
	}
	return decoded, nil
}

// numberReader reads consecutive eight-byte numbers. It panics if there are not enough bytes, which the caller must check.
type numberReader struct{ rest []byte }

func (n *numberReader) uint64() uint64 {
	number := binary.LittleEndian.Uint64(n.rest)
	n.rest = n.rest[8:]
	return number
}

func (n *numberReader) int64() int64 { return int64(n.uint64()) }
