package ratelimit

import (
	"slices"
	"time"
)

// Sightings remembers which sidecars were there of late. A sidecar that was cut off leaves the view of who is there within
// seconds, but may let requests in by its standing share until the share's lease ends; an allocator that is new reserves what
// such sidecars may hold.
type Sightings struct {
	last map[string]time.Duration // by address
}

// Note takes the sidecars that are there now, and gives all that were there within the lease of a standing share.
func (s *Sightings) Note(now time.Duration, addresses []string) (recent []string) {
	if s.last == nil {
		s.last = map[string]time.Duration{}
	}
	for _, a := range addresses {
		s.last[a] = now
	}
	for a, at := range s.last {
		if now-at > shareLease {
			delete(s.last, a)
			continue
		}
		recent = append(recent, a)
	}
	slices.Sort(recent)
	return recent
}
