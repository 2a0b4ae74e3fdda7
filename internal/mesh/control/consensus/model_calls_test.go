package consensus

import (
	"fmt"
	"slices"

	"quincegap/internal/mesh/control/configuration"
)

// modelCall is a read or a change: it runs rounds until one is Done.
type modelCall struct {
	round         *Round // nil between two rounds
	phase         int    // of all rounds so far; identifies replies of earlier phases
	attempts      int
	isRead        bool                  // without a change; its first round has no ballot
	withoutBallot bool                  // the next round has no ballot
	change        *Change               // may be nil
	version       configuration.Version // the newest committed when the call began
	epoch         uint64                // the same, of the voter set
}

// startRound starts a call's next round (as controlplane does).
func (m *model) startRound(process *modelReplica, call *modelCall) {
	if len(process.voterSet.Voters) == 0 || !call.withoutBallot && process.ballotCall != nil {
		return
	}
	if call.attempts++; call.attempts > modelAttempts && !m.faultless {
		m.abandon(process, call) // the caller gets no answer
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

// roundFinished learns from a finished round, and ends the call or starts its next round.
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

// conclude counts a call's outcome and has the specification check it.
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

// sendOrder sends an operator's new order to a process, or repeats an earlier one.
func (m *model) sendOrder(process *modelReplica) {
	if len(m.orders) > 0 && m.chance(50) {
		recent := m.orders[max(0, len(m.orders)-8):]
		if m.chance(20) { // may be older than what is remembered
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

// reconfigure starts a change of the voters at a process, if one is possible.
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

// stopWaiting ends a call's wait for further replies, or for its next round.
func (m *model) stopWaiting(process *modelReplica, call *modelCall) {
	if call.round == nil {
		m.startRound(process, call)
		return
	}
	call.round.StopWaiting()
	m.roundFinished(process, call)
}

// finishCall runs a call to its end.
func (m *model) finishCall(process *modelReplica, call *modelCall) {
	m.startCall(process, call)
	for range 40 {
		if m.deliverAll(); !slices.Contains(process.calls, call) {
			return
		}
		m.stopWaiting(process, call)
	}
	m.spec.fail("a call at %s doesn't end after all faults have ended", process.name)
}
