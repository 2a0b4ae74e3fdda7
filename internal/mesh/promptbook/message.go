package promptbook

import (
	"maps"
	"slices"

	"gingerlead/internal/mesh/script"
)

// Kind is what a request asks for.
type Kind uint8

// Kinds of requests.
const (
	Ask       Kind = 1 + iota // what was accepted
	Prepare                   // a promise for Ballot
	Accept                    // acceptance of Word under Ballot
	Recover                   // what an amnesiac Node needs, which starts Life
	Introduce                 // the voters' list; from any process that knows it
	Commit                    // the news that what was accepted under Ballot is committed; no answer is needed
)

// Request is what a proposer, or an amnesiac, asks.
type Request struct {
	Kind   Kind
	Ballot Ballot
	Known  Ballot // the asker has the word of this ballot, and the answer need not hold it
	Word   Word
	Node   string
	Life   uint64
	Epoch  uint64 // of Ask, Prepare and Accept: the proposer's list
}

// Fields implements script.Message.
func (q *Request) Fields(v *script.Visitor) {
	kind := uint64(q.Kind)
	v.Uint(1, &kind)
	q.Kind = Kind(kind)
	v.Message(2, &q.Ballot)
	v.Message(3, &q.Known)
	v.Message(4, &q.Word)
	v.Text(5, &q.Node)
	v.Uint(6, &q.Life)
	v.Uint(7, &q.Epoch)
}

// Outcome is how a request was answered.
type Outcome uint8

// Outcomes.
const (
	Unfit Outcome = iota // not a voter, or one that has to recover first
	Told                 // to Ask, Recover and Introduce
	Promise
	Accepted
	Nack     // Promised is higher; to Recover: a higher Life was seen
	Outdated // a newer epoch is decided: Electorate
)

// Reply is the answer to a request. Ballot is that of the request, Promised and Vote are the voter's own. Electorate is the
// newest that the voter knows as decided; it is told where it matters.
type Reply struct {
	Outcome  Outcome
	Ballot   Ballot
	Life     uint64
	Lives    Lives
	Promised Ballot
	Vote     Vote

	Electorate Electorate
	Fit        bool // to Introduce: may be made a voter
	Blank      bool // Unfit because there was nothing on its disk at all
}

// Fields implements script.Message.
func (r *Reply) Fields(v *script.Visitor) {
	outcome := uint64(r.Outcome)
	v.Uint(1, &outcome)
	r.Outcome = Outcome(outcome)
	v.Message(2, &r.Ballot)
	v.Uint(3, &r.Life)
	r.Lives.fields(v)
	v.Message(5, &r.Promised)
	v.Message(6, &r.Vote)
	v.Message(8, &r.Electorate)
	v.Bool(9, &r.Fit)
	v.Bool(10, &r.Blank)
}

// Vote is a word that was accepted under a ballot. Hearsay was not accepted by the voter that has it, but learned from
// another one by a voter that lost its disk: it may not be forgotten, and doesn't count towards a majority.
type Vote struct {
	Ballot  Ballot
	Word    Word
	Hearsay bool
}

// Fields implements script.Message.
func (o *Vote) Fields(v *script.Visitor) {
	v.Message(1, &o.Ballot)
	v.Message(2, &o.Word)
	v.Bool(3, &o.Hearsay)
}

// Lives are the lives of voters that lost their disks, by the newest that a voter was told.
type Lives map[string]uint64

type life struct {
	node string
	n    uint64
}

func (l *life) Fields(v *script.Visitor) {
	v.Text(1, &l.node)
	v.Uint(2, &l.n)
}

func (l *Lives) fields(v *script.Visitor) {
	var list []life
	for _, node := range slices.Sorted(maps.Keys(*l)) {
		list = append(list, life{node, (*l)[node]})
	}
	script.Messages(v, 4, &list)
	if v.Reading() && len(list) > 0 {
		*l = Lives{}
		for _, one := range list {
			(*l)[one.node] = one.n
		}
	}
}
