package ratelimit

import (
	"slices"
	"time"
)

// LastSeen records which sidecars were members recently. A partitioned sidecar leaves the membership within seconds, but may
// admit requests from its fallback share until the share's lease ends. A new allocator reserves the shares of such sidecars.
// The zero LastSeen is empty and ready to use. It is not safe for concurrent use.
type LastSeen struct {
	byAddress map[string]time.Duration // time of the newest Update call whose argument contained the address
}

// Update records the addresses of the current members, and returns the sorted addresses of all sidecars that were members
// within the last shareLease.
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
