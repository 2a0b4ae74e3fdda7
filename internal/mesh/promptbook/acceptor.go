package promptbook

import (
	"maps"

	"gingerlead/internal/mesh/script"
)

// Standing is the part of a voter's record that changes with every promise.
type Standing struct {
	Voters   []string
	Fit      bool   // is a voter that knows what it promised
	Life     uint64 // grows each time the disk is lost
	Lives    Lives  // the others'
	Promised Ballot
}

// Fields implements script.Message.
func (s *Standing) Fields(v *script.Visitor) {
	v.Texts(1, &s.Voters)
	v.Bool(2, &s.Fit)
	v.Uint(3, &s.Life)
	s.Lives.fields(v)
	v.Message(5, &s.Promised)
}

// Record is all that a voter remembers. Both parts are written on their own: if the vote is there without the standing that
// came with it, its ballot counts as promised.
type Record struct {
	Standing Standing
	Vote     Vote
}

// FirstRecord is that of a process at the first start of the whole system.
func FirstRecord(self string, voters []string) Record {
	r := Record{Standing: Standing{Voters: voters, Life: 1}}
	for _, v := range voters {
		r.Standing.Fit = r.Standing.Fit || v == self
	}
	return r
}

// Changed tells which parts of a record have to be written through before the answer leaves.
type Changed struct{ Standing, Vote bool }

// Any tells whether there is something to write.
func (c Changed) Any() bool { return c.Standing || c.Vote }

// Handle answers a request. If parts of the record changed, the new record must be on disk before the answer leaves and
// before it answers anything else; if that fails the record has to be read again. The old record stays as it is.
func (r Record) Handle(q *Request) (Reply, Record, Changed) {
	if q.Kind == Introduce {
		return Reply{Outcome: Told, Voters: r.Standing.Voters}, r, Changed{}
	}
	if !r.Standing.Fit {
		return Reply{Outcome: Unfit, Ballot: q.Ballot}, r, Changed{}
	}
	var changed Changed
	outcome := Told
	switch q.Kind {
	case Ask:
	case Prepare:
		if q.Ballot.Compare(r.promised()) <= 0 {
			outcome = Nack
			break
		}
		outcome = Promise
		r.Standing.Promised = q.Ballot
		changed.Standing = true
	case Accept:
		if q.Ballot.Compare(r.promised()) < 0 {
			outcome = Nack
			break
		}
		outcome = Accepted
		if q.Ballot != r.Vote.Ballot || r.Vote.Hearsay {
			r.Vote = Vote{Ballot: q.Ballot, Word: q.Word}
			changed.Vote = true
		}
	case Recover:
		if q.Life <= r.Standing.Lives[q.Node] {
			outcome = Nack
			break
		}
		r.Standing.Lives = maps.Clone(r.Standing.Lives)
		if r.Standing.Lives == nil {
			r.Standing.Lives = Lives{}
		}
		r.Standing.Lives[q.Node] = q.Life
		changed.Standing = true
	default:
		return Reply{Outcome: Unfit, Ballot: q.Ballot}, r, Changed{}
	}
	reply := Reply{Outcome: outcome, Ballot: q.Ballot, Life: r.Standing.Life, Lives: r.Standing.Lives,
		Promised: r.promised()}
	if outcome == Told || outcome == Promise {
		reply.Vote = r.Vote
		if q.Known == r.Vote.Ballot {
			reply.Vote.Word = Word{}
		}
	}
	return reply, r, changed
}

func (r *Record) promised() Ballot {
	if r.Vote.Ballot.Compare(r.Standing.Promised) > 0 && !r.Vote.Hearsay {
		return r.Vote.Ballot
	}
	return r.Standing.Promised
}
