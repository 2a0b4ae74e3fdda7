// Package consensus is the agreement of the core on the operator's word: one register, whose value only changes by
// proposals that read it first (CASPaxos). A few voters hold it, any process of the core may propose, and there is no
// leader. Nothing here does I/O or knows the time.
//
// # How a value is chosen
//
// A proposer picks a ballot that no one used and asks the voters to promise it (Prepare). A voter that does tells what it
// accepted last and takes part in no lower ballot any more. With promises of a majority the proposer knows the newest word
// that may have been chosen, decides on it, and asks the voters to accept a word under its ballot (Accept). A word that a
// majority accepted under one ballot is committed. Two majorities meet, so every later ballot finds it.
//
// # Why a refused change never comes in force
//
// A change (base, version, body) is refused only after a word W with base != W.Version or version <= W.Version is committed
// (accepted by a majority under one ballot). Every word that is committed later is made from W by a chain of changes, each
// accepted only if its base is the version before it, with a version above that. So versions only grow after W. The refused
// change could come in force later only if its base were the version of a later word, but its base is below W.Version,
// or it is W.Version and then version <= W.Version, below all that follow. An accept of it that is still on its way, or
// that a minority took, has a ballot below that of W, and every later ballot finds W or a successor under a higher one.
//
// A base above W.Version is left: no one can have been told of it, as W is the newest word, so that it's no proper order.
// Such a change is refused as well, and the refusal is written into the next word (Barred), to hold for it too.
//
// # The voters, and lost disks
//
// See Membership and Recovery.
package consensus

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"gingerlead/internal/mesh/control/configuration"
	"gingerlead/internal/mesh/transport/codec"
)

// Ballot orders attempts. No two attempts have the same one: Node names a proposer and its life, N grows within it.
type Ballot struct {
	N    uint64
	Node string
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.Node, o.Node))
}

// Fields implements codec.Message.
func (b *Ballot) Fields(v *codec.Visitor) {
	v.Uint(1, &b.N)
	v.Text(2, &b.Node)
}

// Sum is the SHA-256 of a body.
type Digest = [sha256.Size]byte

// Past is a version that was in force, or still is.
type VersionDigest struct {
	Version uint64
	Digest  Digest
}

// Fields implements codec.Message.
func (p *VersionDigest) Fields(v *codec.Visitor) {
	v.Uint(1, &p.Version)
	sum := p.Digest[:]
	v.Bytes(2, &sum)
	if v.Reading() {
		copy(p.Digest[:], sum)
	}
}

// pastMax is how many versions a word remembers, itself the last.
const historyMax = 64

// Word is what the operator said: the newest configuration, and the sums of those before it. The zero Word is that of an
// empty register.
type Value struct {
	Version configuration.Version
	Body    []byte
	History []VersionDigest // the last versions that were accepted, this one the last
	Refused []VersionDigest // changes that were refused although their base may still come

	Membership Membership
}

// Fields implements codec.Message.
func (w *Value) Fields(v *codec.Visitor) {
	v.Uint(1, (*uint64)(&w.Version))
	v.Bytes(2, &w.Body)
	codec.Messages(v, 3, &w.History)
	codec.Messages(v, 4, &w.Refused)
	v.Message(5, &w.Membership)
}

// Change is what an operator wants: Body in place of version Base.
type Change struct {
	Base, Version configuration.Version
	Body          []byte
	digest        Digest
	next          *Membership // it is a change of the voters instead
}

// NewChange makes a change.
func NewChange(base, version configuration.Version, body []byte) *Change {
	return &Change{Base: base, Version: version, Body: body, digest: sha256.Sum256(body)}
}

// Verdict is what became of a change.
type Verdict uint8

// Verdicts. Unclear: the change may come in force later, or not.
const (
	Unknown Verdict = iota
	Applied
	Conflict
)

func (v Verdict) String() string { return [...]string{"unclear", "taken", "lost"}[v] }

// judge decides on a change when w is the newest word, and tells the word that has to be committed before the verdict
// holds: w itself, or another.
func (c *Change) judge(w *Value) (Verdict, *Value) {
	if c.next != nil {
		return c.judgeMembership(w)
	}
	mark := VersionDigest{uint64(c.Version), c.digest}
	switch {
	case slices.Contains(w.History, mark):
		return Applied, w
	case slices.Contains(w.Refused, mark):
		return Conflict, w
	case c.Version <= w.Version || c.Base < w.Version || c.Version <= c.Base:
		return Conflict, w
	case c.Base > w.Version:
		next := *w
		next.Refused = append(lastN(w.Refused, historyMax-1), mark)
		return Conflict, &next
	}
	next := Value{Version: c.Version, Body: c.Body, Refused: w.Refused, Membership: w.Membership}
	next.History = append(lastN(w.History, historyMax-1), mark)
	return Applied, &next
}

// last copies the last n elements.
func lastN[T any](list []T, n int) []T { return append([]T{}, list[max(0, len(list)-n):]...) }
