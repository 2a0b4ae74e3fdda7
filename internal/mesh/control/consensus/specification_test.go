package consensus

import (
	"fmt"
	"slices"

	"quincegap/internal/mesh/control/configuration"
)

// specification checks what has to hold, whatever happens: the committed values form one history; what was acknowledged
// stays in it; what was refused is never in it; a read sees at least what was committed before it began.
type specification struct {
	chain   []VersionDigest // all versions that were in force, oldest first
	refused map[VersionDigest]bool
	version configuration.Version // the newest that a call returned
	epoch   uint64
	voters  map[uint64][]string // by epoch
	seen    [][2]uint64         // versions and epochs of committed values
	fault   string              // the first one
}

func (s *specification) fail(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

func (s *specification) contains(entry VersionDigest) bool { return slices.Contains(s.chain, entry) }

// observe checks a value that a process considers committed.
func (s *specification) observe(value *Value) {
	if value.Version > 0 {
		s.extend(value.History)
		at := slices.Index(s.chain, value.History[0])
		if at > 0 && value.TruncatedVersion != s.chain[at-1].Version || at == 0 && value.TruncatedVersion != 0 {
			s.fail("%v forgot up to %d, and starts with %v", value.Version, value.TruncatedVersion, value.History[0])
		}
	}
	voterSet := &value.VoterSet
	if voters, ok := s.voters[voterSet.Epoch]; ok && !slices.Equal(voters, voterSet.Voters) {
		s.fail("two lists of voters for epoch %d: %v and %v", voterSet.Epoch, voters, voterSet.Voters)
	}
	s.voters[voterSet.Epoch] = voterSet.Voters
	now := [2]uint64{uint64(value.Version), voterSet.Epoch}
	for _, other := range s.seen {
		if (other[0] < now[0]) != (other[1] < now[1]) && other[0] != now[0] && other[1] != now[1] {
			s.fail("neither of two values was made from the other: version and epoch %v, %v", other, now)
		}
	}
	if !slices.Contains(s.seen, now) {
		s.seen = append(s.seen, now)
	}
}

// extend compares a history with the chain, and appends its new entries to the chain.
func (s *specification) extend(history []VersionDigest) {
	at := 0
	if len(s.chain) > 0 {
		if at = slices.Index(s.chain, history[0]); at < 0 {
			s.fail("a history that starts with %v doesn't belong to the chain", history[0])
			return
		}
	}
	both := min(len(s.chain)-at, len(history))
	if !slices.Equal(s.chain[at:at+both], history[:both]) {
		s.fail("two histories")
		return
	}
	for _, entry := range history[both:] {
		if s.refused[entry] {
			s.fail("%d is in force after it was refused", entry.Version)
		}
		s.chain = append(s.chain, entry)
	}
}

// observeEnd checks the round with which a call ended.
func (s *specification) observeEnd(call *modelCall, round *Round) {
	value := &round.Value
	s.observe(value)
	if value.Version < call.version || value.VoterSet.Epoch < call.epoch {
		s.fail("a call that began at version %v, epoch %d ended at %v, epoch %d", call.version, call.epoch, value.Version, value.VoterSet.Epoch)
	}
	s.version = max(s.version, value.Version)
	s.epoch = max(s.epoch, value.VoterSet.Epoch)
	if call.change != nil && call.change.nextVoters == nil {
		s.checkVerdict(call.change, round.Verdict, value)
	}
}

// checkVerdict compares a verdict with the chain.
func (s *specification) checkVerdict(change *Change, verdict Verdict, value *Value) {
	entry := change.entry()
	at := slices.Index(s.chain, entry)
	switch verdict {
	case Committed:
		if at < 0 {
			s.fail("%v was acknowledged, and is not in force", change.Version)
		} else if at > 0 && s.chain[at-1].Version != uint64(change.Base) {
			s.fail("%v on %v was acknowledged, and is on %d", change.Version, change.Base, s.chain[at-1].Version)
		}
	case Conflict:
		if at >= 0 {
			s.fail("%v was in force, and is refused", change.Version)
		}
		if change.Base == value.Version && change.Version > change.Base && !slices.Contains(value.Refused, entry) {
			s.fail("%v on the newest version, %v, was refused", change.Version, change.Base) // and not before its base was there
		}
		s.refused[entry] = true
	default:
		if entry.Version > value.TruncatedVersion && (change.Base <= value.Version || len(value.Refused) < maxRefused) {
			s.fail("%v on %v has no clear answer at %v", change.Version, change.Base, value.Version)
		}
	}
}
