package lease

import "time"

const (
	// Duration is how long a grant lasts, by the voter's clock.
	Duration = 1000 * time.Millisecond

	// holderDuration is how long the holder uses a grant, by its own clock, counted from when it asked.
	holderDuration = Duration - Duration*5/100

	// voterChangeDelay is how long a candidate asks nobody after it has learnt of a new voter set.
	voterChangeDelay = Duration + Duration*5/100

	// renewInterval is the time between two renewals of a holder.
	renewInterval = Duration / 4

	// retryDelay is the time between two requests of the first candidate; each further rank waits for as much more.
	retryDelay = 150 * time.Millisecond

	// releaseStagger is the time between the requests of candidates of successive ranks, after a release.
	releaseStagger = 50 * time.Millisecond

	// tokensPerVoterSet is how many fencing tokens there are for one voter set; those of the next set start above them.
	tokensPerVoterSet = 1_000_000

	// maxRoles is how many roles a voter keeps grants of.
	maxRoles = 4096
)
