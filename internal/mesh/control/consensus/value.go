package consensus

import (
	"slices"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/transport/codec"
)

// Value is the register's content: the newest configuration, a bounded history of changes, and the voters. The zero Value
// is that of a register in which nothing was ever chosen. A Value is immutable, as copies share its slices.
type Value struct {
	Version          configuration.Version
	Body             []byte
	History          []VersionDigest // the newest versions that were in force, oldest first, this one included; at most maxHistory
	TruncatedVersion uint64          // the newest version that History may lack; 0: History is complete
	Refused          []VersionDigest // refused changes whose base is a version still to come; at most maxRefused

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

// recordRefusal returns Conflict and the value that remembers a refused change whose base may still come. If v.Refused is
// full, the refusal could be forgotten, so it returns Unknown and v.
func (v *Value) recordRefusal(entry VersionDigest) (Verdict, *Value) {
	if len(v.Refused) >= maxRefused {
		return Unknown, v
	}
	next := *v
	next.Refused = append(slices.Clone(v.Refused), entry)
	return Conflict, &next
}

// successor returns the value in which a change to v is in force.
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

// lastEntries returns a copy of the last n elements, or of all if there are fewer.
func lastEntries[T any](list []T, n int) []T { return append([]T{}, list[max(0, len(list)-n):]...) }
