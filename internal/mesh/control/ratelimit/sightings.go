package ratelimit

import (
	"slices"
	"time"
)

// LastSeen remembers which sidecars were there of late. A sidecar that was cut off leaves the view of who is there within
// seconds, but may let requests in by its standing share until the share's lease ends; an allocator that is new reserves what
// such sidecars may hold.
type LastSeen struct {
	byAddress map[string]time.Duration // by address
}

// Update takes the sidecars that are there now, and gives all that were there within the lease of a standing share.
func (l *LastSeen) Update(now time.Duration, addresses []string) (recent []string) {
	if l.byAddress == nil {
		l.byAddress = map[string]time.Duration{}
	}
	for _, a := range addresses {
		l.byAddress[a] = now
	}
	for a, at := range l.byAddress {
		if now-at > shareLease {
			delete(l.byAddress, a)
			continue
		}
		recent = append(recent, a)
	}
	slices.Sort(recent)
	return recent
}
