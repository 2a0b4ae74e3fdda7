package store

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

const (
	// MaxKeyBytes is the maximum size of a key.
	MaxKeyBytes = 1 << 10
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
)

// Offsets in frames, and sizes of frames, in bytes. The minimum sizes are those of frames with an empty key and value.
const (
	framePrefixBytes = 8 // size of the length and the checksum
	kindOffset       = framePrefixBytes
	seqOffset        = kindOffset + 1
	bodyOffset       = seqOffset + 8
	minPutBytes      = bodyOffset + 8 + 2
	minDeleteBytes   = bodyOffset + 2
	groupBytes       = bodyOffset + 8 + 8
	sealBytes        = bodyOffset + 8 + 8 + 8
	maxFrameBytes    = minPutBytes + MaxKeyBytes + MaxValueBytes
)

// kind is the type of a frame.
type kind uint8

const (
	kindPut    kind = 1
	kindDelete kind = 2
	kindGroup  kind = 3 // first frame of each group commit
	kindSeal   kind = 4 // last frame of a complete segment

	// moreFlag is set in the kind of each record of a batch except the last one.
	moreFlag kind = 0x80
)

// never is the expiry time of a record that does not expire.
const never = math.MaxInt64

// frame is one entry of a segment after the header: a record (put or delete), the start of a group, or a seal. Key and value of a
// decoded frame are subslices of the buffer that it was decoded from.
type frame struct {
	kind        kind
	moreInBatch bool // whether the next record belongs to the same batch
	// seq is the sequence number of a record. A group has that of the next record, and a seal that of the last record.
	seq                 uint64
	expiresAt           int64  // store time in ms at which a put expires; in a seal, the latest expiry in the segment
	key                 []byte // key of a put or a delete
	value               []byte // value of a put
	durableSeq          uint64 // sequence number up to which all records were durable before a group was written
	storeTime           int64  // store time in ms at which a group was written
	supersededExpiresAt int64  // latest expiry of the records that those before a seal superseded in other segments, as in segment
	records             uint64 // number of records in a segment that a seal ends
	size                int    // size of the encoded frame in bytes; set by decodeFrame
}

// isRecord reports whether a frame is a record rather than a group or a seal.
func (f *frame) isRecord() bool { return f.kind == kindPut || f.kind == kindDelete }

// appendFrame appends the encoded frame to b.
func appendFrame(b []byte, added *frame) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0) // placeholder for the length and the checksum, which are set below
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
		b = binary.LittleEndian.AppendUint64(b, uint64(added.supersededExpiresAt))
		b = binary.LittleEndian.AppendUint64(b, added.records)
	}
	binary.LittleEndian.PutUint32(b[start:], uint32(len(b)-start-framePrefixBytes))
	binary.LittleEndian.PutUint32(b[start+4:], frameChecksum(b[start:]))
	return b
}

// appendKeyAndValue appends the length of the key, the key and the value. The value has no length, as it extends to the end of the
// frame.
func appendKeyAndValue(b []byte, f *frame) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(f.key)))
	b = append(b, f.key...)
	return append(b, f.value...)
}

// frameChecksum returns the checksum of a frame, which covers all bytes except the checksum itself.
func frameChecksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:4], castagnoli), castagnoli, b[framePrefixBytes:])
}

// decodeFrame decodes the frame at the start of b. ok is false if there is no complete and undamaged frame. decodeFrame makes the
// cheap checks first, since the search for frames after damage calls it at each byte offset.
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

// decodeBody decodes the part of a frame after the sequence number. It returns false if that part is not valid.
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
		f.supersededExpiresAt = numbers.int64()
		f.records = numbers.uint64()
	}
	return true
}

// decodeKeyAndValue decodes what appendKeyAndValue has encoded. It returns false if the length of the key is not valid.
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
