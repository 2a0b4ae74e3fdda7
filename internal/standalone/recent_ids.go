package standalone

import (
	"time"

	"quincegap/internal/balancer"
)

const (
	// recentIDRetention is how long the id of a request that has ended is kept.
	recentIDRetention = 10 * time.Second
	// maxRecentIDs bounds those that are kept.
	maxRecentIDs = 4096
)

// recentIDs holds the ids of requests that have ended recently. Ids are unique: another request with the same one is a duplicate, which
// endpoints may run twice or reject. The zero value is empty. The loop owns it.
type recentIDs struct {
	endedAt map[balancer.RequestID]time.Duration
	ids     []balancer.RequestID // in the order in which they ended
}

// add adds the id of a request that ends now, and drops the ids of those that ended too long ago.
func (r *recentIDs) add(id balancer.RequestID, now time.Duration) {
	if r.endedAt == nil {
		r.endedAt = map[balancer.RequestID]time.Duration{}
	}
	for len(r.ids) > 0 && (len(r.ids) >= maxRecentIDs || now-r.endedAt[r.ids[0]] > recentIDRetention) {
		delete(r.endedAt, r.ids[0])
		r.ids = r.ids[1:]
	}
	r.endedAt[id] = now
	r.ids = append(r.ids, id)
}

// has reports whether a request with an id has ended recently.
func (r *recentIDs) has(id balancer.RequestID, now time.Duration) bool {
	endedAt, ok := r.endedAt[id]
	return ok && now-endedAt <= recentIDRetention
}
