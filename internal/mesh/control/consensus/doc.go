// Package consensus implements the replicated register that holds the operators' configuration: one value, on which a
// small subset of the core processes, the voters, agrees. The algorithm is CASPaxos: each proposal reads the current value
// and replaces it by a successor, any core process may propose, and there is no leader.
//
// The package is a pure state machine. It does no I/O, reads no clock, starts no goroutine and takes no lock. The
// caller (package controlplane) sends the messages, syncs the records to disk and decides when to stop waiting for
// replies; tests run the same code with messages delivered in every order. docs/design/consensus-proof.md proves the
// claims made here.
//
// # Roles
//
//   - An acceptor is represented by a [Record], the state of a replica that is stored on disk. [Record.Handle] answers
//     one [Request] and returns the next record; the parts of it that [Unsynced] names must be on disk before the reply
//     is sent.
//   - A proposer runs a [Round]: Prepare and Accept under one ballot, or a read without a ballot. [NewRound] and
//     [NewReadRound] return the first request to send; [Round.Step] takes one reply and may return the next request.
//   - A replica without a record runs a [Recovery]. [Recovery.Step] takes one reply and returns the new record once
//     enough voters have answered.
//   - The voters are a [VoterSet], which is part of the register's [Value]. [PlanVoterChange] and [PlanHandover] decide
//     on the next [VoterChange]; [NewVoterChange] turns it into a [Change] to propose.
//
// # Usage
//
// The process of an acceptor handles one request at a time:
//
//	reply, next, unsynced := record.Handle(request)
//	if unsynced.Any() {
//		// Sync the parts of next that unsynced names to disk. If that fails, don't reply, and reload the record from disk.
//	}
//	record = next
//	// Send reply.
//
// The process of a proposer sends each request of a round to all recipients and passes the replies to the round:
//
//	round, request := consensus.NewRound(voters, ballot, change, known)
//	// Send request to round.Recipients(). For each reply:
//	if next := round.Step(node, reply); next != nil {
//		// Send next to round.Recipients(), which may have grown.
//	}
//	// Repeat until round.Finished(). After a timeout, call round.StopWaiting().
//
// The caller's next action depends on round.State:
//
//   - Done: use round.Verdict, and send Commit to the recipients.
//   - Preempted: retry after a backoff, with a ballot above round.HighestBallot.
//   - Inconclusive: start a round with a ballot.
//   - Stale: start a new round with the voter set round.NewerVoters.
//
// A recovery is run in the same way, until Step returns a record.
//
// All messages implement codec.Message; the numbers of their fields and kinds never change. Records on disk use the same
// format.
//
// # How a value is chosen
//
// A proposer picks a ballot that was never used and asks the voters to promise it (Prepare). A voter that promises a ballot
// reports its newest vote, and rejects lower ballots from then on. With promises from a majority the proposer knows the
// newest value that may have been chosen. It evaluates its change on that value, and asks the voters to accept the outcome
// under its ballot (Accept). A value that a majority accepted under one ballot is committed. Any two majorities share a
// voter, so the proposer of any later ballot learns of the committed value. Commit then notifies the voters, and needs no
// reply.
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
//	     +--> Stale <------------+-----------------------+   a newer voter set is decided: start again with NewerVoters
//
// The states of a replica:
//
//	first start: InitialRecord -------------------------------> ready
//	disk lost, or never a voter: Recovery --enough replies----> ready
//	ready --disk lost--> Recovery, under a new disk incarnation
//
// # Why a refused change is never applied
//
// Committed values form one chain: each is made from its predecessor by a change whose base is the predecessor's version,
// and has a higher version. A change (base, version, body) is refused only once a committed value W permanently rules it
// out:
//
//   - version <= base: no value can be made by such a change.
//   - version <= W.Version: all successors of W have higher versions. The predecessors of W are in W.History, except the
//     oldest ones, which were dropped from it (W.TruncatedVersion); see below.
//   - base < W.Version: no successor of W is made from that base.
//   - base > W.Version: a later value may have that version. The refusal is added to the next value (W.Refused) and is
//     committed before it is reported, so that every later value includes it. An entry is dropped once a version at least
//     as high as its own is committed, as that version then rules the change out by the rules above.
//
// An Accept request for the refused change may still be in flight, or a minority may have accepted it. Its ballot is below
// that of W, and the proposer of any later ballot learns of W, or of a successor, under a higher ballot.
//
// # Limits of the bounded history
//
// A value stores its last maxHistory versions, and the newest version that was dropped from them (TruncatedVersion). A
// change whose version is at or below TruncatedVersion, and that is neither in History nor in Refused, may have been
// applied long ago or never: its verdict stays Unknown. The verdict on a change whose base is above the current version is
// Unknown as well while Refused is full, as the refusal could not be stored. A change whose base is the current version
// always gets a definite verdict.
//
// # Voter changes and lost disks
//
// A change of the voter set must be accepted by majorities of both the old and the new set (a joint step); see [VoterSet].
// A replica that lost its disk does not know what it promised; [Recovery] describes how it becomes able to vote again.
//
// # What the package does not do
//
// The package keeps no log of commands: each value replaces the one before it. It does not decide when to retry, how long
// to back off, or when a peer is unresponsive: [PeerStatus] is input. It does not authenticate messages.
package consensus
