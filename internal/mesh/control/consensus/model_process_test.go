package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// modelReplica is a core process, which may or may not be a voter.
type modelReplica struct {
	name     string
	disk     Record // the record as of the last sync
	diskLost bool   // whether the disk was lost and the recovery has not finished

	up              bool
	starts          int       // how often the process has started
	record          Record    // the record in memory
	needsRecord     bool      // whether a recovery has to create the record
	diskIncarnation uint64    // the disk incarnation of the next recovery
	recovery        *Recovery // the recovery in progress; nil for none
	voterSet        VoterSet  // the newest known voter set; without voters while none is known
	knownVote       Vote      // the newest vote that is known to be committed
	highestBallot   uint64    // the number of the highest ballot seen since the start
	calls           []*modelCall
	ballotCall      *modelCall // the call whose round has a ballot, of which there is one at a time; nil for none
}

func (m *model) replica(name string) *modelReplica {
	return m.replicas[slices.IndexFunc(m.replicas, func(process *modelReplica) bool { return process.name == name })]
}

// start starts a process with the record on its disk, as package controlplane does.
func (m *model) start(process *modelReplica) {
	*process = modelReplica{
		name:        process.name,
		disk:        process.disk,
		diskLost:    process.diskLost,
		up:          true,
		starts:      process.starts + 1,
		record:      process.disk,
		needsRecord: !process.disk.State.Ready,
	}
	process.adoptVoters(process.record.DecidedVoters())
	if process.needsRecord {
		process.diskIncarnation = 1 + m.rng.Uint64N(1000) // any number, as the clock may have been set back
		return
	}
	process.observeBallot(process.record.State.Promised)
	process.observeBallot(process.record.Vote.Ballot)
}

// stop kills a process, of which only the disk remains.
func (m *model) stop(process *modelReplica) {
	process.up = false
	process.calls = nil
	process.ballotCall = nil
	process.recovery = nil
}

func (m *modelReplica) observeBallot(ballot Ballot) {
	m.highestBallot = max(m.highestBallot, ballot.Number)
}

func (m *modelReplica) adoptVoters(voters VoterSet) {
	if len(voters.Voters) > 0 && (len(m.voterSet.Voters) == 0 || voters.Epoch > m.voterSet.Epoch) {
		m.voterSet = voters
	}
}

// learn adopts a committed vote if it is newer than the known one, and checks its value against the specification.
func (m *model) learn(process *modelReplica, vote Vote) {
	if vote.Ballot.Compare(process.knownVote.Ballot) > 0 {
		vote.Learned = false
		process.knownVote = vote
		m.spec.observe(&vote.Value)
	}
	process.adoptVoters(vote.Value.VoterSet)
}

// persistRecord syncs the changed parts of a record, the vote first, and reports whether the process survived. If power is
// lost during the sync, the process is stopped, and its disk may contain both parts, only the vote, or neither.
func (m *model) persistRecord(process *modelReplica, next Record, changed Unsynced) bool {
	if !changed.Any() {
		return true
	}
	written := 2
	powerLost := !m.faultsEnded && m.rng.IntN(150) == 0
	if powerLost {
		written = m.rng.IntN(3)
	}
	if changed.Vote && written >= 1 {
		process.disk.Vote = throughCodec(m, &next.Vote)
	}
	if changed.State && written == 2 {
		process.disk.State = throughCodec(m, &next.State)
	}
	if powerLost {
		m.counts["power lost in a write"]++
		m.stop(process)
		return false
	}
	process.record = next
	return true
}

// replaceRecord syncs the record that a recovery created, in the same steps as package controlplane: the state that is not
// ready yet, the vote, and the ready state. The process may be stopped between them.
func (m *model) replaceRecord(process *modelReplica, record Record) {
	written := 3
	if !m.faultsEnded && m.chance(10) {
		written = m.rng.IntN(3)
	}
	if written >= 1 {
		process.disk.State = record.State
		process.disk.State.Ready = written == 3
	}
	if written >= 2 {
		process.disk.Vote = record.Vote
	}
	if written < 3 {
		m.stop(process)
		return
	}
	process.record = record
	process.needsRecord = false
	process.diskLost = false
	process.recovery = nil
	process.adoptVoters(record.DecidedVoters())
	process.observeBallot(record.State.Promised)
	process.observeBallot(record.Vote.Ballot)
	m.counts["records made"]++
}

// serve returns a process's reply to a request, and whether the process survived to send it.
func (m *model) serve(process *modelReplica, request *Request) (Reply, bool) {
	process.observeBallot(request.Ballot)
	if process.needsRecord {
		return Reply{Kind: NotReady, Ballot: request.Ballot, DiskIncarnation: process.diskIncarnation}, true
	}
	if request.Kind == Commit {
		vote := process.record.Vote
		if vote.Ballot != request.Ballot {
			return Reply{Kind: Reported}, true
		}
		m.learn(process, vote)
		next, changed := process.record.LearnVoters(vote.Value.VoterSet)
		return Reply{Kind: Reported}, m.persistRecord(process, next, changed)
	}
	reply, next, changed := process.record.Handle(request)
	if m.digest != nil {
		m.digest.Write(codec.MarshalAppend(codec.MarshalAppend(nil, request), &reply))
	}
	return reply, m.persistRecord(process, next, changed)
}

// startRecovery starts an attempt to recover as package controlplane does. If the process knows no voter set, it adopts that
// of another process instead.
func (m *model) startRecovery(process *modelReplica) {
	if len(process.voterSet.Voters) == 0 {
		process.adoptVoters(pickOne(m.rng, m.replicas).voterSet)
		return
	}
	if process.recovery != nil {
		process.diskIncarnation = process.recovery.NextDiskIncarnation()
	}
	var request *Request
	process.recovery, request = NewRecovery(process.name, process.voterSet, process.diskIncarnation, false)
	m.send(process, process.recovery.Recipients(), request, nil, process.recovery)
}

// stepRecovery passes a reply to a process's recovery, and sends the request to recipients that the reply added.
func (m *model) stepRecovery(process *modelReplica, message *envelope) {
	before := process.recovery.Recipients()
	if record, ok := process.recovery.Step(message.to.name, message.reply); ok {
		m.replaceRecord(process, record)
		return
	}
	for _, node := range process.recovery.Recipients() {
		if !slices.Contains(before, node) {
			m.send(process, []string{node}, message.request, nil, process.recovery)
		}
	}
}

// restart starts a random process if it is down, and an attempt to recover at each running process that needs a record.
func (m *model) restart() {
	process := pickOne(m.rng, m.replicas)
	if !process.up {
		m.start(process)
	}
	for _, other := range m.replicas {
		if other.up && other.needsRecord {
			m.startRecovery(other)
		}
	}
}

// loseDisk stops a process and erases its disk, unless a replica that lost its disk has not recovered yet.
func (m *model) loseDisk(process *modelReplica) {
	if slices.ContainsFunc(m.replicas, func(other *modelReplica) bool { return other.diskLost }) {
		return
	}
	m.counts["disks lost"]++
	m.stop(process)
	process.disk = Record{}
	process.diskLost = true
}
