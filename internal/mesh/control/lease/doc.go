// Package lease has each singleton role played by one process at a time. The process that plays a role holds a lease,
// granted by a majority of the voters, and stops before the lease ends. A [Voter] grants; a [Candidate] asks, holds and
// renews. The caller sends the messages between them.
//
// The package does no I/O, starts no goroutine and takes no lock: neither type is safe for concurrent use. Time is an
// argument, on each process's own steady clock (time since some fixed moment). Nothing is kept on disk.
//
// # Usage
//
// A candidate's process calls Tick often, sends what it returns to all voters, and hands the replies back:
//
//	request := candidate.Tick(now, len(voters), voterSetEpoch) // nil: nothing to send
//	requestedAt := now
//	// At each voter:
//	reply := voter.Handle(now, status, request)
//	// For each reply that comes back:
//	candidate.HandleReply(now, requestedAt, voterName, reply)
//	// Before each act in the role:
//	fencingToken, ok := candidate.Holds(now)
//
// # The states of a candidate
//
//	        Tick: request               majority granted
//	Idle ------------------> Requesting -----------------> Holding --+
//	 ^                         |                            |  ^     | renewed each renewInterval
//	 |  no majority, or a      |                            |  +-----+
//	 +--newer voter set -------+                            |
//	 +--------- the lease ended ----------------------------+
//
//	any state -- Resign --> Resigned, for good
//
// # Why two processes never hold one lease
//
// A voter counts a grant from the moment it makes it, the holder from the moment it asked, which is earlier, and the
// holder stops a twentieth of it (Duration - holderDuration) before the end. So while two clocks run alike to within that
// twentieth, the holder has stopped before any voter that granted the lease grants it to another process. Two majorities
// of one voter set share a voter. A voter that has restarted grants nothing until the longest grant it may have made has
// ended, and nothing while it does not know which voter set it accepted last.
//
// # While the voters change
//
// Majorities of two voter sets need not share a voter: after one voter of three was exchanged, one majority of the old
// set and one of the new set can be disjoint. Two rules stand in for the shared voter. A voter rejects a request under an
// epoch below the one that it has accepted. A candidate that learns of a new voter set asks nobody for voterChangeDelay,
// unless it holds the lease, in which case it renews under the new set; if it loses the lease within voterChangeDelay it
// waits for the rest of it as well.
//
// Let T be when the set of epoch k+1 was chosen: a majority of set k has accepted it by then. A holder under epoch k had
// its last renewal granted by a majority of set k, in which at least one voter accepted k+1. That voter granted the
// renewal before it accepted, so the renewal was asked for before T, and the holder stops before T + holderDuration. A
// candidate under k+1 asks after T + voterChangeDelay at the earliest, by which time that holder has stopped. A holder
// that renews under k+1 still holds the lease under k, so it asks before T + holderDuration, when no candidate has asked
// under k+1 yet; from then on the grants of a majority of set k+1 protect it. By the same argument a candidate under k+1
// that is late cannot be granted anything once k+2 is chosen, and a holder that learns of k+2 directly renews before any
// candidate asks under k+1.
//
// # Fencing tokens
//
// Each grant has a fencing token, a number. A candidate asks under a token above all that it has seen and above those of
// older voter sets, and uses no token twice. Where voters have forgotten tokens by a restart, whoever knows a higher one
// reports it (Candidate.ObserveToken), and the holder raises its own with the next renewal. A process that receives
// something from a holder rejects what has a lower token than the highest it has seen.
package lease
