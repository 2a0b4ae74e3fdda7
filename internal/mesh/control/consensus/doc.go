// Package consensus is the replicated register that holds the operators' configuration: one value, agreed on by a few
// voters out of the core processes. It is CASPaxos: a value only changes by a proposal that reads it first, any core
// process may propose, and there is no leader.
//
// The package is a pure state machine. It does no I/O, reads no clock, starts no goroutine and takes no lock. The
// caller (package controlplane) sends the messages, syncs the records and decides when to stop waiting; tests drive the
// same code through every order of messages. docs/design/consensus-proof.md proves the claims made here.
//
// # Roles
//
//   - An acceptor is a [Record], the part of a replica that is kept on disk. [Record.Handle] answers one [Request] and
//     returns the next record; what [Unsynced] names has to be on disk before the reply leaves.
//   - A proposer is a [Round]: one ballot's run of Prepare and Accept, or a read without a ballot. [NewRound] and
//     [NewReadRound] return the first request to send; [Round.Step] takes one reply and may return the next request.
//   - A replica without a record is a [Recovery]. [Recovery.Step] takes one reply and returns the new record once
//     enough voters have answered.
//   - The voters are a [VoterSet], which is part of the register's [Value]. [PlanVoterChange] and [PlanHandover] decide
//     on the next [VoterChange]; [NewVoterChange] turns it into a [Change] to propose.
//
// # Usage
//
// An acceptor's process answers one request after the other:
//
//	reply, next, unsynced := record.Handle(request)
//	if unsynced.Any() {
//		// Sync the parts of next to disk that unsynced names. If that fails, read the record again, and don't reply.
//	}
//	record = next
//	// Send reply.
//
// A proposer's process sends each request of a round to all recipients and hands it the replies:
//
//	round, request := consensus.NewRound(voters, ballot, change, known)
//	// Send request to round.Recipients(). For each reply that comes:
//	if next := round.Step(node, reply); next != nil {
//		// Send next to round.Recipients(), which may have grown.
//	}
//	// Until round.Finished(); after a time-out: round.StopWaiting().
//
// What follows depends on round.State:
//
//   - Done: the caller has the verdict, and sends Commit to the recipients.
//   - Preempted: it tries again after a backoff, with a ballot above round.HighestBallot.
//   - Inconclusive: it starts a round with a ballot.
//   - Stale: it starts again under round.NewerVoters.
//
// A recovery is driven like a round, until Step returns a record.
//
// All messages implement codec.Message; the numbers of their fields and kinds never change. Records use the same format.
//
// # How a value is chosen
//
// A proposer picks a ballot that was never used and asks the voters to promise it (Prepare). A voter that promises
// reports its newest vote, and rejects lower ballots from then on. With promises from a majority the proposer knows the
// newest value that may have been chosen, evaluates its change on it, and asks the voters to accept the outcome under its
// ballot (Accept). A value that a majority accepted under one ballot is committed. Any two majorities share a voter, so
// every later ballot finds it. Commit then notifies the voters, and needs no reply.
//
// The states of a round:
//
//	NewReadRound              NewRound
//	     |                       |
//	     v                       v
//	  Reading                Preparing --promises--> Accepting
//	     |                       |                       |
//	     +--> Done <-------------+-----------------------+   committed, with a verdict
//	     +--> Inconclusive       |                       |   a read whose votes differ: use a ballot
//	     +--> Preempted <--------+-----------------------+   a higher ballot was promised, or too few replies
//	     +--> Stale <------------+-----------------------+   a newer voter set: start again with NewerVoters
//
// The states of a replica:
//
//	first start: InitialRecord -------------------------------> ready
//	disk lost, or never a voter: Recovery --enough replies----> ready
//	ready --disk lost--> Recovery, under a new disk incarnation
//
// # Why a refused change never comes into force
//
// Committed values form one chain: each is made from the one before it, with a higher version, by a change whose base is
// the version before it. A change (base, version, body) is refused only once a value W is committed that rules it out
// for good:
//
//   - version <= base: no value can be made by it.
//   - version <= W.Version: what comes after W has higher versions. What came before W is in W.History, unless it is so
//     old that it was dropped from there (W.TruncatedVersion); see below.
//   - base < W.Version: no value after W has that base.
//   - base > W.Version: a later value may have that base. The refusal is written into the next value (W.Refused) and is
//     committed before it is reported, so that every later value has it. An entry is dropped once a version as high as
//     its own is in force, which rules the change out as above.
//
// An accept of the refused change that is still in flight, or that a minority holds, has a ballot below that of W, and
// every later ballot finds W, or a successor, under a higher one.
//
// # What a bounded history gives up
//
// A value remembers its last maxHistory versions, and the newest version that it dropped (TruncatedVersion). A change
// whose version is at or below TruncatedVersion and that is in neither list may have been applied long ago or never: its
// verdict is Unknown, for good. A change with a base above the current version is Unknown as well while Refused is full,
// as the refusal could not be remembered. A change on the current version always gets a definite verdict.
//
// # Voter changes and lost disks
//
// A change of the voter set is accepted by majorities of the old and of the new set (a joint step); see [VoterSet]. A
// replica that lost its disk does not know what it promised; [Recovery] describes how it may vote again.
//
// # What the package does not do
//
// It keeps no log of commands: one value is replaced by the next. It decides neither when to retry, nor with which backoff,
// nor when a peer counts as unresponsive: [PeerStatus] is input. It does not authenticate messages.
package consensus
