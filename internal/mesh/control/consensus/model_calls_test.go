package consensus

import (
	"fmt"
	"slices"

	"quincegap/internal/mesh/control/configuration"
)

// modelCall is a call to read or to change the register's value. It runs rounds until one is Done.
type modelCall struct {
	round         *Round // the current round; nil between two rounds
	phase         int    // the number of phases of all rounds so far, which identifies late replies to earlier phases
	attempts      int
	isRead        bool                  // whether the call only reads, so that its first round has no ballot
	withoutBallot bool                  // whether the next round has no ballot
	change        *Change               // the change to make; may be nil
	version       configuration.Version // the newest version that calls had returned when this call began
	epoch         uint64                // the newest epoch that calls had returned when this call began
}

// startRound starts a call's next round as package controlplane does. It ends a call that has used all its attempts.
func (m *model) startRound(process *modelReplica, call *modelCall) {
	if len(process.voterSet.Voters) == 0 || !call.withoutBallot && process.ballotCall != nil {
		return
	}
	if call.attempts++; call.attempts > modelAttempts && !m.faultsEnded {
		m.abandon(process, call) // the call ends without an outcome
		return
	}
	var request *Request
	if call.withoutBallot {
		call.round, request = NewReadRound(process.voterSet, process.knownVote)
	} else {
		process.ballotCall = call
		process.highestBallot++
		ballot := Ballot{process.highestBallot, fmt.Sprint(process.name, "#", process.starts)}
		call.round, request = NewRound(process.voterSet, ballot, call.change, process.knownVote)
	}
	call.phase++
	m.send(process, call.round.Recipients(), request, call, nil)
}

func (m *model) abandon(process *modelReplica, call *modelCall) {
	if process.ballotCall == call {
		process.ballotCall = nil
	}
	process.calls = slices.DeleteFunc(process.calls, func(other *modelCall) bool { return other == call })
}

// roundFinished adopts what a finished round has learned, and ends the call or prepares its next round.
func (m *model) roundFinished(process *modelReplica, call *modelCall) {
	round := call.round
	process.observeBallot(round.HighestBallot)
	if round.State == Done || round.State == Stale {
		m.learn(process, round.CommittedVote())
		process.adoptVoters(round.NewerVoters)
		if process.ballotCall == call {
			m.send(process, round.Recipients(), &Request{Kind: Commit, Ballot: round.CommittedVote().Ballot}, nil, nil)
		}
	}
	if process.ballotCall == call {
		process.ballotCall = nil
	}
	call.round = nil
	switch {
	case round.State == Done:
		m.abandon(process, call)
		m.conclude(call, round)
	case round.State == Inconclusive:
		call.withoutBallot = false
		m.startRound(process, call)
	case round.State == Stale && process.voterSet.Epoch > round.VoterSet().Epoch:
		m.startRound(process, call)
	default:
		call.withoutBallot = call.isRead
	}
}

// conclude counts the outcome of a call, and checks it against the specification.
func (m *model) conclude(call *modelCall, round *Round) {
	switch {
	case call.change == nil:
		m.counts["reads"]++
	case call.change.nextVoters == nil:
		m.counts[round.Verdict.String()]++
	}
	m.spec.observeEnd(call, round)
}

func (m *model) startCall(process *modelReplica, call *modelCall) {
	call.version, call.epoch = m.spec.version, m.spec.epoch
	process.calls = append(process.calls, call)
	m.startRound(process, call)
}

// sendOrder sends an operator's order to a process: either a new one, or an earlier one again.
func (m *model) sendOrder(process *modelReplica) {
	if len(m.orders) > 0 && m.chance(50) {
		recent := m.orders[max(0, len(m.orders)-8):]
		if m.chance(20) { // the order may be so old that histories no longer contain it
			recent = m.orders[:min(len(m.orders), 2*(modelPrefilled-maxHistory))]
		}
		m.startCall(process, &modelCall{change: pickOne(m.rng, recent)})
		return
	}
	base := m.spec.version
	switch m.rng.IntN(10) {
	case 0:
		base += configuration.Version(1 + m.rng.IntN(3))
	case 1:
		base -= min(base, configuration.Version(1+m.rng.IntN(3)))
	}
	change := NewChange(base, base+configuration.Version(m.rng.IntN(4)), fmt.Appendf(nil, "order %d", len(m.orders)))
	m.orders = append(m.orders, change)
	m.startCall(process, &modelCall{change: change})
}

// reconfigure starts a random change of the voters at a process, if the process can propose one.
func (m *model) reconfigure(process *modelReplica) {
	voters := process.voterSet
	if len(voters.Voters) == 0 || voters.Epoch == 0 && m.chance(50) {
		return
	}
	var standbys []string
	for _, other := range m.replicas {
		if other.up && !other.needsRecord && other.record.State.Ready && !voters.Contains(other.name) {
			standbys = append(standbys, other.name)
		}
	}
	var change *Change
	switch count := len(voters.Voters); {
	case modelExchanges && len(standbys) > 0 && m.chance(60):
		change = NewVoterChange(voters, VoterChange{Add: pickOne(m.rng, standbys), Remove: pickOne(m.rng, voters.Voters)})
	case len(standbys) > 0 && (count <= 3 || count < 5 && m.chance(50)):
		change = NewVoterChange(voters, VoterChange{Add: pickOne(m.rng, standbys)})
	case count > 3:
		change = NewVoterChange(voters, VoterChange{Remove: pickOne(m.rng, voters.Voters)})
	}
	if change != nil {
		m.startCall(process, &modelCall{change: change})
	}
}

// stopWaiting ends the wait of a call's round for further replies, or starts the call's next round if it has none.
func (m *model) stopWaiting(process *modelReplica, call *modelCall) {
	if call.round == nil {
		m.startRound(process, call)
		return
	}
	call.round.StopWaiting()
	m.roundFinished(process, call)
}

// finishCall starts a call and delivers all messages until it ends. Not to end is a violation of the specification.
func (m *model) finishCall(process *modelReplica, call *modelCall) {
	m.startCall(process, call)
	for range 40 {
		if m.deliverAll(); !slices.Contains(process.calls, call) {
			return
		}
		m.stopWaiting(process, call)
	}
	m.spec.fail("call at %s does not end although all faults have ended", process.name)
}
