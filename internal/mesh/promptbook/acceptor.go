package promptbook

import (
	"maps"

	"gingerlead/internal/mesh/script"
)

// Standing is the part of a voter's record that changes with every promise.
type Standing struct {
	Electorate        // the newest that is known to be decided
	Fit        bool   // knows what it promised, if it is or becomes a voter
	Life       uint64 // grows each time the disk is lost
	Lives      Lives  // the others'
	Promised   Ballot
}

// Fields implements script.Message. A record without an epoch is from before voters could change, and has the first list.
func (s *Standing) Fields(v *script.Visitor) {
	v.Texts(1, &s.Voters)
	v.Bool(2, &s.Fit)
	v.Uint(3, &s.Life)
	s.Lives.fields(v)
	v.Message(5, &s.Promised)
	v.Uint(6, &s.Epoch)
	v.Texts(7, &s.Former)
	v.Texts(8, &s.Retired)
}

// Record is all that a voter remembers. Both parts are written on their own: if the vote is there without the standing that
// came with it, its ballot counts as promised.
type Record struct {
	Standing Standing
	Vote     Vote
}

// FirstRecord is that of a process at the first start of the whole system.
func FirstRecord(self string, voters []string) Record {
	r := Record{Standing: Standing{Electorate: Electorate{Voters: voters}, Life: 1}}
	r.Standing.Fit = r.Standing.Has(self)
	return r
}

// FitRecord is that of a process that isn't a voter and has read the newest vote by a round under an electorate; see there.
func FitRecord(e Electorate, v Vote, life uint64) Record {
	v.Hearsay = v.Ballot != Ballot{}
	return Record{Standing: Standing{Electorate: e, Fit: true, Life: life, Promised: v.Ballot}, Vote: v}
}

// Decided is the newest list that the record shows to be decided.
func (r *Record) Decided() Electorate {
	if e := &r.Vote.Word.Electorate; e.Epoch > r.Standing.Epoch+1 {
		return e.before()
	}
	return r.Standing.Electorate
}

// Learn notes that a list is decided.
func (r Record) Learn(e Electorate) (Record, Changed) {
	if d := r.Decided(); e.Epoch <= d.Epoch {
		return r, Changed{}
	}
	r.Standing.Electorate = e
	return r, Changed{Standing: true}
}

// Changed tells which parts of a record have to be written through before the answer leaves.
type Changed struct{ Standing, Vote bool }

// Any tells whether there is something to write.
func (c Changed) Any() bool { return c.Standing || c.Vote }

// Handle answers a request. If parts of the record changed, the new record must be on disk before the answer leaves and
// before it answers anything else; if that fails the record has to be read again. The old record stays as it is.
func (r Record) Handle(q *Request) (Reply, Record, Changed) {
	decided := r.Decided()
	if q.Kind == Introduce {
		return Reply{Outcome: Told, Electorate: decided, Fit: r.Standing.Fit}, r, Changed{}
	}
	if !r.Standing.Fit {
		return Reply{Outcome: Unfit, Ballot: q.Ballot}, r, Changed{}
	}
	if q.Epoch < decided.Epoch && q.Kind != Recover {
		return Reply{Outcome: Outdated, Ballot: q.Ballot, Electorate: decided}, r, Changed{}
	}
	var changed Changed
	outcome := Told
	switch q.Kind {
	case Ask:
	case Prepare:
		if q.Ballot.Compare(r.promised()) < 0 {
			outcome = Nack
			break
		}
		outcome = Promise // the same again, if a round asks twice: its ballot is no one else's
		changed.Standing = r.Standing.Promised != q.Ballot
		r.Standing.Promised = q.Ballot
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
	if q.Kind == Recover {
		reply.Electorate = decided
	}
	return reply, r, changed
}

func (r *Record) promised() Ballot {
	if r.Vote.Ballot.Compare(r.Standing.Promised) > 0 && !r.Vote.Hearsay {
		return r.Vote.Ballot
	}
	return r.Standing.Promised
}
