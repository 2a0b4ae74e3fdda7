package consensus

import (
	"encoding/binary"

	"quincegap/internal/mesh/transport/codec"
)

// Digest is the first 8 bytes of the SHA-256 of a body. It only has to distinguish the few bodies that are proposed under
// the same version, and it is short because every message with a value contains hundreds of digests.
type Digest = [8]byte

// VersionDigest identifies a change by the version that it makes and the digest of its body.
type VersionDigest struct {
	Version uint64
	Digest  Digest
}

// Fields implements codec.Message. Records of older releases contain the complete SHA-256, whose first 8 bytes are the digest.
func (v *VersionDigest) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, &v.Version)
	sum := v.Digest[:]
	visitor.Bytes(2, &sum)
	if visitor.Reading() {
		copy(v.Digest[:], sum)
	}
}

const (
	maxHistory = 256 // maximum number of versions in Value.History, including the value's own
	maxRefused = 64  // maximum number of refused changes in Value.Refused

	// packedHistoryField is the number of the field that contains the output of packHistory.
	packedHistoryField = 6
)

// historyField encodes or decodes a value's history in its current, packed format.
func (v *Value) historyField(visitor *codec.Visitor) {
	if visitor.Reading() {
		v.unpackHistory(visitor)
		return
	}
	packed := packHistory(v.History)
	visitor.Bytes(packedHistoryField, &packed)
}

// decodeLegacyHistory decodes the history of records of older releases, in which a value stored at most 64 versions and no
// TruncatedVersion. Any version before the first one of such a history may have been dropped, so TruncatedVersion is set to
// the version before the first.
func (v *Value) decodeLegacyHistory(visitor *codec.Visitor) {
	codec.Messages(visitor, 3, &v.History)
	if len(v.History) > 0 {
		v.TruncatedVersion = v.History[0].Version - 1
	}
}

// packHistory encodes a history. Each entry is the difference between its version and that of the previous entry, as a
// varint, followed by the digest.
func packHistory(history []VersionDigest) []byte {
	var packed []byte
	version := uint64(0)
	for _, entry := range history {
		packed = binary.AppendUvarint(packed, entry.Version-version)
		packed = append(packed, entry.Digest[:]...)
		version = entry.Version
	}
	return packed
}

// unpackHistory decodes the output of packHistory and appends it to v.History. It fails if the last entry is incomplete, or
// if the versions do not increase.
func (v *Value) unpackHistory(visitor *codec.Visitor) {
	var packed []byte
	visitor.Bytes(packedHistoryField, &packed)
	version := uint64(0)
	for len(packed) > 0 {
		step, n := binary.Uvarint(packed)
		if n <= 0 || len(packed) < n+len(Digest{}) {
			visitor.Fail(packedHistoryField, "ends within an entry of the history")
			return
		}
		if version+step <= version {
			visitor.Fail(packedHistoryField, "has history versions that do not increase")
			return
		}
		version += step
		entry, rest := packed[n:n+len(Digest{})], packed[n+len(Digest{}):]
		v.History = append(v.History, VersionDigest{Version: version, Digest: Digest(entry)})
		packed = rest
	}
}
