package ratelimit

import (
	"slices"
	"time"
)

// LastSeen remembers which sidecars were members of late. A sidecar that was cut off leaves the membership within
// seconds, but may admit requests from its fallback share until the share's lease ends; an allocator that is new reserves
// what such sidecars may hold. The zero LastSeen is empty and ready to use.
type LastSeen struct {
	byAddress map[string]time.Duration
}

// Update takes the addresses of the sidecars that are members now, and returns those of all that were members within the
// lease of a fallback share, sorted.
func (l *LastSeen) Update(now time.Duration, addresses []string) (recent []string) {
	if l.byAddress == nil {
		l.byAddress = map[string]time.Duration{}
	}
	for _, address := range addresses {
		l.byAddress[address] = now
	}
	for address, seen := range l.byAddress {
		if now-seen > shareLease {
			delete(l.byAddress, address)
			continue
		}
		recent = append(recent, address)
	}
	slices.Sort(recent)
	return recent
}
