package consensus

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"maps"
	"math/bits"
	"slices"
	"strings"

	"quincegap/internal/mesh/transport/codec"
)

// world is a core of which every request is in sight. One may be delivered at any time; one that is lost is one that is never
// delivered. Its reply comes at once or never: what a late reply leads to is the same as if it had come at once, and what
// was sent then had been late, or as if it was lost, when the round went on without it. A voter that is killed before its
// record is on disk has lost the request, after that the reply.
type world struct {
	voters        []string // all who have a record; those of first vote at first
	firstVoters   VoterSet
	distinguished map[string]bool // voters that are not like the others
	records       []Record        // what is on disk
	codes         []uint64        // of records
	recoveries    []*Recovery     // of voters that lost their disk
	proposers     []proposer
	inFlight      []message    // sorted
	conclusions   []conclusion // of rounds, in their order
	diskLosses    int          // disks that may still be lost, of the loser
	loser         int
}

type proposer struct {
	change       *Change // nil: it reads, by asking, and if it starts again also with a ballot
	round        *Round
	attempts     int // that are left
	before       int // conclusions when the round began
	ballotNumber uint64
	replyCodes   [8]uint64 // codes of the replies of this phase, by voter, and of the value that is to be accepted
	knownVoters  VoterSet
}

type message struct {
	proposer int // or, for the recovery of a voter, -voter-1
	voter    int
	request  *Request
	code     string // identifies and sorts the messages to a voter
}

type conclusion struct {
	proposer int
	before   int // conclusions when its round began
	verdict  Verdict
	value    Value
	code     uint64
}

var seed = maphash.MakeSeed()

// code is a hash of what messages hold.
func code(list ...codec.Message) uint64 {
	var b []byte
	for _, m := range list {
		b = append(codec.MarshalAppend(b, m), 255)
	}
	return maphash.Bytes(seed, b)
}

func (w *world) setRecord(v int, r Record) {
	w.records[v], w.codes[v] = r, code(&r.State, &r.Vote)
}

func newWorld(voters, losses int, attempts []int, changes ...*Change) *world {
	return newWorldWithStandbys(voters, voters, losses, attempts, changes...)
}

// newWorldWithStandbys makes a world in which only the first so many of all vote at first, and the others are ready to.
func newWorldWithStandbys(voters, all, losses int, attempts []int, changes ...*Change) *world {
	world := &world{
		diskLosses: losses, loser: all - 1, recoveries: make([]*Recovery, all), records: make([]Record, all), codes: make([]uint64, all),
		distinguished: map[string]bool{},
	}
	for i := range all {
		world.voters = append(world.voters, fmt.Sprint("v", i))
		world.distinguished[world.voters[i]] = i >= voters
	}
	world.distinguished[world.voters[all-1]] = losses > 0
	world.firstVoters.Voters = world.voters[:voters:voters]
	for i, voter := range world.voters {
		world.setRecord(i, InitialRecord(voter, world.firstVoters.Voters))
		if i >= voters {
			world.setRecord(i, Record{State: ReplicaState{VoterSet: world.firstVoters, Ready: true, DiskIncarnation: 1}})
		}
	}
	for i, change := range changes {
		world.proposers = append(world.proposers, proposer{change: change, attempts: attempts[i], knownVoters: world.firstVoters})
		if change != nil && change.nextVoters != nil {
			for _, voter := range world.voters {
				world.distinguished[voter] = world.distinguished[voter] || slices.Contains(change.nextVoters.Voters, voter) != slices.Contains(change.nextVoters.Previous, voter)
			}
		}
	}
	return world
}

// clone copies what steps change.
func (w *world) clone() *world {
	clone := *w
	clone.records, clone.recoveries, clone.proposers = slices.Clone(w.records), slices.Clone(w.recoveries), slices.Clone(w.proposers)
	clone.inFlight, clone.conclusions, clone.codes = slices.Clone(w.inFlight), slices.Clone(w.conclusions), slices.Clone(w.codes)
	for i := range clone.proposers {
		if round := clone.proposers[i].round; round != nil {
			copied := *round
			copied.replies = maps.Clone(round.replies)
			clone.proposers[i].round = &copied
		}
	}
	for i, recovery := range clone.recoveries {
		if recovery != nil {
			copied := *recovery
			copied.replies = maps.Clone(recovery.replies)
			clone.recoveries[i] = &copied
		}
	}
	return &clone
}

// steps is how many steps there may be; step does one of them, and reports whether it could be done and changed anything.
func (w *world) steps() int { return 2*len(w.inFlight) + len(w.proposers) + w.diskLosses }

func (w *world) step(i int) bool {
	if i < 2*len(w.inFlight) {
		message := w.inFlight[i/2]
		w.inFlight = slices.Delete(w.inFlight, i/2, i/2+1)
		return w.deliver(message, i%2 == 0)
	}
	if i -= 2 * len(w.inFlight); i < len(w.proposers) {
		return w.propose(i)
	}
	return w.loseDisk(w.loser)
}

// propose starts a proposer's next round.
func (w *world) propose(proposerIndex int) bool {
	proposer := &w.proposers[proposerIndex]
	if proposer.attempts == 0 || proposer.round != nil && proposer.round.State == Done {
		return false
	}
	if proposer.attempts--; proposer.round != nil {
		proposer.ballotNumber = max(proposer.ballotNumber, proposer.round.HighestBallot.Number)
	}
	if proposer.round != nil && proposer.round.NewerVoters.Epoch > proposer.knownVoters.Epoch {
		proposer.knownVoters = proposer.round.NewerVoters
	}
	proposer.ballotNumber++
	var request *Request
	if proposer.round, request = NewReadRound(proposer.knownVoters, Vote{}); proposer.change != nil || proposer.attempts%2 == 1 {
		proposer.round, request = NewRound(proposer.knownVoters, Ballot{proposer.ballotNumber, fmt.Sprint("p", proposerIndex)}, proposer.change, Vote{})
	}
	proposer.before, proposer.replyCodes = len(w.conclusions), [8]uint64{}
	w.send(proposerIndex, request, proposer.round.Recipients())
	return true
}

func (w *world) send(proposer int, request *Request, to []string) {
	for v, name := range w.voters {
		if proposer != -v-1 && slices.Contains(to, name) {
			code := string(codec.MarshalAppend([]byte{byte(proposer)}, request))
			w.inFlight = append(w.inFlight, message{proposer, v, request, code})
		}
	}
	slices.SortFunc(w.inFlight, func(a, b message) int { return cmp.Or(strings.Compare(a.code, b.code), a.voter-b.voter) })
}

func (w *world) loseDisk(voter int) bool {
	w.diskLosses--
	w.setRecord(voter, Record{})
	var request *Request
	w.recoveries[voter], request = NewRecovery(w.voters[voter], w.firstVoters, uint64(10-w.diskLosses), false) // an incarnation of its own, found by trying otherwise
	w.send(-voter-1, request, w.recoveries[voter].Recipients())
	return true
}

// deliver hands a request to its voter, and the reply to its sender, unless that is lost.
func (w *world) deliver(message message, replyArrives bool) bool {
	name := w.voters[message.voter]
	reply, record, changed := w.records[message.voter].Handle(message.request)
	if changed.Any() {
		w.setRecord(message.voter, record)
	}
	if !replyArrives {
		return changed.Any() // or it is as if the request was lost
	}
	if message.proposer < 0 {
		w.stepRecovery(message, name, &reply)
		return true
	}
	proposer := &w.proposers[message.proposer]
	round := proposer.round
	if round.Finished() || round.ballot != message.request.Ballot {
		return changed.Any()
	}
	next := round.Step(name, &reply)
	if round.replies[name] == &reply {
		proposer.replyCodes[message.voter] = code(&reply)
	}
	if next != nil {
		if next.Kind == Accept {
			proposer.replyCodes = [8]uint64{7: code(&round.proposal)}
		}
		w.send(message.proposer, next, round.Recipients())
	}
	switch {
	case round.State == Done:
		w.conclusions = append(w.conclusions, conclusion{message.proposer, proposer.before, round.Verdict, round.Value, code(&round.Value)})
	case round.State == Stale && round.CommittedVote().Ballot == round.ballot:
		value := round.CommittedVote().Value
		w.conclusions = append(w.conclusions, conclusion{message.proposer, proposer.before, Unknown, value, code(&value)})
	}
	return true
}

// stepRecovery hands a reply to the voter that recovers, if it still does.
func (w *world) stepRecovery(message message, name string, reply *Reply) {
	voter := -message.proposer - 1
	recovery := w.recoveries[voter]
	if recovery == nil {
		return
	}
	before := recovery.Recipients()
	if record, ok := recovery.Step(name, reply); ok {
		w.setRecord(voter, record)
		w.recoveries[voter] = nil
		return
	}
	w.send(message.proposer, message.request, slices.DeleteFunc(recovery.Recipients(), func(node string) bool {
		return slices.Contains(before, node) || recovery.replies[node] != nil
	}))
}

// key identifies a state. Voters that only differ by name may change places, except the one that may lose its disk.
func (w *world) key() uint64 {
	keys := make([]uint64, len(w.voters))
	for voter := range w.voters {
		keys[voter] = w.voterKey(voter)
	}
	slices.Sort(keys)
	var digest maphash.Hash
	digest.SetSeed(seed)
	for _, key := range keys {
		maphash.WriteComparable(&digest, key)
	}
	for i := range w.proposers {
		proposer := &w.proposers[i]
		maphash.WriteComparable(&digest, [3]int{proposer.attempts, proposer.before, int(proposer.ballotNumber)})
		if proposer.round != nil {
			maphash.WriteComparable(&digest, proposer.replyCodes[7])
			maphash.WriteComparable(&digest, [2]uint64{proposer.knownVoters.Epoch, proposer.round.NewerVoters.Epoch})
			digest.WriteString(strings.Join(proposer.round.jointVoters, "+"))
			maphash.WriteComparable(&digest, [2]int{int(proposer.round.State), int(proposer.round.HighestBallot.Number)})
		}
	}
	for _, end := range w.conclusions {
		maphash.WriteComparable(&digest, [3]int{end.proposer, end.before, int(end.verdict)})
		maphash.WriteComparable(&digest, end.code)
	}
	maphash.WriteComparable(&digest, w.diskLosses)
	return digest.Sum64()
}

// voterKey is what tells one voter's state from another's: its record, which of its replies have arrived, and what is sent to it.
func (w *world) voterKey(voter int) uint64 {
	var digest maphash.Hash
	digest.SetSeed(seed)
	maphash.WriteComparable(&digest, w.codes[voter])
	name := w.voters[voter]
	if w.distinguished[name] {
		digest.WriteString(name)
	}
	for i := range w.proposers {
		maphash.WriteComparable(&digest, w.proposers[i].replyCodes[voter])
	}
	for _, recovery := range w.recoveries {
		if recovery != nil && recovery.replies[name] != nil {
			maphash.WriteComparable(&digest, code(recovery.replies[name]))
		}
	}
	for _, message := range w.inFlight {
		if message.voter == voter {
			digest.WriteString(message.code)
		}
	}
	return digest.Sum64()
}

// extends reports whether b is a or was made from it.
func extends(a, b *Value) bool {
	return len(a.History) <= len(b.History) && slices.Equal(a.History, b.History[:len(a.History)]) &&
		a.VoterSet.Epoch <= b.VoterSet.Epoch &&
		(a.VoterSet.Epoch < b.VoterSet.Epoch || slices.Equal(a.VoterSet.Voters, b.VoterSet.Voters))
}

func (w *world) contains(value *Value, proposer int) bool {
	change := w.proposers[proposer].change
	if change != nil && change.nextVoters != nil {
		return value.VoterSet.Epoch == change.nextVoters.Epoch && slices.Equal(value.VoterSet.Voters, change.nextVoters.Voters)
	}
	return change != nil && slices.Contains(value.History, VersionDigest{uint64(change.Version), change.digest})
}

// areRivals reports whether no more than one of two changes may be acknowledged.
func areRivals(a, b *Change) bool {
	if a.nextVoters != nil && b.nextVoters != nil {
		return a.nextVoters.Epoch == b.nextVoters.Epoch && !slices.Equal(a.nextVoters.Voters, b.nextVoters.Voters)
	}
	return a.nextVoters == nil && b.nextVoters == nil && a.Base == b.Base && a.digest != b.digest
}

// fault is what is wrong with the world; "" for nothing: two conclusions that contradict each other, or a read, from any
// majority, that does not show what was acknowledged or shows what was refused.
func (w *world) fault() string {
	if fault := w.faultOfConclusions(); fault != "" || len(w.conclusions) == 0 {
		return fault
	}
	for voters := range 1 << len(w.voters) {
		n := bits.OnesCount(uint(voters))
		noStandbys := len(w.voters) == len(w.firstVoters.Voters)
		if n < len(w.firstVoters.Voters)/2 || noStandbys && n != majority(len(w.voters)) {
			continue
		}
		for _, value := range []*Value{w.read(voters, false), w.read(voters, true)} {
			if fault := w.faultOfRead(value); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// faultOfConclusions is what is wrong with the conclusions by themselves.
func (w *world) faultOfConclusions() string {
	for i := range w.conclusions {
		later := &w.conclusions[i]
		if later.verdict == Applied && !w.contains(&later.value, later.proposer) {
			return "acknowledged, and not in the value"
		}
		for j := range w.conclusions[:i] {
			earlier := &w.conclusions[j]
			overlap := j >= later.before // the rounds ran at the same time, and either may come first
			if !extends(&earlier.value, &later.value) && (!overlap || !extends(&later.value, &earlier.value)) {
				return "two conclusions contradict each other"
			}
			bothApplied := earlier.verdict == Applied && later.verdict == Applied
			if bothApplied && areRivals(w.proposers[earlier.proposer].change, w.proposers[later.proposer].change) {
				return "two changes on a base were acknowledged"
			}
		}
	}
	return ""
}

// faultOfRead is what is wrong with a value that was read; nil if no value could be read.
func (w *world) faultOfRead(value *Value) string {
	if value == nil {
		return ""
	}
	for i := range w.conclusions {
		conclusion := &w.conclusions[i]
		if !extends(&conclusion.value, value) {
			return "a read misses what was committed"
		}
		if conclusion.verdict == Conflict && w.contains(value, conclusion.proposer) {
			return "a read shows what was refused"
		}
	}
	return ""
}

// read reads from a set of voters at once, by a bit for each: under a ballot, or without one. It leaves the world as it
// is. It starts with the first voter set, and goes on with a newer one as a proposer would. Nil is that there was no answer.
func (w *world) read(voters int, withBallot bool) *Value {
	records := slices.Clone(w.records)
	known := w.firstVoters
	for number := uint64(1000); ; number++ {
		round, request := NewReadRound(known, Vote{})
		if withBallot {
			round, request = NewRound(known, Ballot{number, "reader"}, nil, Vote{})
		}
		for request != nil {
			request = w.broadcast(records, voters, round, request)
		}
		switch {
		case round.State == Done:
			return &round.Value
		case round.State != Stale || round.NewerVoters.Epoch <= known.Epoch:
			return nil
		}
		known = round.NewerVoters
	}
}

// broadcast delivers a round's request to those of its recipients that are in a set of voters, and their replies to the
// round. It returns the round's next request; nil for none.
func (w *world) broadcast(records []Record, voters int, round *Round, request *Request) (next *Request) {
	for _, name := range round.Recipients() {
		voter := slices.Index(w.voters, name)
		if voters&(1<<voter) == 0 {
			continue
		}
		reply, record, _ := records[voter].Handle(request)
		records[voter] = record
		if step := round.Step(name, &reply); step != nil {
			next = step
		}
	}
	return next
}
