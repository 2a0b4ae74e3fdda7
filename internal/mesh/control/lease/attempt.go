package lease

import "time"

// attempt is a candidate's newest request for its lease, and the replies to that request so far.
type attempt struct {
	requestedAt time.Duration // the time at which the request was sent
	voterCount  int
	grantedBy   map[string]bool // the voters that have granted the request
	rejections  int             // number of voters' replies that reject the request
}

// majority returns the size of the smallest majority of the voters. Package consensus has the same function; this package
// does not import it.
func (a *attempt) majority() int { return a.voterCount/2 + 1 }

// isGranted reports whether a majority of the voters has granted the request.
func (a *attempt) isGranted() bool { return len(a.grantedBy) >= a.majority() }

// majorityImpossible reports whether so many voters have rejected the request that a majority can no longer grant it.
func (a *attempt) majorityImpossible() bool { return a.rejections > a.voterCount-a.majority() }
