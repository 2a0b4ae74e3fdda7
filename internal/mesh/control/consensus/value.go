package consensus

import (
	"slices"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/transport/codec"
)

// Value is the register's content: the newest configuration, what is remembered of earlier changes, and the voters. The
// zero Value is that of a register in which nothing was ever chosen. A Value is never changed, only replaced: its slices
// are shared by copies.
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

// recordRefusal remembers a refusal that v.Version alone does not rule out. Without room for it the verdict is Unknown.
func (v *Value) recordRefusal(entry VersionDigest) (Verdict, *Value) {
	if len(v.Refused) >= maxRefused {
		return Unknown, v
	}
	next := *v
	next.Refused = append(slices.Clone(v.Refused), entry)
	return Conflict, &next
}

// successor is the value in which a change on v is in force.
func (v *Value) successor(body []byte, entry VersionDigest) *Value {
	next := Value{
		Version:          configuration.Version(entry.Version),
		Body:             body,
		TruncatedVersion: v.TruncatedVersion,
		VoterSet:         v.VoterSet,
	}
	for _, refused := range v.Refused {
		if refused.Version > entry.Version {
			next.Refused = append(next.Refused, refused)
		}
	}
	next.History = lastEntries(v.History, maxHistory-1)
	if dropped := len(v.History) - len(next.History); dropped > 0 {
		next.TruncatedVersion = v.History[dropped-1].Version
	}
	next.History = append(next.History, entry)
	return &next
}

// lastEntries copies the last n elements, or all if there are fewer.
func lastEntries[T any](list []T, n int) []T { return append([]T{}, list[max(0, len(list)-n):]...) }
