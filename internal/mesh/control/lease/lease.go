// Package lease has duties done by one process at a time. The process that does a duty holds a lease, granted by a majority of
// the voters, and stops before the lease ends. The package does no I/O; time is an argument, on each process's own steady clock.
//
// # Why two processes never hold one lease
//
// A voter counts a grant from the moment it makes it, the holder from the moment it asked, which is earlier, and the holder
// stops a twentieth of it (holderDuration) before the end. So while two clocks run alike to within that twentieth, the holder has stopped before any
// voter that granted the lease grants it to another process. Two majorities of one list share a voter. Grants are not kept on
// disk: a voter that has restarted grants nothing until the longest grant it may have made has ended, and nothing while it does
// not know which list of voters it accepted last.
//
// # While the voters change
//
// Majorities of two lists need not meet: after one voter of three was exchanged, one majority of the old list and one of the
// new list can be disjoint. Two rules stand in for the shared voter. A voter refuses a request under an epoch below the one that it
// has accepted. A candidate that learns of a new list asks nobody for voterChangeDelay, unless it holds the lease, in which case it
// renews under the new list; if it loses the lease within voterChangeDelay it waits for the rest of it as well.
//
// Let T be when the list of epoch k+1 was chosen: a majority of list k has accepted it by then. A holder under epoch k had its
// last renewal granted by a majority of list k, in which at least one voter accepted k+1. That voter granted the renewal before it
// accepted, so the renewal was asked for before T, and the holder stops before T + holderDuration. A candidate under k+1
// asks after T + voterChangeDelay at the earliest, by which time that holder has stopped. A holder that renews under k+1 still holds the
// lease under k, so it asks before T + holderDuration, when no candidate has asked under k+1 yet; from then on the grants of
// a majority of list k+1 protect it. By the same argument a candidate under k+1 that is late cannot be granted anything once
// k+2 is chosen, and a holder that learns of k+2 directly renews before any candidate asks under k+1.
//
// # Fencing numbers
//
// Each grant has a number. A candidate asks under a number above all that it has seen and above those of older lists, and uses
// no number twice. Where voters have forgotten numbers by a restart, whoever knows a higher one reports it (Candidate.Observe), and
// the holder raises its own with the next renewal. A process that receives something from a holder refuses what has a lower
// number than the highest it has seen.
package lease

import "time"

const (
	// Duration is how long a grant lasts, by the voter's clock.
	Duration = 1000 * time.Millisecond

	// holderDuration is how long the holder uses a grant, by its own clock, counted from when it asked.
	holderDuration = Duration - Duration*5/100

	// voterChangeDelay is how long a candidate asks nobody after it has learnt of a new list of voters.
	voterChangeDelay = Duration + Duration*5/100

	renewInterval  = Duration / 4
	retryDelay     = 150 * time.Millisecond // between two requests of a candidate, for each rank
	releaseStagger = 50 * time.Millisecond  // between the requests of candidates of successive ranks, after a release

	tokensPerVoterSet = 1_000_000 // fencing numbers of one list of voters
	maxRoles          = 4096      // that a voter keeps
)
