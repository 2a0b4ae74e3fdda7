package consensus

import (
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// modelReplica is one process, a voter or not.
type modelReplica struct {
	name     string
	disk     Record // as of the last sync
	diskLost bool   // the disk was lost, and the recovery has not finished

	up              bool
	starts          int       // how often it has started
	record          Record    // in memory
	needsRecord     bool      // a recovery has to make the record
	diskIncarnation uint64    // of the next recovery
	recovery        *Recovery // nil unless one is in progress
	voterSet        VoterSet  // the newest known; without voters while none is known
	knownVote       Vote      // the newest that is known to be committed
	highestBallot   uint64    // number of the highest ballot that was seen
	calls           []*modelCall
	ballotCall      *modelCall // the one whose round has a ballot; nil for none
}

func (m *model) replica(name string) *modelReplica {
	return m.replicas[slices.IndexFunc(m.replicas, func(process *modelReplica) bool { return process.name == name })]
}

// start starts a process with what its disk holds (as controlplane does).
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
		process.diskIncarnation = 1 + m.rng.Uint64N(1000) // by a clock that may have been set back
		return
	}
	process.observeBallot(process.record.State.Promised)
	process.observeBallot(process.record.Vote.Ballot)
}

// stop kills a process: what is synced stays.
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

// learn adopts a vote that is said to be committed.
func (m *model) learn(process *modelReplica, vote Vote) {
	if vote.Ballot.Compare(process.knownVote.Ballot) > 0 {
		vote.Learned = false
		process.knownVote = vote
		m.spec.observe(&vote.Value)
	}
	process.adoptVoters(vote.Value.VoterSet)
}

// persistRecord syncs the changed parts of a record, the vote first, and reports whether the process survived. If power is
// lost meanwhile, the disk may hold a part of the change or none, and the process is down.
func (m *model) persistRecord(process *modelReplica, next Record, changed Unsynced) bool {
	if !changed.Any() {
		return true
	}
	written := 2
	power := !m.faultless && m.rng.IntN(150) == 0
	if power {
		written = m.rng.IntN(3)
	}
	if changed.Vote && written >= 1 {
		process.disk.Vote = throughCodec(m, &next.Vote)
	}
	if changed.State && written == 2 {
		process.disk.State = throughCodec(m, &next.State)
	}
	if power {
		m.counts["power lost in a write"]++
		m.stop(process)
		return false
	}
	process.record = next
	return true
}

// replaceRecord syncs the record that a recovery made, step by step as controlplane does.
func (m *model) replaceRecord(process *modelReplica, record Record) {
	written := 3
	if !m.faultless && m.chance(10) {
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

// serve answers a request, and reports whether the process survived to send the reply.
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

// startRecovery starts an attempt to recover as controlplane does, or first learns a voter set from another process.
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

// stepRecovery hands a reply to a recovery.
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

// restart starts a process if it is down, and starts an attempt at each one that needs a record.
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

// loseDisk loses a disk, unless another one is lost.
func (m *model) loseDisk(process *modelReplica) {
	if slices.ContainsFunc(m.replicas, func(other *modelReplica) bool { return other.diskLost }) {
		return
	}
	m.counts["disks lost"]++
	m.stop(process)
	process.disk = Record{}
	process.diskLost = true
}
