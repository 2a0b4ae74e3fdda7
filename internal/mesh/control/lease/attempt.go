package lease

import "time"

// attempt is a candidate's newest request, and the replies to it so far.
type attempt struct {
	requestedAt time.Duration
	voterCount  int
	grantedBy   map[string]bool // by voter
	rejections  int
}

// majority is counted here as package consensus counts it; the two packages share no code, as neither needs the other.
func (a *attempt) majority() int { return a.voterCount/2 + 1 }

// isGranted reports whether a majority of the voters has granted the request.
func (a *attempt) isGranted() bool { return len(a.grantedBy) >= a.majority() }

// isLost reports whether so many voters have rejected the request that the others are no majority.
func (a *attempt) isLost() bool { return a.rejections > a.voterCount-a.majority() }
