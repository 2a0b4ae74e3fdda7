package lease

import "time"

const (
	// Duration is how long a grant lasts, by the voter's clock.
	Duration = 1000 * time.Millisecond

	// holderDuration is how long the holder uses a grant, by its own clock, from the time of its request. It is shorter than
	// Duration by what two clocks may differ in that time.
	holderDuration = Duration - Duration*5/100

	// voterChangeDelay is how long a candidate sends no request after it has learned of a new voter set, by its own clock.
	voterChangeDelay = Duration + Duration*5/100

	// renewInterval is the time between two renewals of a holder.
	renewInterval = Duration / 4

	// retryDelay is the time between two requests of the candidate of rank 0. Each further rank waits for as much more.
	retryDelay = 150 * time.Millisecond

	// releaseStagger is the time between the requests of successive ranks after a release.
	releaseStagger = 50 * time.Millisecond

	// tokensPerVoterSet is how many fencing tokens a voter set has. Those of the next one start above them.
	tokensPerVoterSet = 1_000_000

	// maxRoles is the number of roles of which a voter remembers grants, at most.
	maxRoles = 4096
)
