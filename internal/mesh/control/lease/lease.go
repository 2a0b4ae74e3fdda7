package lease

import "time"

const (
	// Duration is how long a grant lasts by the voter's clock.
	Duration = 1000 * time.Millisecond

	// holderDuration is how long the holder uses a grant by its own clock, measured from when it sent the request. It is
	// shorter than Duration by the maximum drift between two clocks in that time.
	holderDuration = Duration - Duration*5/100

	// voterChangeDelay is how long, by its own clock, a candidate that does not hold the lease sends no request after it has
	// learned of a new voter set. It is longer than Duration by the maximum drift between two clocks in that time.
	voterChangeDelay = Duration + Duration*5/100

	// renewInterval is the time between two renewals of a holder.
	renewInterval = Duration / 4

	// retryDelay is the base delay between two requests of a candidate without the lease. It is multiplied by the rank plus 1.
	retryDelay = 150 * time.Millisecond

	// releaseStagger is the time between the requests of candidates of successive ranks after a release.
	releaseStagger = 50 * time.Millisecond

	// tokensPerVoterSet is the number of fencing tokens reserved for each voter set: those of epoch e start above
	// e*tokensPerVoterSet.
	tokensPerVoterSet = 1_000_000

	// maxRoles is the maximum number of roles whose grants a voter stores. It ignores requests for further roles.
	maxRoles = 4096
)
