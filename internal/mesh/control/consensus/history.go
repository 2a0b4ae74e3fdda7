package consensus

import (
	"encoding/binary"

	"quincegap/internal/mesh/transport/codec"
)

// Digest is the first 8 bytes of the SHA-256 of a body. It distinguishes the few bodies that are sent under one version.
// It is short because every message with a value holds hundreds of digests.
type Digest = [8]byte

// VersionDigest identifies one change by the version that it makes and by its body.
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

// historyField encodes or decodes the field of a value's history.
func (v *Value) historyField(visitor *codec.Visitor) {
	if visitor.Reading() {
		v.unpackHistory(visitor)
		return
	}
	packed := packHistory(v.History)
	visitor.Bytes(packedHistoryField, &packed)
}

// decodeLegacyHistory reads the history of a record from the time when a value remembered 64 versions and did not record
// which one it dropped last. Any version before the first remembered one may have been dropped.
func (v *Value) decodeLegacyHistory(visitor *codec.Visitor) {
	codec.Messages(visitor, 3, &v.History)
	if len(v.History) > 0 {
		v.TruncatedVersion = v.History[0].Version - 1
	}
}

// packHistory encodes a history: for each entry the difference between its version and that of the entry before, as a
// varint, and the digest.
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

// unpackHistory decodes the output of packHistory.
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
