package consensus

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"quincegap/internal/mesh/control/configuration"
)

// Change is what is proposed: an operator's order to put Body as Version in the place of version Base, or a change of the
// voters (NewVoterChange).
type Change struct {
	Base, Version configuration.Version
	Body          []byte
	digest        Digest    // of Body
	nextVoters    *VoterSet // nil unless it is a change of the voters; the other fields are empty then
}

// NewChange returns an operator's change, with the digest of its body.
func NewChange(base, version configuration.Version, body []byte) *Change {
	sum := sha256.Sum256(body)
	return &Change{Base: base, Version: version, Body: body, digest: Digest(sum[:len(Digest{})])}
}

// entry returns the change as it stands in a value's History or Refused.
func (c *Change) entry() VersionDigest {
	return VersionDigest{Version: uint64(c.Version), Digest: c.digest}
}

// Verdict is the outcome of a change.
type Verdict uint8

// The verdicts. Committed and Conflict are final.
const (
	Unknown   Verdict = iota // it may be in force, or come into force later, or not
	Committed                // it is committed, or was before a later version
	Conflict                 // it never was in force and never will be
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	switch v {
	case Unknown:
		return "unknown"
	case Committed:
		return "applied"
	case Conflict:
		return "conflict"
	default:
		return fmt.Sprintf("verdict %d", uint8(v))
	}
}

// evaluate returns the verdict on a change to the newest value, and the value that has to be committed before the verdict
// holds: newest itself, or its successor. The package documentation gives the reasons for each case.
func (c *Change) evaluate(newest *Value) (Verdict, *Value) {
	if c.nextVoters != nil {
		return c.evaluateVoterChange(newest)
	}
	entry := c.entry()
	switch {
	case slices.Contains(newest.History, entry):
		return Committed, newest
	case slices.Contains(newest.Refused, entry):
		return Conflict, newest
	case c.Version <= c.Base:
		return Conflict, newest
	case entry.Version <= newest.TruncatedVersion:
		return Unknown, newest
	case c.Version <= newest.Version || c.Base < newest.Version:
		return Conflict, newest
	case c.Base > newest.Version:
		return newest.recordRefusal(entry)
	}
	return Committed, newest.successor(c.Body, entry)
}
