// Package consensus lets the core processes agree on one value, the operators' configuration. It is a register whose value
// only changes by proposals that read it first (CASPaxos). A few voters hold it, any core process may propose, and there is
// no leader. Nothing here does I/O or knows the time.
//
// # How a value is chosen
//
// A proposer picks a ballot that was never used and asks the voters to promise it (Prepare). A voter that does tells what it
// accepted last and takes part in no lower ballot any more. With promises of a majority the proposer knows the newest value
// that may have been chosen, decides on its change, and asks the voters to accept the outcome under its ballot (Accept). A
// value that a majority accepted under one ballot is committed. Two majorities meet, so every later ballot finds it.
//
// # Why a refused change never comes in force
//
// Committed values form one chain: each is made from the one before, with a higher version, from a change whose base is the
// version before. A change (base, version, body) is refused only once a value W is committed that rules it out for good:
//
//   - version <= base: no value can be made from it.
//   - version <= W.Version: what comes after W has higher versions. What came before W is in W.History, unless it is so old
//     that it was dropped from there (W.Forgotten); see below.
//   - base < W.Version: no value after W has that base.
//   - base > W.Version: a later value may have that base. The refusal is written into the next value (W.Refused) and is
//     committed before it is told, so that every later value knows of it. An entry is dropped when a version as high as its
//     own is in force, which rules it out as above.
//
// An accept of the refused change that is still under way, or that a minority holds, has a ballot below that of W, and every
// later ballot finds W, or a successor, under a higher one.
//
// # What a bounded history gives up
//
// A value remembers its last maxHistory versions, and the newest that it dropped (Forgotten). A change whose version is at
// or below Forgotten and that is in neither list may have been taken long ago or never: its verdict is Unknown, for good. A
// change with a base above the current version is Unknown as well while Refused is full, as the refusal could not be
// remembered. A change on the current version is always decided.
//
// # The voters, and lost disks
//
// See Membership and Recovery.
package consensus

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/transport/codec"
)

// Ballot orders attempts. No two attempts have the same one: Node names a proposer and its incarnation, N grows within it.
type Ballot struct {
	Number   uint64
	Proposer string
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Proposer, o.Proposer))
}

// Fields implements codec.Message.
func (b *Ballot) Fields(v *codec.Visitor) {
	v.Uint64(1, &b.Number)
	v.String(2, &b.Proposer)
}

// Digest is the first 8 bytes of the SHA-256 of a body. It tells apart the few bodies that are sent under one version, and is
// short as every message with a value holds hundreds.
type Digest = [8]byte

// VersionDigest names one change: the version that it makes, and its body.
type VersionDigest struct {
	Version uint64
	Digest  Digest
}

// Fields implements codec.Message. Older records hold the whole SHA-256.
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
)

// Value is the register's content: the newest configuration, what is remembered of earlier changes, and the voters. The zero
// Value is that of a register in which nothing was ever chosen.
type Value struct {
	Version          configuration.Version
	Body             []byte
	History          []VersionDigest // the last versions that were in force, oldest first, this one the last
	TruncatedVersion uint64          // the newest version that History may lack; 0: it is complete
	Refused          []VersionDigest // changes that were refused although their base may still come

	VoterSet VoterSet
}

// Fields implements codec.Message.
func (v *Value) Fields(visitor *codec.Visitor) {
	visitor.Uint64(1, (*uint64)(&v.Version))
	visitor.Bytes(2, &v.Body)
	if visitor.Reading() {
		v.decodeLegacyHistory(visitor)
	}
	codec.Messages(visitor, 4, &v.Refused)
	visitor.Message(5, &v.VoterSet)
	v.historyField(visitor)
	visitor.Uint64(7, &v.TruncatedVersion)
}

// decodeLegacyHistory reads the history as records hold it that were written when 64 versions were remembered, without a note
// of what was dropped.
func (v *Value) decodeLegacyHistory(visitor *codec.Visitor) {
	codec.Messages(visitor, 3, &v.History)
	if len(v.History) > 0 {
		v.TruncatedVersion = v.History[0].Version - 1
	}
}

// historyField is the history in one field: for each entry how far its version is above that of the entry before, as a
// varint, and the digest.
func (v *Value) historyField(visitor *codec.Visitor) {
	const number = 6
	var packed []byte
	version := uint64(0)
	if !visitor.Reading() {
		for _, entry := range v.History {
			packed = binary.AppendUvarint(packed, entry.Version-version)
			packed = append(packed, entry.Digest[:]...)
			version = entry.Version
		}
		visitor.Bytes(number, &packed)
		return
	}
	visitor.Bytes(number, &packed)
	for len(packed) > 0 {
		step, n := binary.Uvarint(packed)
		if n <= 0 || len(packed) < n+len(Digest{}) {
			visitor.Fail(number, "ends within an entry of the history")
			return
		}
		if version+step <= version {
			visitor.Fail(number, "has versions that do not rise")
			return
		}
		version += step
		v.History = append(v.History, VersionDigest{version, Digest(packed[n : n+len(Digest{})])})
		packed = packed[n+len(Digest{}):]
	}
}

// Change is what an operator wants: Body in place of version Base.
type Change struct {
	Base, Version configuration.Version
	Body          []byte
	digest        Digest
	nextVoters    *VoterSet // it is a change of the voters instead
}

// NewChange makes a change.
func NewChange(base, version configuration.Version, body []byte) *Change {
	sum := sha256.Sum256(body)
	return &Change{Base: base, Version: version, Body: body, digest: Digest(sum[:len(Digest{})])}
}

// entry is what a value remembers of the change.
func (c *Change) entry() VersionDigest { return VersionDigest{uint64(c.Version), c.digest} }

// Verdict is what became of a change.
type Verdict uint8

// Verdicts.
const (
	Unknown  Verdict = iota // it may be in force, or come in force later, or not
	Applied                 // it is in force, or was
	Conflict                // it never was in force and never will be
)

func (v Verdict) String() string { return [...]string{"unknown", "applied", "conflict"}[v] }

// evaluate decides on a change when w is the newest value, and returns the value that has to be committed before the verdict
// holds: w itself, or another.
func (c *Change) evaluate(w *Value) (Verdict, *Value) {
	if c.nextVoters != nil {
		return c.evaluateVoterChange(w)
	}
	entry := c.entry()
	switch {
	case slices.Contains(w.History, entry):
		return Applied, w
	case slices.Contains(w.Refused, entry):
		return Conflict, w
	case c.Version <= c.Base:
		return Conflict, w
	case entry.Version <= w.TruncatedVersion:
		return Unknown, w
	case c.Version <= w.Version || c.Base < w.Version:
		return Conflict, w
	case c.Base > w.Version:
		return w.recordRefusal(entry)
	}
	return Applied, w.successor(c.Body, entry)
}

// recordRefusal remembers a refusal that w.Version alone doesn't rule out, if there is room.
func (v *Value) recordRefusal(entry VersionDigest) (Verdict, *Value) {
	if len(v.Refused) >= maxRefused {
		return Unknown, v
	}
	next := *v
	next.Refused = append(slices.Clone(v.Refused), entry)
	return Conflict, &next
}

// successor is the value in which a change on w is in force.
func (v *Value) successor(body []byte, entry VersionDigest) *Value {
	next := Value{Version: configuration.Version(entry.Version), Body: body, TruncatedVersion: v.TruncatedVersion, VoterSet: v.VoterSet}
	for _, refused := range v.Refused {
		if refused.Version > entry.Version {
			next.Refused = append(next.Refused, refused)
		}
	}
	kept := lastEntries(v.History, maxHistory-1)
	if dropped := len(v.History) - len(kept); dropped > 0 {
		next.TruncatedVersion = v.History[dropped-1].Version
	}
	next.History = append(kept, entry)
	return &next
}

// lastEntries copies the last n elements.
func lastEntries[T any](list []T, n int) []T { return append([]T{}, list[max(0, len(list)-n):]...) }
