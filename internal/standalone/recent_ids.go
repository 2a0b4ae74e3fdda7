package standalone

import (
	"time"

	"quincegap/internal/balancer"
)

const (
	// recentIDRetention is how long the id of a request is stored after the request has ended.
	recentIDRetention = 10 * time.Second
	// maxRecentIDs is the maximum number of ids that are stored.
	maxRecentIDs = 4096
)

// recentIDs stores the ids of requests that have ended recently. Ids are unique: another request with the same id is a duplicate, which
// endpoints may run twice or reject. The zero value is empty and ready to use. The loop owns it.
type recentIDs struct {
	endedAt map[balancer.RequestID]time.Duration // time on the event clock at which the request with an id ended
	ids     []balancer.RequestID                 // ids in the order in which their requests ended
}

// add adds the id of a request that ends now. It deletes ids that are older than recentIDRetention, and the oldest if there are too many.
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

// has reports whether a request with the given id ended within recentIDRetention.
func (r *recentIDs) has(id balancer.RequestID, now time.Duration) bool {
	endedAt, ok := r.endedAt[id]
	return ok && now-endedAt <= recentIDRetention
}
