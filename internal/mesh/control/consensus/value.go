package consensus

import (
	"slices"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/transport/codec"
)

// Value is the register's content: the newest configuration, a bounded history of changes, and the voters. The zero Value
// is the content of a register before anything was chosen. A Value must not be modified, as copies share its slices.
type Value struct {
	Version          configuration.Version
	Body             []byte
	History          []VersionDigest // the last versions up to this one, oldest first; at most maxHistory
	TruncatedVersion uint64          // the newest version that may have been dropped from History; 0 if History is complete
	Refused          []VersionDigest // refused changes whose base was above the newest version; at most maxRefused

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

// recordRefusal returns Conflict and a copy of v with a refused change added to Refused. If v.Refused is full, it returns
// Unknown and v: a refusal that is not stored must not be reported, as a later value may have the change's base.
func (v *Value) recordRefusal(entry VersionDigest) (Verdict, *Value) {
	if len(v.Refused) >= maxRefused {
		return Unknown, v
	}
	next := *v
	next.Refused = append(slices.Clone(v.Refused), entry)
	return Conflict, &next
}

// successor returns the value that results from applying a change to v.
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

// lastEntries returns a copy of the last n elements of list, or of all elements if there are fewer.
func lastEntries[T any](list []T, n int) []T { return append([]T{}, list[max(0, len(list)-n):]...) }
