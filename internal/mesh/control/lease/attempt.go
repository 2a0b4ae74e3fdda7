package lease

import "time"

// attempt is a candidate's newest request, and the replies to it so far.
type attempt struct {
	requestedAt time.Duration
	voterCount  int
	grantedBy   map[string]bool // by voter
	rejections  int
}

// majority returns the smallest majority of the voters. Package consensus has the same function; neither package imports the other for it.
func (a *attempt) majority() int { return a.voterCount/2 + 1 }

// isGranted reports whether a majority of the voters has granted the request.
func (a *attempt) isGranted() bool { return len(a.grantedBy) >= a.majority() }

// isLost reports whether the voters that have not rejected the request are too few for a majority.
func (a *attempt) isLost() bool { return a.rejections > a.voterCount-a.majority() }
