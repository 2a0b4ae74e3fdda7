package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
)

// The format on disk; docs/design/store-format.md describes it. All numbers are little endian.

// Version is the format that this program writes. It reads this one and those before it.
const Version = 1

const (
	magic            = "QGSTORE\n"
	minHeaderBytes   = 100 // bytes of a header that replaces nothing
	maxReplaced      = 1 << 16
	framePrefixBytes = 8 // length and checksum
	minPutBytes      = framePrefixBytes + 1 + 8 + 8 + 2
	minDeleteBytes   = framePrefixBytes + 1 + 8 + 2
	groupBytes       = framePrefixBytes + 1 + 8 + 8 + 8
	sealBytes        = framePrefixBytes + 1 + 8 + 8 + 8 + 8

	// MaxKeyBytes and MaxValueBytes bound a record, in bytes.
	MaxKeyBytes   = 1 << 10
	MaxValueBytes = 1 << 20
	maxFrameBytes = minPutBytes + MaxKeyBytes + MaxValueBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// kind is what a frame holds.
type kind uint8

const (
	kindPut    kind = 1
	kindDelete kind = 2
	kindGroup  kind = 3 // begins what one sync made durable
	kindSeal   kind = 4 // ends a segment that nothing is added to any more
	// moreFlag is set on each record of a batch but the last.
	moreFlag kind = 0x80
)

// never is the expiry of a record that stays until it is deleted.
const never = math.MaxInt64

// header begins a segment.
type header struct {
	version    uint16
	storeID    uint64 // drawn when the store was made: segments of another one are told apart
	id         uint64
	firstSeq   uint64 // sequence number of its first record, or of the first that it replaces
	durableSeq uint64 // all up to this one were durable when it was made
	failedSeqs seqRange
	previousID uint64 // the segment before it; 0 for none
	timestamp  Timestamp
	storeTime  int64    // time of the store
	replaces   []uint64 // segments that it stands for
}

func (h *header) size() int { return minHeaderBytes + 8*len(h.replaces) }

func (h *header) encode() []byte {
	b := make([]byte, 0, h.size())
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(h.replaces)))
	b = binary.LittleEndian.AppendUint32(b, 0) // room for a later version
	for _, x := range []uint64{
		h.storeID, h.id, h.firstSeq, h.durableSeq, h.failedSeqs[0], h.failedSeqs[1], h.previousID, h.timestamp.BootID,
		uint64(h.timestamp.UptimeMillis), uint64(h.storeTime),
	} {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	for _, id := range h.replaces {
		b = binary.LittleEndian.AppendUint64(b, id)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// NewerVersionError says that a file was written by a later program.
type NewerVersionError struct {
	File    string
	Version uint16
}

func (n *NewerVersionError) Error() string {
	return fmt.Sprintf("%s has format %d; this program knows %d and those before it: start the newer program, or use another directory", n.File, n.Version, Version)
}

// decodeHeader reads the header of a segment. The checksum is judged before the version, or one flipped bit would have
// the whole store refused as a later program's. So each version keeps where a header's length is and that the
// checksum ends it.
func decodeHeader(file string, b []byte) (h header, err error) {
	if len(b) < minHeaderBytes || string(b[:len(magic)]) != magic {
		return h, errHeaderUnreadable
	}
	n := int(binary.LittleEndian.Uint16(b[10:]))
	size := minHeaderBytes + 8*n
	if len(b) < size || crc32.Checksum(b[:size-4], castagnoli) != binary.LittleEndian.Uint32(b[size-4:]) {
		return h, errHeaderUnreadable
	}
	if h.version = binary.LittleEndian.Uint16(b[8:]); h.version > Version {
		return h, &NewerVersionError{file, h.version}
	}
	at := 16
	next := func() uint64 { at += 8; return binary.LittleEndian.Uint64(b[at-8:]) }
	h.storeID, h.id, h.firstSeq, h.durableSeq = next(), next(), next(), next()
	h.failedSeqs = seqRange{next(), next()}
	h.previousID, h.timestamp.BootID, h.timestamp.UptimeMillis, h.storeTime = next(), next(), int64(next()), int64(next())
	for range n {
		h.replaces = append(h.replaces, next())
	}
	return h, nil
}

// frame is what follows the header, one after another. key and value lie in what was read.
type frame struct {
	kind          kind
	moreInBatch   bool // more of its batch follows
	seq           uint64
	expiresAt     int64 // of a put, by the time of the store; of a seal, when all of the segment has expired
	key           []byte
	value         []byte
	durableSeq    uint64 // of a group: all up to this one were durable before it was written
	storeTime     int64  // of a group: time of the store
	shadowedUntil int64  // of a seal: when all that its records have taken the place of has expired
	records       uint64 // of a seal: records in the segment
	size          int
}

func appendFrame(b []byte, f *frame) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0)
	k := f.kind
	if f.moreInBatch {
		k |= moreFlag
	}
	b = append(b, byte(k))
	b = binary.LittleEndian.AppendUint64(b, f.seq)
	switch f.kind {
	case kindPut:
		b = binary.LittleEndian.AppendUint64(b, uint64(f.expiresAt))
		fallthrough
	case kindDelete:
		b = binary.LittleEndian.AppendUint16(b, uint16(len(f.key)))
		b = append(append(b, f.key...), f.value...)
	case kindGroup:
		b = binary.LittleEndian.AppendUint64(b, f.durableSeq)
		b = binary.LittleEndian.AppendUint64(b, uint64(f.storeTime))
	case kindSeal:
		b = binary.LittleEndian.AppendUint64(b, uint64(f.expiresAt))
		b = binary.LittleEndian.AppendUint64(b, uint64(f.shadowedUntil))
		b = binary.LittleEndian.AppendUint64(b, f.records)
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-framePrefixBytes))
	binary.LittleEndian.PutUint32(b[at+4:], frameChecksum(b[at:]))
	return b
}

// frameChecksum is the checksum of a frame: of its length and what follows its own field.
func frameChecksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:4], castagnoli), castagnoli, b[framePrefixBytes:])
}

// decodeFrame reads the frame at the head of b; false where there is none that is whole and sound.
func decodeFrame(b []byte) (f frame, ok bool) {
	if len(b) < minDeleteBytes {
		return f, false
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n < minDeleteBytes-framePrefixBytes || n > maxFrameBytes || n > len(b)-framePrefixBytes {
		return f, false
	}
	f.size = framePrefixBytes + n
	k := kind(b[framePrefixBytes])
	f.kind, f.moreInBatch = k&^moreFlag, k&moreFlag != 0
	// Cheap tests come first: a search behind damage looks at each byte.
	switch {
	case f.kind == kindPut && f.size >= minPutBytes, f.kind == kindDelete:
	case f.kind == kindGroup && f.size == groupBytes && !f.moreInBatch, f.kind == kindSeal && f.size == sealBytes && !f.moreInBatch:
	default:
		return f, false
	}
	if frameChecksum(b[:f.size]) != binary.LittleEndian.Uint32(b[4:]) {
		return f, false
	}
	f.seq = binary.LittleEndian.Uint64(b[9:])
	body := b[17:f.size]
	number := func() uint64 {
		x := binary.LittleEndian.Uint64(body)
		body = body[8:]
		return x
	}
	switch f.kind {
	case kindPut, kindDelete:
		if f.kind == kindPut {
			f.expiresAt = int64(number())
		}
		keyLen := int(binary.LittleEndian.Uint16(body))
		if body = body[2:]; keyLen > len(body) || keyLen > MaxKeyBytes || f.kind == kindDelete && keyLen != len(body) {
			return f, false
		}
		f.key, f.value = body[:keyLen], body[keyLen:]
	case kindGroup:
		f.durableSeq, f.storeTime = number(), int64(number())
	case kindSeal:
		f.expiresAt, f.shadowedUntil, f.records = int64(number()), int64(number()), number()
	}
	return f, true
}
