package consensus

import (
	"encoding/binary"

	"quincegap/internal/mesh/transport/codec"
)

// Digest is the first 8 bytes of the SHA-256 of a body. It tells apart the few bodies that are sent under one version,
// and is short as every message with a value holds hundreds.
type Digest = [8]byte

// VersionDigest names one change: the version that it makes, and its body.
type VersionDigest struct {
	Version uint64
	Digest  Digest
}

// Fields implements codec.Message. Older records hold the whole SHA-256, of which the first bytes are read.
func (v *VersionDigest) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, &v.Version)
	sum := v.Digest[:]
	visitor.Bytes(2, &sum)
	if visitor.Reading() {
		copy(v.Digest[:], sum)
	}
}

const (
	maxHistory = 256 // versions that a value remembers, its own among them
	maxRefused = 64  // refused changes whose base may still come

	// packedHistoryField is the number of the field that holds the history as packHistory encodes it.
	packedHistoryField = 6
)

// historyField is the field of a value's history.
func (v *Value) historyField(visitor *codec.Visitor) {
	if visitor.Reading() {
		v.unpackHistory(visitor)
		return
	}
	packed := packHistory(v.History)
	visitor.Bytes(packedHistoryField, &packed)
}

// decodeLegacyHistory reads the history of a record that was written when 64 versions were remembered, without a note of
// what was dropped: any version before the first one may have been.
func (v *Value) decodeLegacyHistory(visitor *codec.Visitor) {
	codec.Messages(visitor, 3, &v.History)
	if len(v.History) > 0 {
		v.TruncatedVersion = v.History[0].Version - 1
	}
}

// packHistory encodes a history: for each entry how far its version is above that of the entry before, as a varint, and
// the digest.
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

// unpackHistory reads what packHistory wrote.
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
			visitor.Fail(packedHistoryField, "has versions that do not rise")
			return
		}
		version += step
		entry, rest := packed[n:n+len(Digest{})], packed[n+len(Digest{}):]
		v.History = append(v.History, VersionDigest{Version: version, Digest: Digest(entry)})
		packed = rest
	}
}
