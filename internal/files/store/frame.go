package store

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

const (
	// MaxKeyBytes is the largest size of a key.
	MaxKeyBytes = 1 << 10
	// MaxValueBytes is the largest size of a value.
	MaxValueBytes = 1 << 20
)

// Offsets in frames, and sizes of frames, in bytes. A minimum size is without key and value.
const (
	framePrefixBytes = 8 // length and checksum
	kindOffset       = framePrefixBytes
	seqOffset        = kindOffset + 1
	bodyOffset       = seqOffset + 8
	minPutBytes      = bodyOffset + 8 + 2
	minDeleteBytes   = bodyOffset + 2
	groupBytes       = bodyOffset + 8 + 8
	sealBytes        = bodyOffset + 8 + 8 + 8
	maxFrameBytes    = minPutBytes + MaxKeyBytes + MaxValueBytes
)

// kind is the kind of a frame.
type kind uint8

const (
	kindPut    kind = 1
	kindDelete kind = 2
	kindGroup  kind = 3 // starts the frames of one write and sync
	kindSeal   kind = 4 // ends a segment that is complete

	// moreFlag is set on each record of a batch but the last.
	moreFlag kind = 0x80
)

// never is the expiry of a record that does not expire.
const never = math.MaxInt64

// frame is one entry of a segment after the header: a record (put or delete), the start of a group, or a seal. Key and value of a
// decoded frame are parts of the slice that it was decoded from.
type frame struct {
	kind        kind
	moreInBatch bool // the next record belongs to the same batch
	// seq is the sequence number of a record. That of a group is the one of the next record, that of a seal the one of the last.
	seq           uint64
	expiresAt     int64  // of a put, in ms of store time; of a seal: the latest expiry in the segment
	key           []byte // of a put or delete
	value         []byte // of a put
	durableSeq    uint64 // of a group: all records up to this one were durable before it was written
	storeTime     int64  // of a group, in ms
	shadowedUntil int64  // of a seal: see segment
	records       uint64 // of a seal: the number of records in the segment
	size          int    // in bytes; set by decodeFrame
}

// isRecord reports whether a frame is a record, and not the start of a group or a seal.
func (f *frame) isRecord() bool { return f.kind == kindPut || f.kind == kindDelete }

// appendFrame appends the encoded frame to b.
func appendFrame(b []byte, added *frame) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0) // length and checksum are set below
	kindByte := added.kind
	if added.moreInBatch {
		kindByte |= moreFlag
	}
	b = append(b, byte(kindByte))
	b = binary.LittleEndian.AppendUint64(b, added.seq)
	switch added.kind {
	case kindPut:
		b = binary.LittleEndian.AppendUint64(b, uint64(added.expiresAt))
		b = appendKeyAndValue(b, added)
	case kindDelete:
		b = appendKeyAndValue(b, added)
	case kindGroup:
		b = binary.LittleEndian.AppendUint64(b, added.durableSeq)
		b = binary.LittleEndian.AppendUint64(b, uint64(added.storeTime))
	case kindSeal:
		b = binary.LittleEndian.AppendUint64(b, uint64(added.expiresAt))
		b = binary.LittleEndian.AppendUint64(b, uint64(added.shadowedUntil))
		b = binary.LittleEndian.AppendUint64(b, added.records)
	}
	binary.LittleEndian.PutUint32(b[start:], uint32(len(b)-start-framePrefixBytes))
	binary.LittleEndian.PutUint32(b[start+4:], frameChecksum(b[start:]))
	return b
}

// appendKeyAndValue appends the length of the key, the key and the value, which extends to the end of the frame.
func appendKeyAndValue(b []byte, f *frame) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(f.key)))
	b = append(b, f.key...)
	return append(b, f.value...)
}

// frameChecksum returns the checksum of a frame, which covers all of it but the checksum itself.
func frameChecksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:4], castagnoli), castagnoli, b[framePrefixBytes:])
}

// decodeFrame decodes the frame at the start of b. ok is false if there is no complete and undamaged one. It makes the cheap checks
// first, since the search for frames after damage calls it for each byte.
func decodeFrame(b []byte) (decoded frame, ok bool) {
	if len(b) < minDeleteBytes {
		return decoded, false
	}
	length := int(binary.LittleEndian.Uint32(b))
	if length < minDeleteBytes-framePrefixBytes || length > maxFrameBytes || length > len(b)-framePrefixBytes {
		return decoded, false
	}
	decoded.size = framePrefixBytes + length
	kindByte := kind(b[kindOffset])
	decoded.kind = kindByte &^ moreFlag
	decoded.moreInBatch = kindByte&moreFlag != 0
	if !decoded.plausibleSize() {
		return decoded, false
	}
	if frameChecksum(b[:decoded.size]) != binary.LittleEndian.Uint32(b[4:]) {
		return decoded, false
	}
	decoded.seq = binary.LittleEndian.Uint64(b[seqOffset:])
	return decoded, decoded.decodeBody(b[bodyOffset:decoded.size])
}

// plausibleSize reports whether the size and the flag of a frame are possible for its kind.
func (f *frame) plausibleSize() bool {
	switch f.kind {
	case kindPut:
		return f.size >= minPutBytes
	case kindDelete:
		return true
	case kindGroup:
		return f.size == groupBytes && !f.moreInBatch
	case kindSeal:
		return f.size == sealBytes && !f.moreInBatch
	}
	return false
}

// decodeBody decodes the part of a frame after the sequence number, and reports whether it is valid.
func (f *frame) decodeBody(body []byte) bool {
	numbers := numberReader{body}
	switch f.kind {
	case kindPut:
		f.expiresAt = numbers.int64()
		return f.decodeKeyAndValue(numbers.rest)
	case kindDelete:
		return f.decodeKeyAndValue(body) && len(f.value) == 0
	case kindGroup:
		f.durableSeq = numbers.uint64()
		f.storeTime = numbers.int64()
	case kindSeal:
		f.expiresAt = numbers.int64()
		f.shadowedUntil = numbers.int64()
		f.records = numbers.uint64()
	}
	return true
}

func (f *frame) decodeKeyAndValue(body []byte) bool {
	keyLength := int(binary.LittleEndian.Uint16(body))
	body = body[2:]
	if keyLength > len(body) || keyLength > MaxKeyBytes {
		return false
	}
	f.key = body[:keyLength]
	f.value = body[keyLength:]
	return true
}
