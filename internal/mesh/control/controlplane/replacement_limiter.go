package controlplane

import (
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"
)

const (
	// minReplaceInterval is the shortest time between two replacements.
	minReplaceInterval = time.Second
	// replaceWindow is the time within which at most as many voters are replaced as may be lost at once, but always one.
	replaceWindow = 4 * time.Second
)

// replacementLimiter limits how many voters are replaced within replaceWindow, and enforces minReplaceInterval between replacements. Its
// methods take the current time as an argument. It is not safe for concurrent use.
type replacementLimiter struct {
	epoch      uint64      // epoch of the newest observed voter set
	voters     []string    // voters of the newest observed voter set
	replacedAt []time.Time // times of the replacements within the last replaceWindow, oldest first
}

// observe records the newest voter set. If a voter of the set before is missing in it, observe counts that as a replacement.
func (r *replacementLimiter) observe(now time.Time, voters consensus.VoterSet) {
	newer := voters.Epoch > r.epoch
	if newer && slices.ContainsFunc(r.voters, func(voter string) bool { return !voters.Contains(voter) }) {
		r.replacedAt = append(r.replacedAt, now)
	}
	if newer || len(r.voters) == 0 {
		r.epoch = voters.Epoch
		r.voters = voters.Voters
	}
	r.replacedAt = slices.DeleteFunc(r.replacedAt, func(at time.Time) bool { return now.Sub(at) >= replaceWindow })
}

// allows reports whether another voter may be replaced now. tolerated is the number of machines that may be lost at once.
func (r *replacementLimiter) allows(now time.Time, tolerated int) bool {
	n := len(r.replacedAt)
	return n == 0 || n < max(1, tolerated) && now.Sub(r.replacedAt[n-1]) >= minReplaceInterval
}
