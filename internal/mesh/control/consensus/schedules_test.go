package consensus

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"maps"
	"math/bits"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

// world is a core of which every request is in sight. One may be delivered at any time; one that is lost is one that is never
// delivered. Its reply comes at once or never: what a late reply leads to is the same as if it had come at once, and what
// was sent then had been late, or as if it was lost, when the round went on without it. A voter that is killed before its
// record is on disk has lost the request, after that the reply.
type world struct {
	voters  []string // all who have a record; those of first vote at first
	first   VoterSet
	moved   map[string]bool // voters that are not like the others
	records []Record        // what is on disk
	codes   []uint64        // of records
	lost    []*Recovery     // of voters that lost their disk
	props   []proposer      //
	flight  []message       // sorted
	ends    []conclusion    // of rounds, in their order
	losses  int             // disks that may still be lost, of the loser
	loser   int
}

type proposer struct {
	change   *Change // nil: it reads, by asking, and if it starts again also with a ballot
	round    *Round
	attempts int // that are left
	before   int // conclusions when the round began
	n        uint64
	heard    [8]uint64 // codes of the replies of this phase, by voter, and of the word that is to be accepted
	known    VoterSet
}

type message struct {
	prop  int // or of the recovery of the voter -prop-1
	voter int
	q     *Request
	code  string // tells the messages to a voter apart, and sorts them
}

type conclusion struct {
	prop    int
	before  int // conclusions when its round began
	verdict Verdict
	word    Value
	code    uint64
}

var seed = maphash.MakeSeed()

// code tells what messages hold.
func code(list ...codec.Message) uint64 {
	var b []byte
	for _, m := range list {
		b = append(codec.MarshalAppend(b, m), 255)
	}
	return maphash.Bytes(seed, b)
}

func (w *world) record(v int, r Record) {
	w.records[v], w.codes[v] = r, code(&r.State, &r.Vote)
}

func newWorld(voters, losses int, attempts []int, changes ...*Change) *world {
	return newLists(voters, voters, losses, attempts, changes...)
}

// newLists makes a world in which only the first so many of all vote at first, and the others are ready to.
func newLists(voters, all, losses int, attempts []int, changes ...*Change) *world {
	w := &world{
		losses: losses, loser: all - 1, lost: make([]*Recovery, all), records: make([]Record, all), codes: make([]uint64, all),
		moved: map[string]bool{},
	}
	for i := range all {
		w.voters = append(w.voters, fmt.Sprint("v", i))
		w.moved[w.voters[i]] = i >= voters
	}
	w.moved[w.voters[all-1]] = losses > 0
	w.first.Voters = w.voters[:voters:voters]
	for i, v := range w.voters {
		w.record(i, InitialRecord(v, w.first.Voters))
		if i >= voters {
			w.record(i, Record{State: ReplicaState{VoterSet: w.first, Ready: true, DiskIncarnation: 1}})
		}
	}
	for i, c := range changes {
		w.props = append(w.props, proposer{change: c, attempts: attempts[i], known: w.first})
		if c != nil && c.nextVoters != nil {
			for _, v := range w.voters {
				w.moved[v] = w.moved[v] || slices.Contains(c.nextVoters.Voters, v) != slices.Contains(c.nextVoters.Previous, v)
			}
		}
	}
	return w
}

// clone copies what steps change.
func (w *world) clone() *world {
	o := *w
	o.records, o.lost, o.props = slices.Clone(w.records), slices.Clone(w.lost), slices.Clone(w.props)
	o.flight, o.ends, o.codes = slices.Clone(w.flight), slices.Clone(w.ends), slices.Clone(w.codes)
	for i := range o.props {
		if r := o.props[i].round; r != nil {
			c := *r
			c.replies = maps.Clone(r.replies)
			o.props[i].round = &c
		}
	}
	for i, y := range o.lost {
		if y != nil {
			c := *y
			c.replies = maps.Clone(y.replies)
			o.lost[i] = &c
		}
	}
	return &o
}

// steps is how many steps there may be; step does one of them, or tells that it can't be done or changes nothing.
func (w *world) steps() int { return 2*len(w.flight) + len(w.props) + w.losses }

func (w *world) step(i int) bool {
	if i < 2*len(w.flight) {
		m := w.flight[i/2]
		w.flight = slices.Delete(w.flight, i/2, i/2+1)
		return w.deliver(m, i%2 == 0)
	}
	if i -= 2 * len(w.flight); i < len(w.props) {
		return w.propose(i)
	}
	return w.lose(w.loser)
}

// propose starts a proposer's next round.
func (w *world) propose(i int) bool {
	p := &w.props[i]
	if p.attempts == 0 || p.round != nil && p.round.State == Done {
		return false
	}
	if p.attempts--; p.round != nil {
		p.n = max(p.n, p.round.HighestBallot.Number)
	}
	if p.round != nil && p.round.NewerVoters.Epoch > p.known.Epoch {
		p.known = p.round.NewerVoters
	}
	p.n++
	var q *Request
	if p.round, q = NewReadRound(p.known, Vote{}); p.change != nil || p.attempts%2 == 1 {
		p.round, q = NewRound(p.known, Ballot{p.n, fmt.Sprint("p", i)}, p.change, Vote{})
	}
	p.before, p.heard = len(w.ends), [8]uint64{}
	w.send(i, q, p.round.Recipients())
	return true
}

func (w *world) send(prop int, q *Request, to []string) {
	for v, name := range w.voters {
		if prop != -v-1 && slices.Contains(to, name) {
			code := string(codec.MarshalAppend([]byte{byte(prop)}, q))
			w.flight = append(w.flight, message{prop, v, q, code})
		}
	}
	slices.SortFunc(w.flight, func(a, b message) int { return cmp.Or(strings.Compare(a.code, b.code), a.voter-b.voter) })
}

func (w *world) lose(v int) bool {
	w.losses--
	w.record(v, Record{})
	var q *Request
	w.lost[v], q = NewRecovery(w.voters[v], w.first, uint64(10-w.losses), false) // a life of its own, found by trying otherwise
	w.send(-v-1, q, w.lost[v].Recipients())
	return true
}

// deliver hands a request to its voter, and the reply to who asked, if it is heard.
func (w *world) deliver(m message, heard bool) bool {
	name := w.voters[m.voter]
	reply, next, changed := w.records[m.voter].Handle(m.q)
	if changed.Any() {
		w.record(m.voter, next)
	}
	if !heard {
		return changed.Any() // or it is as if the request was lost
	}
	if m.prop < 0 {
		if v := -m.prop - 1; w.lost[v] != nil {
			before := w.lost[v].Recipients()
			if r, ok := w.lost[v].Step(name, &reply); ok {
				w.record(v, r)
				w.lost[v] = nil
				return true
			}
			w.send(m.prop, m.q, slices.DeleteFunc(w.lost[v].Recipients(), func(s string) bool {
				return slices.Contains(before, s) || w.lost[v].replies[s] != nil
			}))
		}
		return true
	}
	p := &w.props[m.prop]
	r := p.round
	if r.Finished() || r.ballot != m.q.Ballot {
		return changed.Any()
	}
	q := r.Step(name, &reply)
	if r.replies[name] == &reply {
		p.heard[m.voter] = code(&reply)
	}
	if q != nil {
		if q.Kind == Accept {
			p.heard = [8]uint64{7: code(&r.proposal)}
		}
		w.send(m.prop, q, r.Recipients())
	}
	switch {
	case r.State == Done:
		w.ends = append(w.ends, conclusion{m.prop, p.before, r.Verdict, r.Value, code(&r.Value)})
	case r.State == Stale && r.CommittedVote().Ballot == r.ballot:
		word := r.CommittedVote().Value
		w.ends = append(w.ends, conclusion{m.prop, p.before, Unknown, word, code(&word)})
	}
	return true
}

// key tells states apart. Voters that only differ by name may change places, except the one that may lose its disk.
func (w *world) key() uint64 {
	keys := make([]uint64, len(w.voters))
	for v := range w.voters {
		var h maphash.Hash
		h.SetSeed(seed)
		maphash.WriteComparable(&h, w.codes[v])
		if name := w.voters[v]; w.moved[name] {
			h.WriteString(name)
		}
		for i := range w.props {
			maphash.WriteComparable(&h, w.props[i].heard[v])
		}
		for _, y := range w.lost {
			if y != nil && y.replies[w.voters[v]] != nil {
				maphash.WriteComparable(&h, code(y.replies[w.voters[v]]))
			}
		}
		for _, m := range w.flight {
			if m.voter == v {
				h.WriteString(m.code)
			}
		}
		keys[v] = h.Sum64()
	}
	slices.Sort(keys)
	var h maphash.Hash
	h.SetSeed(seed)
	for _, k := range keys {
		maphash.WriteComparable(&h, k)
	}
	for i := range w.props {
		p := &w.props[i]
		maphash.WriteComparable(&h, [3]int{p.attempts, p.before, int(p.n)})
		if p.round != nil {
			maphash.WriteComparable(&h, p.heard[7])
			maphash.WriteComparable(&h, [2]uint64{p.known.Epoch, p.round.NewerVoters.Epoch})
			h.WriteString(strings.Join(p.round.jointVoters, "+"))
			maphash.WriteComparable(&h, [2]int{int(p.round.State), int(p.round.HighestBallot.Number)})
		}
	}
	for _, e := range w.ends {
		maphash.WriteComparable(&h, [3]int{e.prop, e.before, int(e.verdict)})
		maphash.WriteComparable(&h, e.code)
	}
	maphash.WriteComparable(&h, w.losses)
	return h.Sum64()
}

// extends tells whether b is a or was made from it.
func extends(a, b *Value) bool {
	return len(a.History) <= len(b.History) && slices.Equal(a.History, b.History[:len(a.History)]) &&
		a.VoterSet.Epoch <= b.VoterSet.Epoch &&
		(a.VoterSet.Epoch < b.VoterSet.Epoch || slices.Equal(a.VoterSet.Voters, b.VoterSet.Voters))
}

func (w *world) holds(word *Value, prop int) bool {
	c := w.props[prop].change
	if c != nil && c.nextVoters != nil {
		return word.VoterSet.Epoch == c.nextVoters.Epoch && slices.Equal(word.VoterSet.Voters, c.nextVoters.Voters)
	}
	return c != nil && slices.Contains(word.History, VersionDigest{uint64(c.Version), c.digest})
}

// rivals tells whether no more than one of two changes may be acknowledged.
func rivals(a, b *Change) bool {
	if a.nextVoters != nil && b.nextVoters != nil {
		return a.nextVoters.Epoch == b.nextVoters.Epoch && !slices.Equal(a.nextVoters.Voters, b.nextVoters.Voters)
	}
	return a.nextVoters == nil && b.nextVoters == nil && a.Base == b.Base && a.digest != b.digest
}

// fault is what is wrong with the world: two conclusions that don't fit, or a read, from any majority, that doesn't show what
// was acknowledged or shows what was refused.
func (w *world) fault() string {
	for i, e := range w.ends {
		if e.verdict == Applied && !w.holds(&e.word, e.prop) {
			return "acknowledged, and not in the word"
		}
		for j, o := range w.ends[:i] {
			if !extends(&o.word, &e.word) && (j < e.before || !extends(&e.word, &o.word)) {
				return "two conclusions don't fit"
			}
			if o.verdict == Applied && e.verdict == Applied && rivals(w.props[o.prop].change, w.props[e.prop].change) {
				return "two changes on a base were acknowledged"
			}
		}
	}
	if len(w.ends) == 0 {
		return ""
	}
	for set := range 1 << len(w.voters) {
		n := bits.OnesCount(uint(set))
		if plain := len(w.voters) == len(w.first.Voters); n < len(w.first.Voters)/2 || plain && n != majority(len(w.voters)) {
			continue
		}
		for _, word := range []*Value{w.read(set, false), w.read(set, true)} {
			if word == nil {
				continue
			}
			for _, e := range w.ends {
				if !extends(&e.word, word) {
					return "a read misses what was committed"
				}
				if e.verdict == Conflict && w.holds(word, e.prop) {
					return "a read shows what was refused"
				}
			}
		}
	}
	return ""
}

// concludeRead reads from a set of voters at once: with a ballot, or asking only. It leaves the world as it is. It starts with the first
// list, and goes on with a newer one as a proposer would.
func (w *world) read(set int, ballot bool) *Value {
	records := slices.Clone(w.records)
	known := w.first
	for n := uint64(1000); ; n++ {
		r, q := NewReadRound(known, Vote{})
		if ballot {
			r, q = NewRound(known, Ballot{n, "reader"}, nil, Vote{})
		}
		for q != nil {
			var next *Request
			for _, name := range r.Recipients() {
				v := slices.Index(w.voters, name)
				if set&(1<<v) != 0 {
					reply, record, _ := records[v].Handle(q)
					records[v] = record
					if n := r.Step(name, &reply); n != nil {
						next = n
					}
				}
			}
			q = next
		}
		switch {
		case r.State == Done:
			return &r.Value
		case r.State != Stale || r.NewerVoters.Epoch <= known.Epoch:
			return nil
		}
		known = r.NewerVoters
	}
}

// explore plays all orders of up to so many steps, and gives the number of states.
func explore(t *testing.T, start *world, depth int) int {
	type node struct {
		w    *world
		path []byte
	}
	seen := map[uint64]bool{start.key(): true}
	level := []node{{w: start}}
	for ; depth > 0 && len(level) > 0; depth-- {
		var next []node
		for _, n := range level {
			for i := range n.w.steps() {
				w := n.w.clone()
				if !w.step(i) {
					continue
				}
				k := w.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				path := append(slices.Clone(n.path), byte(i))
				if fault := w.fault(); fault != "" {
					t.Fatalf("%s after steps %v", fault, path)
				}
				next = append(next, node{w, path})
			}
		}
		level = next
	}
	return len(seen)
}

// roam plays random orders to their end.
func roam(t *testing.T, start *world, runs int) (ends int) {
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		w := start.clone()
		for n := 0; n < 200 && w.steps() > 0; n++ {
			before := len(w.ends)
			w.step(rng.IntN(w.steps()))
			if len(w.ends) == before && n%20 != 19 {
				continue
			}
			if fault := w.fault(); fault != "" {
				t.Fatalf("%s in run %d", fault, seed)
			}
		}
		ends += len(w.ends)
	}
	return ends
}

// list makes a list of voters v0, v1 and so on.
func list(n int) (e VoterSet) {
	for i := range n {
		e.Voters = append(e.Voters, fmt.Sprint("v", i))
	}
	return e
}

// follow makes further moves of a list.
func follow(e VoterSet, moves ...VoterChange) *Change {
	var c *Change
	for _, m := range moves {
		c = NewVoterChange(e, m)
		e = *c.nextVoters
	}
	return c
}

// played has a proposer play a round with some voters to its end.
func (w *world) played(prop int, voters ...int) *world {
	w.propose(prop)
	for w.props[prop].round.State != Done {
		before := len(w.flight)
		for _, v := range voters {
			if i := slices.IndexFunc(w.flight, func(m message) bool { return m.prop == prop && m.voter == v }); i >= 0 {
				w.step(2 * i)
			}
		}
		if len(w.flight) == before {
			panic("the round doesn't end")
		}
	}
	return w
}

// without drops what is on its way.
func (w *world) without() *world {
	w.flight = nil
	return w
}

var (
	one   = NewChange(0, 1, []byte("one"))
	two   = NewChange(0, 2, []byte("two"))
	three = NewChange(1, 3, []byte("three"))
)

// promised has a proposer start a round, and two voters hear of it.
func (w *world) promised(prop, a, b int) *world {
	w.propose(prop)
	w.hear(prop, a)
	w.hear(prop, b)
	return w
}

// hear delivers the last request of a proposer to a voter.
func (w *world) hear(prop, voter int) {
	at := -1
	for i, m := range w.flight {
		if m.prop == prop && m.voter == voter && (at < 0 || m.q.Kind == Accept) {
			at = i
		}
	}
	w.step(2 * at)
}

// learned is a world in which the disk that will be lost gets back a vote below what it promised.
func learned() *world {
	w := newWorld(3, 1, []int{1, 1, 1}, one, two, nil).promised(0, 0, 1)
	w.hear(0, 0)
	return w.promised(1, 1, 2)
}

var (
	addV3       = follow(list(3), VoterChange{Add: "v3"})
	addV4       = follow(list(3), VoterChange{Add: "v3"}, VoterChange{Add: "v4"})
	dropV2      = follow(list(3), VoterChange{Remove: "v2"})
	swapV0      = follow(list(3), VoterChange{Add: "v3", Remove: "v0"})
	swapV1      = follow(list(3), VoterChange{Add: "v3", Remove: "v1"})
	addV3dropV0 = follow(list(3), VoterChange{Add: "v3"}, VoterChange{Remove: "v0"})
)

// outOfDate is a world in which v3 was added and v0 removed, of which v0 and v1 know the half, or nothing: a proposer that only
// knows the first list races with one that knows the last.
func outOfDate() *world {
	w := newLists(3, 4, 0, []int{1, 1, 2, 1}, addV3, addV3dropV0, one, two).played(0, 1, 2, 3).without()
	w.props[1].known = *addV3.nextVoters
	w.played(1, 1, 2, 3).without()
	w.props[3].known = *addV3dropV0.nextVoters
	return w
}

// comesBack is a world in which v3 was removed without hearing of it, and proposes with its old list.
func comesBack() *world {
	drop := follow(list(4), VoterChange{Remove: "v3"})
	w := newLists(4, 4, 0, []int{1, 2, 1}, drop, one, two).played(0, 0, 1, 2).without()
	w.props[2].known = *drop.nextVoters
	return w
}

// rivalList is a world in which one voter accepted a list that was not chosen, and a proposer saw that; then another list was
// chosen without that voter, of which a majority meets no majority of the first one.
func rivalList() *world {
	drop := follow(list(4), VoterChange{Remove: "v3"})
	w := newLists(4, 5, 0, []int{1, 1, 1, 2}, follow(list(4), VoterChange{Add: "v4"}), drop, one, two).promised(0, 1, 2)
	w.hear(0, 3)
	w.hear(0, 3)
	w.props[3].n = 1
	w.promised(3, 1, 2).hear(3, 3)
	w.props[1].n = 2
	w.played(1, 0, 1, 2).without()
	w.props[2].known, w.props[2].n, w.props[3].n = *drop.nextVoters, 3, 4
	return w
}

// lostWhileAdded is a world in which a voter's disk may be lost when another is being added.
func lostWhileAdded() *world {
	w := newLists(3, 4, 1, []int{1, 1, 1}, follow(list(3), VoterChange{Add: "v3"}), one, two)
	w.propose(0)
	w.hear(0, 0)
	w.hear(0, 1)
	w.hear(0, 3)
	return w
}

// exchanging is a world in which v0 is being exchanged for v3; two of the others have promised, and one voter's disk may be lost.
func exchanging(loser, a, b int) *world {
	w := newLists(3, 4, 0, []int{1, 1, 1}, swapV0, one, two).mayLose(loser, 1)
	w.promised(0, 1, 2)
	w.hear(0, a)
	w.hear(0, b)
	return w
}

// rivalExchange is a world in which v1 accepted a list with v3 in place of v0 that was not chosen, and one with v3 in place of v2
// is about to be: v3 accepted it and may lose its disk then. A majority of either list without v3 need not meet those who chose.
func rivalExchange() *world {
	w := newLists(3, 4, 0, []int{1, 1, 1, 1}, follow(list(3), VoterChange{Add: "v3", Remove: "v0"}),
		follow(list(3), VoterChange{Add: "v3", Remove: "v2"}), one, two).mayLose(3, 1)
	w.promised(0, 0, 1)
	w.hear(0, 1)
	w.props[1].n = 1
	w.promised(1, 0, 2)
	w.hear(1, 3)
	return w
}

func TestAllOrders(t *testing.T) {
	for name, x := range map[string]struct {
		w     *world
		depth int
	}{
		"two changes on a base":     {newWorld(3, 0, []int{1, 1}, one, two), 100},
		"one tries again":           {newWorld(3, 0, []int{2, 1}, one, two), 10},
		"a lost disk":               {newWorld(3, 1, []int{1, 1}, one, two).promised(0, 0, 1), 9},
		"a lost disk, and a reader": {learned(), 7},

		"a voter is added":               {newLists(3, 4, 0, []int{1, 1}, one, addV3), 8},
		"a voter is removed":             {newLists(3, 3, 0, []int{1, 1}, one, dropV2), 9},
		"one is added, another removed":  {newLists(3, 4, 0, []int{1, 1}, addV3, dropV2), 8},
		"a proposer that is out of date": {newLists(3, 4, 0, []int{1, 1, 2}, addV3, one, two).played(0, 0, 1, 3).without(), 7},
		"two epochs out of date":         {outOfDate(), 7},
		"a removed voter comes back":     {comesBack(), 7},
		"a rival list that one has":      {rivalList(), 8},
		"a lost disk while one is added": {lostWhileAdded(), 6},

		"a voter is exchanged":              {newLists(3, 4, 0, []int{1, 1}, one, swapV0), 8},
		"two exchanges race":                {newLists(3, 4, 0, []int{1, 1}, swapV0, swapV1), 8},
		"who joins loses its disk":          {exchanging(3, 1, 3), 6},
		"who joins loses its disk, rival":   {rivalExchange(), 6},
		"who stays loses its disk":          {exchanging(1, 1, 3), 6},
		"who was exchanged, and knows less": {newLists(3, 4, 0, []int{1, 2, 1}, swapV0, one, two).played(0, 1, 2, 3).without(), 7},
	} {
		t.Run(name, func(t *testing.T) {
			states := explore(t, x.w, x.depth)
			t.Logf("%d states", states)
			qt.Assert(t, states > 1000, qt.IsTrue)
		})
	}
}

func TestRandomOrders(t *testing.T) {
	for name, w := range map[string]*world{
		"a change twice, and another": newWorld(3, 0, []int{3, 3, 3}, one, two, one),
		"a base that comes later":     newWorld(3, 0, []int{3, 3, 3}, one, three, three),
		"a lost disk":                 newWorld(3, 2, []int{3, 3, 3}, one, two, nil),
		"a lost disk of four":         newWorld(4, 2, []int{3, 3, 3}, one, two, nil),
		"a lost disk of five":         newWorld(5, 2, []int{3, 3, 3}, one, two, nil),
	} {
		t.Run(name, func(t *testing.T) {
			ends := roam(t, w, 2000)
			t.Logf("%d conclusions", ends)
		})
	}
}

// While the voters change, in orders in which most messages arrive, so that rounds end and epochs follow each other.
func TestRandomOrdersOfMoves(t *testing.T) {
	plays := 1000
	if os.Getenv("SOAK") != "" {
		plays = 3000
	}
	many := []int{4, 4, 4, 4, 4}
	drop := func(n int, node string) *Change { return follow(list(n), VoterChange{Remove: node}) }
	for name, w := range map[string]*world{
		"three become five":             newLists(3, 5, 0, many, one, addV3, addV4, two, three),
		"three become five, a disk":     newLists(3, 5, 0, many, one, addV3, addV4, two, three).mayLose(0, 2),
		"voters are exchanged":          newLists(3, 4, 0, many, one, addV3, addV3dropV0, two, three),
		"voters are exchanged, a disk":  newLists(3, 4, 0, many, one, addV3, addV3dropV0, two, three).mayLose(1, 2),
		"exchanged in one step":         newLists(3, 4, 0, many, one, swapV0, swapV1, two, three),
		"exchanged, who joins, a disk":  newLists(3, 4, 0, many, one, swapV0, swapV1, two, three).mayLose(3, 2),
		"exchanged, who stays, a disk":  newLists(3, 4, 0, many, one, swapV0, follow(list(3), VoterChange{Add: "v3", Remove: "v0"}, VoterChange{Add: "v0", Remove: "v1"}), two, three).mayLose(2, 2),
		"exchanged, who leaves, a disk": newLists(3, 4, 0, many, one, swapV0, follow(list(3), VoterChange{Add: "v3", Remove: "v0"}, VoterChange{Add: "v0", Remove: "v1"}), two, three).mayLose(0, 2),
		"rivals of four":                newLists(4, 5, 0, many, follow(list(4), VoterChange{Add: "v4"}), drop(4, "v3"), one, two, three),
		"rivals of four, a disk": newLists(4, 5, 0, many, follow(list(4), VoterChange{Add: "v4"}), drop(4, "v3"), one, two, three).
			mayLose(0, 2),
		"five become two": newLists(5, 5, 0, many, drop(5, "v4"), follow(list(5), VoterChange{Remove: "v4"}, VoterChange{Remove: "v3"}),
			follow(list(5), VoterChange{Remove: "v4"}, VoterChange{Remove: "v3"}, VoterChange{Remove: "v2"}), one, two),
		"rivals grow and shrink": newLists(4, 6, 0, many, follow(list(4), VoterChange{Add: "v4"}), drop(4, "v3"),
			follow(list(4), VoterChange{Add: "v4"}, VoterChange{Add: "v5"}), follow(list(4), VoterChange{Remove: "v3"}, VoterChange{Remove: "v2"}), one),
	} {
		t.Run(name, func(t *testing.T) {
			ends, epochs := 0, map[uint64]int{}
			for seed := range plays {
				rng := rand.New(rand.NewPCG(uint64(seed), 2))
				w := w.clone()
				for n := 0; n < 120 && w.stroll(rng); n++ {
				}
				if fault := w.fault(); fault != "" {
					t.Fatalf("%s in run %d", fault, seed)
				}
				ends += len(w.ends)
				newest := uint64(0)
				for _, e := range w.ends {
					newest = max(newest, e.word.VoterSet.Epoch)
				}
				epochs[newest]++
			}
			t.Logf("%d conclusions, runs by epoch: %v", ends, epochs)
			qt.Assert(t, ends > plays, qt.IsTrue)
		})
	}
}

// mayLose lets a voter lose its disk so often.
func (w *world) mayLose(v, losses int) *world {
	w.loser, w.losses = v, losses
	w.moved[w.voters[v]] = true
	return w
}

// stroll does a step by chance; it tells whether there was one to do.
func (w *world) stroll(rng *rand.Rand) bool {
	for range 50 {
		flight := len(w.flight)
		r := rng.IntN(100)
		switch {
		case flight > 0 && r < 70:
			w.step(2 * rng.IntN(flight))
			return true
		case flight > 0 && r < 74:
			w.step(2*rng.IntN(flight) + 1)
			return true
		case flight > 0 && r < 80:
			i := rng.IntN(flight)
			w.flight = slices.Delete(w.flight, i, i+1)
			return true
		case r < 97:
			i := rng.IntN(len(w.props))
			if p := &w.props[i]; (p.round == nil || p.round.Finished() || rng.IntN(4) == 0) && w.propose(i) {
				return true
			}
		case w.losses > 0 && w.lost[w.loser] == nil:
			return w.lose(w.loser)
		}
	}
	return false
}
