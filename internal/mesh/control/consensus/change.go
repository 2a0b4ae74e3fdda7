package consensus

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"quincegap/internal/mesh/control/configuration"
)

// Change is a proposed change of the register's value: either an operator's order to replace version Base by Version with
// the content Body (NewChange), or a change of the voters (NewVoterChange).
type Change struct {
	Base, Version configuration.Version
	Body          []byte
	digest        Digest    // the digest of Body
	nextVoters    *VoterSet // the voter set after a change of the voters, which leaves all other fields empty; nil for an order
}

// NewChange returns the change by an operator that replaces version base by a version with the given body.
func NewChange(base, version configuration.Version, body []byte) *Change {
	sum := sha256.Sum256(body)
	return &Change{Base: base, Version: version, Body: body, digest: Digest(sum[:len(Digest{})])}
}

// entry returns the entry by which a value's History or Refused identifies the change.
func (c *Change) entry() VersionDigest {
	return VersionDigest{Version: uint64(c.Version), Digest: c.digest}
}

// Verdict is the outcome of proposing a change.
type Verdict uint8

// The verdicts. Committed and Conflict are final.
const (
	Unknown   Verdict = iota // the change may have been applied, may be applied later, or never
	Committed                // the change is committed, as the newest version or an earlier one
	Conflict                 // the change was never applied and never will be
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

// evaluate returns the verdict on a change to the newest value, and the value that must be committed before the verdict is
// valid: newest itself, or its successor. The package documentation gives the reasons for each case.
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
