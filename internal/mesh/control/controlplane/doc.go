// Package controlplane is a core process's part in the agreement on the operators' configuration. It connects the state machines of
// package consensus, which do no I/O, with the disk, the other core processes, the clock and the operators.
//
// # Who owns which state
//
//	part             state                                               kept
//	acceptor         the record: promise, vote, decided voter set        on disk (recordDisk over storage.Store), a copy in memory
//	learner          newest committed vote and value, voter set, system  in memory; rebuilt from the record, peers and rounds
//	proposer         highest ballot seen, the slot of the one round      in memory; the name in its ballots is new at each start
//	coreDirectory    seeds of the settings                               in memory
//	voterManager     what the monitor found at its last tick: statuses   in memory
//	                 of the core processes, unresponsive voters
//	voterMonitor     failure detector, limiter of replacements, plan     in memory; only its goroutine uses it
//	lifetime         the context and the goroutines of a Server          in memory
//	responder, register, growth, operatorAPI, recoverer: none beyond a call
//
// Server connects them. No part calls another one while it holds its lock, so there is no lock order to keep.
//
// # Goroutines
//
// Open starts four: acceptor.run, the only one that uses the disk; learner.runNotifications, which calls Options.OnCommit; a first read
// for the log; and voterMonitor.run. Rounds run in the goroutines of their callers. Each request to a peer, each recovery and each
// change of the voters has a goroutine of its own. Close cancels their context and waits for all of them.
//
// # States of an acceptor
//
//	            record is read, or made at the first start
//	 loading ───────────────────────────────────────────────▶ ready ──┐ a write fails:
//	    │                                                       ▲  ▲   │ the record is read
//	    │ no record, or a corrupt one                           │  └───┘ and written again
//	    ▼                                                       │
//	recovering ─────────────────────────────────────────────────┘
//	            enough voters have reported what they promised and accepted
//
// Only a ready acceptor votes. A recovering one answers NotReady until an attempt to recover has made its record. While the disk returns
// errors, the acceptor stays in the state loading.
//
// # A round of a proposer
//
//	read:    Reading ──▶ Done
//	            └─▶ Inconclusive ──▶ a round with a ballot
//	change:  Preparing ──▶ Accepting ──▶ Done
//	            └─────────────┴─▶ Preempted ──▶ a random wait (backoff), then another round
//	any:     Stale ──▶ another round under the newer voter set
//
// # A change of the configuration
//
//  1. operatorAPI.serveReplace reads the operator's call.
//  2. register.replace parses the configuration.
//  3. proposer.propose runs rounds until the change has a verdict.
//  4. Within the round, learner.learnVote and the Commit request make the value known in this and other processes;
//     learner.runNotifications hands it to the agent.
//  5. growth.await delays the operator's acknowledgement while there are fewer voters than wanted.
//
// # Units
//
// Times are time.Duration. Epochs, versions and disk incarnations are counters that only grow. A disk incarnation is 1 at the first
// start; later it is the time of a loss in nanoseconds since 1970, or one above the highest that voters have seen. Names of
// processes are control addresses, "host:port".
//
// # What it does not do
//
// It carries no requests itself (Transport), does not find the core processes (Options.Cores and the seeds), grants no leases and does
// not distribute the configuration to sidecars.
package controlplane
