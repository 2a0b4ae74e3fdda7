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

// world is a state of a core, with every request that is in flight, from which a test can take each possible step. A request
// may be delivered at any time; a lost one is never delivered. Its reply arrives at once or never. This covers late replies:
// a reply that arrives late has the same effect as one that arrived at once and whose consequences were late, or, if the
// round went on without it, as one that was lost. A voter that is killed before its record is on disk has lost the request;
// one that is killed after that has lost the reply.
type world struct {
	voters        []string // all processes that have a record; those of firstVoters vote at first
	firstVoters   VoterSet
	distinguished map[string]bool // by voter: a state in which it changes places with another one is a different state
	records       []Record        // on disk, by voter
	codes         []uint64        // of records
	recoveries    []*Recovery     // by voter; nil unless it lost its disk
	proposers     []proposer
	inFlight      []message    // sorted
	conclusions   []conclusion // of rounds, in their order
	diskLosses    int          // how often the loser's disk may still be lost
	loser         int          // index of the only voter that may lose its disk
}

// proposer is a process that makes one change, or reads.
type proposer struct {
	change       *Change // nil: it reads, in every other round with a ballot
	round        *Round  // nil before the first one
	attempts     int     // that are left
	before       int     // conclusions when the round began
	ballotNumber uint64
	replyCodes   [8]uint64 // codes of the replies of this phase, by voter; the last is that of the value to be accepted
	knownVoters  VoterSet
}

// message is a request in flight.
type message struct {
	proposer int // index of the sender; for the recovery of a voter it is -voter-1
	voter    int // index of the recipient
	request  *Request
	code     string // identifies and sorts the messages to a voter
}

// conclusion is the end of a round by which a value is known to be committed.
type conclusion struct {
	proposer int
	before   int // conclusions when its round began
	verdict  Verdict
	value    Value
	code     uint64 // of value
}

var seed = maphash.MakeSeed()

// code returns a hash of messages.
func code(messages ...codec.Message) uint64 {
	var encoded []byte
	for _, message := range messages {
		encoded = append(codec.MarshalAppend(encoded, message), 255)
	}
	return maphash.Bytes(seed, encoded)
}

func (w *world) setRecord(voter int, record Record) {
	w.records[voter] = record
	w.codes[voter] = code(&record.State, &record.Vote)
}

// newWorld returns a world without standbys.
func newWorld(voters, losses int, attempts []int, changes ...*Change) *world {
	return newWorldWithStandbys(voters, voters, losses, attempts, changes...)
}

// newWorldWithStandbys returns a world of all processes v0, v1 and so on, of which the first ones vote and the others are
// ready to. The last one may lose its disk. There is a proposer for each change, with its number of attempts.
func newWorldWithStandbys(voters, all, losses int, attempts []int, changes ...*Change) *world {
	world := &world{
		diskLosses:    losses,
		loser:         all - 1,
		recoveries:    make([]*Recovery, all),
		records:       make([]Record, all),
		codes:         make([]uint64, all),
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
		if change == nil || change.nextVoters == nil {
			continue
		}
		for _, voter := range world.voters {
			isNext := slices.Contains(change.nextVoters.Voters, voter)
			wasVoter := slices.Contains(change.nextVoters.Previous, voter)
			world.distinguished[voter] = world.distinguished[voter] || isNext != wasVoter
		}
	}
	return world
}

// clone returns a copy of the world; steps of one do not change the other.
func (w *world) clone() *world {
	clone := *w
	clone.records = slices.Clone(w.records)
	clone.recoveries = slices.Clone(w.recoveries)
	clone.proposers = slices.Clone(w.proposers)
	clone.inFlight = slices.Clone(w.inFlight)
	clone.conclusions = slices.Clone(w.conclusions)
	clone.codes = slices.Clone(w.codes)
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

// steps returns the number of steps that may be taken: two for each message in flight, whose reply arrives or not, one for
// each proposer, and one for each disk that may be lost.
func (w *world) steps() int { return 2*len(w.inFlight) + len(w.proposers) + w.diskLosses }

// step takes a step, by its number from 0, and reports whether it was possible and changed anything.
func (w *world) step(number int) bool {
	if number < 2*len(w.inFlight) {
		message := w.inFlight[number/2]
		w.inFlight = slices.Delete(w.inFlight, number/2, number/2+1)
		return w.deliver(message, number%2 == 0)
	}
	if proposer := number - 2*len(w.inFlight); proposer < len(w.proposers) {
		return w.propose(proposer)
	}
	return w.loseDisk(w.loser)
}

// propose starts a proposer's next round, and reports whether there was one left.
func (w *world) propose(proposerIndex int) bool {
	proposer := &w.proposers[proposerIndex]
	if proposer.attempts == 0 || proposer.round != nil && proposer.round.State == Done {
		return false
	}
	proposer.attempts--
	if proposer.round != nil {
		proposer.ballotNumber = max(proposer.ballotNumber, proposer.round.HighestBallot.Number)
	}
	if proposer.round != nil && proposer.round.NewerVoters.Epoch > proposer.knownVoters.Epoch {
		proposer.knownVoters = proposer.round.NewerVoters
	}
	proposer.ballotNumber++
	var request *Request
	if proposer.change != nil || proposer.attempts%2 == 1 {
		ballot := Ballot{proposer.ballotNumber, fmt.Sprint("p", proposerIndex)}
		proposer.round, request = NewRound(proposer.knownVoters, ballot, proposer.change, Vote{})
	} else {
		proposer.round, request = NewReadRound(proposer.knownVoters, Vote{})
	}
	proposer.before = len(w.conclusions)
	proposer.replyCodes = [8]uint64{}
	w.send(proposerIndex, request, proposer.round.Recipients())
	return true
}

// send puts a request in flight to each recipient except the recovering voter that sends it.
func (w *world) send(proposer int, request *Request, recipients []string) {
	for voter, name := range w.voters {
		if proposer != -voter-1 && slices.Contains(recipients, name) {
			code := string(codec.MarshalAppend([]byte{byte(proposer)}, request))
			w.inFlight = append(w.inFlight, message{proposer, voter, request, code})
		}
	}
	slices.SortFunc(w.inFlight, func(a, b message) int { return cmp.Or(strings.Compare(a.code, b.code), a.voter-b.voter) })
}

// loseDisk loses a voter's disk and starts its recovery, under a disk incarnation that was never used. A process finds one by
// several attempts.
func (w *world) loseDisk(voter int) bool {
	w.diskLosses--
	w.setRecord(voter, Record{})
	incarnation := uint64(10 - w.diskLosses)
	recovery, request := NewRecovery(w.voters[voter], w.firstVoters, incarnation, false)
	w.recoveries[voter] = recovery
	w.send(-voter-1, request, recovery.Recipients())
	return true
}

// deliver hands a request to its voter, and the reply to the sender if it arrives. It reports whether anything changed.
func (w *world) deliver(message message, replyArrives bool) bool {
	name := w.voters[message.voter]
	reply, record, changed := w.records[message.voter].Handle(message.request)
	if changed.Any() {
		w.setRecord(message.voter, record)
	}
	if !replyArrives {
		return changed.Any() // if not, this equals the loss of the request
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
		w.conclude(message.proposer, round.Verdict, round.Value)
	case round.State == Stale && round.CommittedVote().Ballot == round.ballot:
		w.conclude(message.proposer, Unknown, round.CommittedVote().Value)
	}
	return true
}

// conclude notes that a proposer's round has ended with a committed value.
func (w *world) conclude(proposer int, verdict Verdict, value Value) {
	before := w.proposers[proposer].before
	w.conclusions = append(w.conclusions, conclusion{proposer, before, verdict, value, code(&value)})
}

// stepRecovery hands a reply to a recovering voter, unless its recovery has ended.
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

// key returns a hash that identifies the state. States in which voters have changed places have one key, except for
// distinguished voters.
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

// voterKey returns a hash of a voter's state: its record, its replies that have arrived, and the requests to it in flight.
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

// extends reports whether b is the same value as a, or a later one that was made from it.
func extends(a, b *Value) bool {
	return len(a.History) <= len(b.History) && slices.Equal(a.History, b.History[:len(a.History)]) &&
		a.VoterSet.Epoch <= b.VoterSet.Epoch &&
		(a.VoterSet.Epoch < b.VoterSet.Epoch || slices.Equal(a.VoterSet.Voters, b.VoterSet.Voters))
}

// contains reports whether a proposer's change is in force in a value, or was before.
func (w *world) contains(value *Value, proposer int) bool {
	change := w.proposers[proposer].change
	if change != nil && change.nextVoters != nil {
		return value.VoterSet.Epoch == change.nextVoters.Epoch && slices.Equal(value.VoterSet.Voters, change.nextVoters.Voters)
	}
	return change != nil && slices.Contains(value.History, VersionDigest{uint64(change.Version), change.digest})
}

// areRivals reports whether at most one of two changes may be acknowledged.
func areRivals(a, b *Change) bool {
	if a.nextVoters != nil && b.nextVoters != nil {
		return a.nextVoters.Epoch == b.nextVoters.Epoch && !slices.Equal(a.nextVoters.Voters, b.nextVoters.Voters)
	}
	return a.nextVoters == nil && b.nextVoters == nil && a.Base == b.Base && a.digest != b.digest
}

// fault describes a violated guarantee, "" for none: two conclusions contradict each other, or a read from some majority
// does not return what was acknowledged, or returns what was refused.
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

// faultOfConclusions describes a fault that the conclusions alone show; "" for none.
func (w *world) faultOfConclusions() string {
	for i := range w.conclusions {
		later := &w.conclusions[i]
		if later.verdict == Committed && !w.contains(&later.value, later.proposer) {
			return "acknowledged, and not in the value"
		}
		for j := range w.conclusions[:i] {
			earlier := &w.conclusions[j]
			overlap := j >= later.before // the rounds ran at the same time, and either may come first
			if !extends(&earlier.value, &later.value) && (!overlap || !extends(&later.value, &earlier.value)) {
				return "two conclusions contradict each other"
			}
			bothApplied := earlier.verdict == Committed && later.verdict == Committed
			if bothApplied && areRivals(w.proposers[earlier.proposer].change, w.proposers[later.proposer].change) {
				return "two changes on a base were acknowledged"
			}
		}
	}
	return ""
}

// faultOfRead describes what is wrong with a value that was read, "" for nothing. A read without an answer has a nil value.
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

// read reads from a set of voters, which has a bit for each, with or without a ballot, and returns nil if there is no answer.
// It does not change the world. It starts with the first voter set, and goes on with newer ones as a proposer would.
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

// broadcast delivers a round's request to those recipients that are in a set of voters, and their replies to the round. It
// returns the round's next request, nil for none.
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
