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
func (s *LastSeen) Update(now time.Duration, addresses []string) (recent []string) {
	if s.byAddress == nil {
		s.byAddress = map[string]time.Duration{}
	}
	for _, a := range addresses {
		s.byAddress[a] = now
	}
	for a, at := range s.byAddress {
		if now-at > shareLease {
			delete(s.byAddress, a)
			continue
		}
		recent = append(recent, a)
	}
	slices.Sort(recent)
	return recent
}
