package ratelimit

import (
	"slices"
	"time"
)

// LastSeen remembers which sidecars were members recently. A partitioned sidecar leaves the membership within seconds, but may
// admit requests by its fallback share until the share's lease ends. A new allocator reserves what such sidecars may hold.
// The zero LastSeen is empty and ready to use. It is not safe for concurrent use.
type LastSeen struct {
	byAddress map[string]time.Duration // time of the last Update that had the address
}

// Update takes the addresses of the current members, and returns the addresses of all sidecars that were members within
// shareLease, sorted.
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
