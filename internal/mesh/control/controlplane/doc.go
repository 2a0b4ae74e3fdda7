// Package controlplane is the part of a core process that agrees with the other core processes on the operators' configuration. It
// connects the state machines of package consensus, which do no I/O, with the disk, the other core processes, the clock and the
// operators.
//
// # State and its owners
//
//	component        state                                               storage
//	acceptor         the record: promise, vote, decided voter set        on disk (recordDisk over storage.Store), a copy in memory
//	learner          newest committed vote and value, voter set, system  in memory; rebuilt from the record, peers and rounds
//	proposer         highest ballot seen, semaphore of ballot rounds     in memory; the name in its ballots is new at each start
//	coreDirectory    seeds of the settings                               in memory
//	voterManager     results of the monitor's last tick: statuses of     in memory
//	                 the core processes, unresponsive voters
//	voterMonitor     failure detector, replacement limiter, planned      in memory; only its goroutine uses it
//	                 change
//	lifetime         the context and the goroutines of a Server          in memory
//	responder, register, growthWaiter, operatorAPI, recoverer: no state that outlives a call
//
// Server connects the components. No component calls another one while it holds its own lock, so no lock order is needed.
//
// # Goroutines
//
// Open starts four goroutines: acceptor.run, the only one that uses the disk; learner.runNotifications, which calls Options.OnCommit;
// Server.logLatest, which reads the newest configuration once and logs its version; and voterMonitor.run. Rounds run in the goroutines
// of their callers. Each request to a peer, each recovery and each change of the voters has a dedicated goroutine. Close cancels the
// context of all of them and waits until they have returned.
//
// # States of an acceptor
//
//	            record is read, or created at the first start
//	 loading ───────────────────────────────────────────────▶ ready ──┐ a write fails:
//	    │                                                       ▲  ▲   │ the record is read
//	    │ no record, or a corrupt one                           │  └───┘ and written again
//	    ▼                                                       │
//	recovering ─────────────────────────────────────────────────┘
//	            enough voters have reported what they promised and accepted
//
// Only a ready acceptor votes. A recovering acceptor answers NotReady until a recovery attempt has written its record. While the disk
// returns errors, the acceptor stays in the state loading.
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
//  1. operatorAPI.serveReplace reads the operator's HTTP request.
//  2. register.replace parses the configuration.
//  3. proposer.propose runs rounds until the change has a verdict.
//  4. Within the round, learner.learnVote stores the value in this process, and the Commit request announces it to the others;
//     learner.runNotifications passes it to Options.OnCommit.
//  5. growthWaiter.wait delays the operator's acknowledgement while there are fewer voters than consensus.TargetVoters.
//
// # Units
//
// Durations are time.Duration. Epochs, versions and disk incarnations are counters that only grow. A disk incarnation identifies a disk
// of a process: it is 1 at the first start; after a loss of the disk it is the time of that loss in nanoseconds since 1970, or one above
// the highest incarnation that the voters have seen. Names of processes are control addresses, "host:port".
//
// # Out of scope
//
// The package does not send requests over the network (Transport does), does not discover the core processes (Options.Cores and the
// seeds name them), grants no leases and does not distribute the configuration to sidecars.
package controlplane
