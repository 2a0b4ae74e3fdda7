package controlplane

import (
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"
)

const (
	minReplaceInterval = time.Second     // between two replacements
	replaceWindow      = 4 * time.Second // in which no more voters are replaced than may be lost at once, but always one
)

// replacementLimiter limits how many voters are replaced within replaceWindow, and how soon after one another. Its methods take the
// time as an argument.
type replacementLimiter struct {
	epoch      uint64 // of voters
	voters     []string
	replacedAt []time.Time // within the last replaceWindow, oldest first
}

// observe records the newest voter set, and whether it replaced a voter.
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

// allows reports whether one more voter may be replaced now. tolerated is the number of machines that may be lost at once.
func (r *replacementLimiter) allows(now time.Time, tolerated int) bool {
	n := len(r.replacedAt)
	return n == 0 || n < max(1, tolerated) && now.Sub(r.replacedAt[n-1]) >= minReplaceInterval
}
