package store

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// The format on the disk is described in docs/design/store-format.md. All numbers are little endian.

// Version is the version of the format that this package writes. It reads this version and earlier ones.
const Version = 1

const (
	magic          = "QGSTORE\n"
	minHeaderBytes = 100 // size of the header of a segment that replaces no other
	checksumBytes  = 4
	maxReplaced    = 1 << 16 // segments that one can replace; the header has two bytes for the number
)

// Offsets of the fields of a header that must be the same in each version.
const (
	versionOffset  = len(magic)
	replacedOffset = versionOffset + 2
	numbersOffset  = replacedOffset + 2 + 4 // after four reserved bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the start of a segment.
type header struct {
	version    uint16
	storeID    uint64    // random ID of the store, which identifies segments of another store
	id         uint64    // ID of the segment; also its file name
	firstSeq   uint64    // sequence number of its first record, or of the first one in the segments that it replaces
	durableSeq uint64    // all records up to this one were durable when the segment was created
	failedSeqs seqRange  // records before this segment whose write was reported as failed
	previousID uint64    // ID of the segment before it; 0 for none
	timestamp  Timestamp // when the segment was created; WallMillis is not on the disk
	storeTime  int64     // in ms at timestamp
	replaces   []uint64  // IDs of segments that this one replaces: it has their live records, and they are not read
}

// seqRange is a range of sequence numbers of records whose write was reported as failed. They may be in a file nevertheless.
type seqRange struct {
	first uint64
	end   uint64 // one above the last; a range with end 0 is empty
}

func (r seqRange) empty() bool { return r.end <= r.first }

func (r seqRange) contains(seq uint64) bool { return r.first <= seq && seq < r.end }

func inAnyRange(ranges []seqRange, seq uint64) bool {
	return slices.ContainsFunc(ranges, func(r seqRange) bool { return r.contains(seq) })
}

func (h *header) size() int { return minHeaderBytes + 8*len(h.replaces) }

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

// decodeHeader decodes the header at the start of a segment. It returns errHeaderUnreadable or a NewerVersionError. It verifies the
// checksum before the version, as otherwise one flipped bit could make the store look like that of a newer program. Therefore the
// size of a header must be in the same place in each version, and the checksum at its end.
func decodeHeader(file string, b []byte) (decoded header, err error) {
	if len(b) < minHeaderBytes || string(b[:len(magic)]) != magic {
		return decoded, errHeaderUnreadable
	}
	replaced := int(binary.LittleEndian.Uint16(b[replacedOffset:]))
	size := minHeaderBytes + 8*replaced
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
	for range replaced {
		decoded.replaces = append(decoded.replaces, numbers.uint64())
	}
	return decoded, nil
}

// numberReader reads numbers of eight bytes one after another. The caller checks that there are enough bytes.
type numberReader struct{ rest []byte }

func (n *numberReader) uint64() uint64 {
	number := binary.LittleEndian.Uint64(n.rest)
	n.rest = n.rest[8:]
	return number
}

func (n *numberReader) int64() int64 { return int64(n.uint64()) }
