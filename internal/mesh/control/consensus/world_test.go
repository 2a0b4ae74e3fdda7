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

// cluster is a state of several core processes and of all requests in flight, from which a test can take each possible step.
// A request may be delivered at any time; a lost one is never delivered. The reply to a request arrives immediately or never.
// This covers late replies: a late reply has the same effect as one that arrived immediately and whose consequences were
// late, or, if the round advanced without it, as one that was lost. It also covers killed voters: a voter that is killed
// before its record is on disk has lost the request, and one that is killed after that has lost the reply.
type cluster struct {
	voters        []string // all processes, also those that are not voters of firstVoters
	firstVoters   VoterSet
	distinguished map[string]bool // by voter: whether exchanging it with another voter gives a different state
	records       []Record        // the records on disk, by voter
	recordHashes  []uint64        // the hashes of records
	recoveries    []*Recovery     // the recoveries in progress, by voter; nil for none
	proposers     []proposer
	inFlight      []message    // the requests in flight, sorted by encoding and voter
	conclusions   []conclusion // the conclusions of rounds, in the order in which the rounds ended
	diskLosses    int          // how often faultyVoter may still lose its disk
	faultyVoter   int          // the index of the only voter that may lose its disk
}

// proposer is a process that proposes one change, or reads.
type proposer struct {
	change            *Change // the change; nil for a proposer that reads, in every other round with a ballot
	round             *Round  // the newest round; nil before the first one
	attempts          int     // the number of rounds that the proposer may still start
	conclusionsBefore int     // the number of conclusions when the round began
	ballotNumber      uint64
	replyHashes       [8]uint64 // hashes of the replies of this phase, by voter; the last element is the hash of the proposal
	knownVoters       VoterSet
}

// message is a request in flight.
type message struct {
	proposer int // the index of the proposer that sent it; -voter-1 if it was sent by the recovery of a voter
	voter    int // the index of the recipient
	request  *Request
	encoded  string // the sender and the encoded request, which identify and sort the messages to a voter
}

// conclusion is the end of a round whose proposer knows a value to be committed.
type conclusion struct {
	proposer          int
	conclusionsBefore int // the number of conclusions when its round began
	verdict           Verdict
	value             Value
	valueHash         uint64 // the hash of value
}

var hashSeed = maphash.MakeSeed()

// hashOf returns a hash of the encodings of messages.
func hashOf(messages ...codec.Message) uint64 {
	var encoded []byte
	for _, message := range messages {
		encoded = append(codec.MarshalAppend(encoded, message), 255)
	}
	return maphash.Bytes(hashSeed, encoded)
}

func (c *cluster) setRecord(voter int, record Record) {
	c.records[voter] = record
	c.recordHashes[voter] = hashOf(&record.State, &record.Vote)
}

// newCluster returns a cluster without standbys.
func newCluster(voters, losses int, attempts []int, changes ...*Change) *cluster {
	return newClusterWithStandbys(voters, voters, losses, attempts, changes...)
}

// newClusterWithStandbys returns a cluster of processes named v0, v1 and so on. all is the number of processes, of which the
// first ones are voters and the others are ready to become voters. The last process may lose its disk as often as losses
// says. There is a proposer for each change, with its number of attempts.
func newClusterWithStandbys(voters, all, losses int, attempts []int, changes ...*Change) *cluster {
	cluster := &cluster{
		diskLosses:    losses,
		faultyVoter:   all - 1,
		recoveries:    make([]*Recovery, all),
		records:       make([]Record, all),
		recordHashes:  make([]uint64, all),
		distinguished: map[string]bool{},
	}
	for i := range all {
		cluster.voters = append(cluster.voters, fmt.Sprint("v", i))
		cluster.distinguished[cluster.voters[i]] = i >= voters
	}
	cluster.distinguished[cluster.voters[all-1]] = losses > 0
	cluster.firstVoters.Voters = cluster.voters[:voters:voters]
	for i, voter := range cluster.voters {
		cluster.setRecord(i, InitialRecord(voter, cluster.firstVoters.Voters))
		if i >= voters {
			cluster.setRecord(i, Record{State: ReplicaState{VoterSet: cluster.firstVoters, Ready: true, DiskIncarnation: 1}})
		}
	}
	for i, change := range changes {
		cluster.proposers = append(cluster.proposers, proposer{change: change, attempts: attempts[i], knownVoters: cluster.firstVoters})
		if change == nil || change.nextVoters == nil {
			continue
		}
		for _, voter := range cluster.voters {
			isNext := slices.Contains(change.nextVoters.Voters, voter)
			wasVoter := slices.Contains(change.nextVoters.Previous, voter)
			cluster.distinguished[voter] = cluster.distinguished[voter] || isNext != wasVoter
		}
	}
	return cluster
}

// clone returns an independent copy: steps of the one do not change the other.
func (c *cluster) clone() *cluster {
	clone := *c
	clone.records = slices.Clone(c.records)
	clone.recoveries = slices.Clone(c.recoveries)
	clone.proposers = slices.Clone(c.proposers)
	clone.inFlight = slices.Clone(c.inFlight)
	clone.conclusions = slices.Clone(c.conclusions)
	clone.recordHashes = slices.Clone(c.recordHashes)
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

// steps returns the number of steps that may be taken: two for each message in flight, whose reply arrives or is lost, one
// for each proposer, and one for each disk loss that is left.
func (c *cluster) steps() int { return 2*len(c.inFlight) + len(c.proposers) + c.diskLosses }

// step takes the step with a number from 0 to steps()-1, and reports whether it was possible and changed anything.
func (c *cluster) step(number int) bool {
	if number < 2*len(c.inFlight) {
		message := c.inFlight[number/2]
		c.inFlight = slices.Delete(c.inFlight, number/2, number/2+1)
		return c.deliver(message, number%2 == 0)
	}
	if proposer := number - 2*len(c.inFlight); proposer < len(c.proposers) {
		return c.propose(proposer)
	}
	return c.loseDisk(c.faultyVoter)
}

// propose starts a proposer's next round. It reports false if the proposer is done or has no attempts left.
func (c *cluster) propose(proposerIndex int) bool {
	proposer := &c.proposers[proposerIndex]
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
	proposer.conclusionsBefore = len(c.conclusions)
	proposer.replyHashes = [8]uint64{}
	c.send(proposerIndex, request, proposer.round.Recipients())
	return true
}

// send puts a request in flight to each recipient, except to the recovering voter that sends it.
func (c *cluster) send(proposer int, request *Request, recipients []string) {
	for voter, name := range c.voters {
		if proposer != -voter-1 && slices.Contains(recipients, name) {
			encoded := string(codec.MarshalAppend([]byte{byte(proposer)}, request))
			c.inFlight = append(c.inFlight, message{proposer, voter, request, encoded})
		}
	}
	slices.SortFunc(c.inFlight, func(a, b message) int { return cmp.Or(strings.Compare(a.encoded, b.encoded), a.voter-b.voter) })
}

// loseDisk erases a voter's disk and starts its recovery under a disk incarnation that was never used, which a real process
// finds by several attempts. It always returns true.
func (c *cluster) loseDisk(voter int) bool {
	c.diskLosses--
	c.setRecord(voter, Record{})
	incarnation := uint64(10 - c.diskLosses)
	recovery, request := NewRecovery(c.voters[voter], c.firstVoters, incarnation, false)
	c.recoveries[voter] = recovery
	c.send(-voter-1, request, recovery.Recipients())
	return true
}

// deliver passes a request to its voter, and the reply to the sender if it arrives. It reports whether anything changed.
func (c *cluster) deliver(message message, replyArrives bool) bool {
	name := c.voters[message.voter]
	reply, record, changed := c.records[message.voter].Handle(message.request)
	if changed.Any() {
		c.setRecord(message.voter, record)
	}
	if !replyArrives {
		return changed.Any() // if nothing changed, this equals the loss of the request
	}
	if message.proposer < 0 {
		c.stepRecovery(message, name, &reply)
		return true
	}
	proposer := &c.proposers[message.proposer]
	round := proposer.round
	if round.Finished() || round.ballot != message.request.Ballot {
		return changed.Any()
	}
	next := round.Step(name, &reply)
	if round.replies[name] == &reply {
		proposer.replyHashes[message.voter] = hashOf(&reply)
	}
	if next != nil {
		if next.Kind == Accept {
			proposer.replyHashes = [8]uint64{7: hashOf(&round.proposal)}
		}
		c.send(message.proposer, next, round.Recipients())
	}
	switch {
	case round.State == Done:
		c.conclude(message.proposer, round.Verdict, round.Value)
	case round.State == Stale && round.CommittedVote().Ballot == round.ballot:
		c.conclude(message.proposer, Unknown, round.CommittedVote().Value)
	}
	return true
}

// conclude records that a proposer's round has ended with a committed value.
func (c *cluster) conclude(proposer int, verdict Verdict, value Value) {
	conclusionsBefore := c.proposers[proposer].conclusionsBefore
	c.conclusions = append(c.conclusions, conclusion{proposer, conclusionsBefore, verdict, value, hashOf(&value)})
}

// stepRecovery passes a reply to a voter's recovery, unless that has ended. It sends the request to recipients that the reply
// added.
func (c *cluster) stepRecovery(message message, name string, reply *Reply) {
	voter := -message.proposer - 1
	recovery := c.recoveries[voter]
	if recovery == nil {
		return
	}
	before := recovery.Recipients()
	if record, ok := recovery.Step(name, reply); ok {
		c.setRecord(voter, record)
		c.recoveries[voter] = nil
		return
	}
	c.send(message.proposer, message.request, slices.DeleteFunc(recovery.Recipients(), func(node string) bool {
		return slices.Contains(before, node) || recovery.replies[node] != nil
	}))
}

// key returns a hash that identifies the state. States that differ only in that voters have changed places have the same key,
// unless a distinguished voter is among them.
func (c *cluster) key() uint64 {
	keys := make([]uint64, len(c.voters))
	for voter := range c.voters {
		keys[voter] = c.voterKey(voter)
	}
	slices.Sort(keys)
	var digest maphash.Hash
	digest.SetSeed(hashSeed)
	for _, key := range keys {
		maphash.WriteComparable(&digest, key)
	}
	for i := range c.proposers {
		proposer := &c.proposers[i]
		maphash.WriteComparable(&digest, [3]int{proposer.attempts, proposer.conclusionsBefore, int(proposer.ballotNumber)})
		if proposer.round != nil {
			maphash.WriteComparable(&digest, proposer.replyHashes[7])
			maphash.WriteComparable(&digest, [2]uint64{proposer.knownVoters.Epoch, proposer.round.NewerVoters.Epoch})
			digest.WriteString(strings.Join(proposer.round.jointVoters, "+"))
			maphash.WriteComparable(&digest, [2]int{int(proposer.round.State), int(proposer.round.HighestBallot.Number)})
		}
	}
	for _, end := range c.conclusions {
		maphash.WriteComparable(&digest, [3]int{end.proposer, end.conclusionsBefore, int(end.verdict)})
		maphash.WriteComparable(&digest, end.valueHash)
	}
	maphash.WriteComparable(&digest, c.diskLosses)
	return digest.Sum64()
}

// voterKey returns a hash of a voter's state: its record, its replies that have arrived, and the requests in flight to it.
func (c *cluster) voterKey(voter int) uint64 {
	var digest maphash.Hash
	digest.SetSeed(hashSeed)
	maphash.WriteComparable(&digest, c.recordHashes[voter])
	name := c.voters[voter]
	if c.distinguished[name] {
		digest.WriteString(name)
	}
	for i := range c.proposers {
		maphash.WriteComparable(&digest, c.proposers[i].replyHashes[voter])
	}
	for _, recovery := range c.recoveries {
		if recovery != nil && recovery.replies[name] != nil {
			maphash.WriteComparable(&digest, hashOf(recovery.replies[name]))
		}
	}
	for _, message := range c.inFlight {
		if message.voter == voter {
			digest.WriteString(message.encoded)
		}
	}
	return digest.Sum64()
}

// extends reports whether b is the same value as a, or a successor of a.
func extends(a, b *Value) bool {
	return len(a.History) <= len(b.History) && slices.Equal(a.History, b.History[:len(a.History)]) &&
		a.VoterSet.Epoch <= b.VoterSet.Epoch &&
		(a.VoterSet.Epoch < b.VoterSet.Epoch || slices.Equal(a.VoterSet.Voters, b.VoterSet.Voters))
}

// contains reports whether a proposer's change is applied in a value.
func (c *cluster) contains(value *Value, proposer int) bool {
	change := c.proposers[proposer].change
	if change != nil && change.nextVoters != nil {
		return value.VoterSet.Epoch == change.nextVoters.Epoch && slices.Equal(value.VoterSet.Voters, change.nextVoters.Voters)
	}
	return change != nil && slices.Contains(value.History, VersionDigest{uint64(change.Version), change.digest})
}

// areMutuallyExclusive reports whether at most one of two changes may be acknowledged.
func areMutuallyExclusive(a, b *Change) bool {
	if a.nextVoters != nil && b.nextVoters != nil {
		return a.nextVoters.Epoch == b.nextVoters.Epoch && !slices.Equal(a.nextVoters.Voters, b.nextVoters.Voters)
	}
	return a.nextVoters == nil && b.nextVoters == nil && a.Base == b.Base && a.digest != b.digest
}

// violation returns a description of a violated guarantee, or "" if there is none. Guarantees are violated if two conclusions
// contradict each other, or if a read from some majority does not return an acknowledged change, or returns a refused one.
func (c *cluster) violation() string {
	if violation := c.violationInConclusions(); violation != "" || len(c.conclusions) == 0 {
		return violation
	}
	for voters := range 1 << len(c.voters) {
		n := bits.OnesCount(uint(voters))
		noStandbys := len(c.voters) == len(c.firstVoters.Voters)
		if n < len(c.firstVoters.Voters)/2 || noStandbys && n != majority(len(c.voters)) {
			continue
		}
		for _, value := range []*Value{c.read(voters, false), c.read(voters, true)} {
			if violation := c.violationInRead(value); violation != "" {
				return violation
			}
		}
	}
	return ""
}

// violationInConclusions returns a description of a violation that the conclusions alone show, or "" if there is none.
func (c *cluster) violationInConclusions() string {
	for i := range c.conclusions {
		later := &c.conclusions[i]
		if later.verdict == Committed && !c.contains(&later.value, later.proposer) {
			return "a change was acknowledged, but is not in the committed value"
		}
		for j := range c.conclusions[:i] {
			earlier := &c.conclusions[j]
			overlap := j >= later.conclusionsBefore // the rounds overlapped in time, so either value may be the earlier one
			if !extends(&earlier.value, &later.value) && (!overlap || !extends(&later.value, &earlier.value)) {
				return "neither of two committed values is a successor of the other"
			}
			bothApplied := earlier.verdict == Committed && later.verdict == Committed
			if bothApplied && areMutuallyExclusive(c.proposers[earlier.proposer].change, c.proposers[later.proposer].change) {
				return "two mutually exclusive changes were acknowledged"
			}
		}
	}
	return ""
}

// violationInRead returns a description of a violation that the result of a read shows, or "" if there is none. The value is
// nil if the read had no result.
func (c *cluster) violationInRead(value *Value) string {
	if value == nil {
		return ""
	}
	for i := range c.conclusions {
		conclusion := &c.conclusions[i]
		if !extends(&conclusion.value, value) {
			return "a read returned neither a committed value nor a successor of it"
		}
		if conclusion.verdict == Conflict && c.contains(value, conclusion.proposer) {
			return "a read returned a refused change"
		}
	}
	return ""
}

// read returns the result of a read from some voters, given as a set of bits, with or without a ballot. It returns nil if the
// read has no result. It does not change the cluster. It starts with the first voter set, and continues with newer ones as a
// proposer does.
func (c *cluster) read(voters int, withBallot bool) *Value {
	records := slices.Clone(c.records)
	known := c.firstVoters
	for number := uint64(1000); ; number++ {
		round, request := NewReadRound(known, Vote{})
		if withBallot {
			round, request = NewRound(known, Ballot{number, "reader"}, nil, Vote{})
		}
		for request != nil {
			request = c.broadcast(records, voters, round, request)
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

// broadcast delivers a round's request to those recipients that are among some voters, given as a set of bits, and their
// replies to the round. It returns the round's next request, or nil if there is none.
func (c *cluster) broadcast(records []Record, voters int, round *Round, request *Request) (next *Request) {
	for _, name := range round.Recipients() {
		voter := slices.Index(c.voters, name)
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
