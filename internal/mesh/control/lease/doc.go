// Package lease ensures that at most one process at a time performs a singleton role. That process holds a lease, which a
// majority of the voters has granted, and stops performing the role before the lease ends. A [Voter] grants leases; a
// [Candidate] requests, holds and renews one. The caller sends the messages between them.
//
// The package does no I/O, starts no goroutine and takes no lock: neither type is safe for concurrent use. The current time
// is an argument: the time since some fixed moment by each process's own monotonic clock. Nothing is stored on disk.
//
// # Usage
//
// The process of a candidate calls Tick often, sends the result to all voters, and passes their replies to HandleReply:
//
//	request := candidate.Tick(now, len(voters), voterSetEpoch) // nil: nothing to send
//	requestedAt := now
//	// At each voter:
//	reply := voter.Handle(now, status, request)
//	// For each reply:
//	candidate.HandleReply(now, requestedAt, voterName, reply)
//	// Before each action of the role:
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
//	any state -- Resign --> Resigned (final)
//
// # Why two processes never hold the lease at the same time
//
// A voter measures the duration of a grant from when it grants; the holder measures it from when it sent its request, which
// is earlier. The holder also stops one twentieth of the duration early (Duration - holderDuration). So if the rates of two
// clocks differ by less than one twentieth, the holder has stopped before any voter that granted the lease grants it to
// another process. Two majorities of one voter set share a voter. A restarted voter grants nothing until every grant that it
// may have made before has ended, and nothing while it does not know which voter set it accepted last.
//
// # Changes of the voters
//
// Majorities of two voter sets need not share a voter: after one voter of three was exchanged, a majority of the old set and
// one of the new set can be disjoint. Two rules replace the shared voter. First, a voter rejects a request under an epoch below
// that of the newest voter set that it has accepted. Second, a candidate that learns of a new voter set sends no request for
// voterChangeDelay, unless it holds the lease; a holder renews under the new set. If it loses the lease within
// voterChangeDelay, it also waits for the rest of that time.
//
// Let T be the time at which the set of epoch k+1 was chosen: a majority of set k has accepted it by then. The last renewal of
// a holder under epoch k was granted by a majority of set k, of which at least one voter accepted k+1. That voter granted the
// renewal before it accepted, so the request was sent before T, and the holder stops before T + holderDuration. A candidate
// under k+1 sends its first request after T + voterChangeDelay at the earliest, when that holder has stopped. A holder that
// renews under k+1 still holds the lease under k, so it sends that request before T + holderDuration, when no candidate has
// sent one under k+1 yet; from then on the grants of a majority of set k+1 protect it. By the same argument a late candidate
// under k+1 is granted nothing once k+2 is chosen, and a holder that learns of k+2 directly renews before any candidate
// sends a request under k+1.
//
// # Fencing tokens
//
// Each grant has a fencing token, a number. A candidate requests a token above all that it has seen and above those of older
// voter sets, and never uses a token twice. Voters lose their tokens when they restart. A process that knows a higher token
// than the holder's reports it (Candidate.ObserveToken), and the holder raises its own with its next renewal. A process
// rejects messages of a holder whose token is lower than the highest that it has seen.
package lease
