package consensus

import (
	"fmt"
	"slices"

	"quincegap/internal/mesh/control/configuration"
)

// specification checks the guarantees that must hold under all faults: the committed values form one history, which always
// contains every acknowledged change and never a refused one; and a call that ends returns at least the version and epoch
// that earlier calls had returned when it began.
type specification struct {
	chain         []VersionDigest // all committed versions, oldest first
	refused       map[VersionDigest]bool
	version       configuration.Version // the newest version that a call returned
	epoch         uint64                // the newest epoch that a call returned
	voters        map[uint64][]string   // the voters in committed values, by epoch
	observedPairs [][2]uint64           // the version and epoch of each committed value
	violation     string                // a description of the first violated guarantee; empty for none
}

func (s *specification) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

func (s *specification) contains(entry VersionDigest) bool { return slices.Contains(s.chain, entry) }

// observe checks a value that a process knows to be committed.
func (s *specification) observe(value *Value) {
	if value.Version > 0 {
		s.extend(value.History)
		index := slices.Index(s.chain, value.History[0])
		if index > 0 && value.TruncatedVersion != s.chain[index-1].Version || index == 0 && value.TruncatedVersion != 0 {
			s.fail("version %v: TruncatedVersion %d does not fit the history, which starts with %v",
				value.Version, value.TruncatedVersion, value.History[0])
		}
	}
	voterSet := &value.VoterSet
	if voters, ok := s.voters[voterSet.Epoch]; ok && !slices.Equal(voters, voterSet.Voters) {
		s.fail("two committed values have different voters in epoch %d: %v and %v", voterSet.Epoch, voters, voterSet.Voters)
	}
	s.voters[voterSet.Epoch] = voterSet.Voters
	current := [2]uint64{uint64(value.Version), voterSet.Epoch}
	for _, other := range s.observedPairs {
		if (other[0] < current[0]) != (other[1] < current[1]) && other[0] != current[0] && other[1] != current[1] {
			s.fail("neither of two committed values is a successor of the other; version and epoch: %v, %v", other, current)
		}
	}
	if !slices.Contains(s.observedPairs, current) {
		s.observedPairs = append(s.observedPairs, current)
	}
}

// extend checks that a committed value's history agrees with the chain, and appends the history's new entries to the chain.
func (s *specification) extend(history []VersionDigest) {
	index := 0
	if len(s.chain) > 0 {
		if index = slices.Index(s.chain, history[0]); index < 0 {
			s.fail("history starts with %v, which is not in the chain of committed versions", history[0])
			return
		}
	}
	overlap := min(len(s.chain)-index, len(history))
	if !slices.Equal(s.chain[index:index+overlap], history[:overlap]) {
		s.fail("history of a committed value contradicts the chain of committed versions")
		return
	}
	for _, entry := range history[overlap:] {
		if s.refused[entry] {
			s.fail("version %d was committed after it was refused", entry.Version)
		}
		s.chain = append(s.chain, entry)
	}
}

// observeEnd checks the last round of a call that has ended.
func (s *specification) observeEnd(call *modelCall, round *Round) {
	value := &round.Value
	s.observe(value)
	if value.Version < call.version || value.VoterSet.Epoch < call.epoch {
		s.fail("call that started at version %v, epoch %d returned the older version %v or epoch %d",
			call.version, call.epoch, value.Version, value.VoterSet.Epoch)
	}
	s.version = max(s.version, value.Version)
	s.epoch = max(s.epoch, value.VoterSet.Epoch)
	if call.change != nil && call.change.nextVoters == nil {
		s.checkVerdict(call.change, round.Verdict, value)
	}
}

// checkVerdict checks the verdict on a change against the chain. value is the newest value, for which the verdict was made.
func (s *specification) checkVerdict(change *Change, verdict Verdict, value *Value) {
	entry := change.entry()
	index := slices.Index(s.chain, entry)
	switch verdict {
	case Committed:
		if index < 0 {
			s.fail("version %v was acknowledged, but is not in the chain of committed versions", change.Version)
		} else if index > 0 && s.chain[index-1].Version != uint64(change.Base) {
			s.fail("version %v with base %v was acknowledged, but was committed after version %d",
				change.Version, change.Base, s.chain[index-1].Version)
		}
	case Conflict:
		if index >= 0 {
			s.fail("version %v was refused, but is in the chain of committed versions", change.Version)
		}
		if change.Base == value.Version && change.Version > change.Base && !slices.Contains(value.Refused, entry) {
			s.fail("version %v was refused, although its base %v is the newest version", change.Version, change.Base) // nor was it refused earlier
		}
		s.refused[entry] = true
	default:
		if entry.Version > value.TruncatedVersion && (change.Base <= value.Version || len(value.Refused) < maxRefused) {
			s.fail("version %v with base %v got no definite verdict at version %v", change.Version, change.Base, value.Version)
		}
	}
}
