package controlplane

import (
	"slices"
	"time"

	"quincegap/internal/mesh/control/consensus"
)

const (
	minReplaceInterval = time.Second     // between two changes that take a voter's place
	replaceWindow      = 4 * time.Second // in which no more voters are replaced than may be lost at once
)

// replacementLimiter bounds how many voters are replaced at once, and how soon again. The time is an argument of its methods.
type replacementLimiter struct {
	epoch      uint64 // of voters
	voters     []string
	replacedAt []time.Time // within the last replaceWindow, oldest first
}

// observe notes the newest voter set.
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

// allows reports whether one more voter may be replaced now, where so many machines may be lost at once.
func (r *replacementLimiter) allows(now time.Time, tolerated int) bool {
	n := len(r.replacedAt)
	return n == 0 || n < max(1, tolerated) && now.Sub(r.replacedAt[n-1]) >= minReplaceInterval
}
