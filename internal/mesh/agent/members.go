package agent

import (
	"context"
	"time"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// ownersPerZone is how many homes a service has in each zone.
const ownersPerZone = 2

// SetSeeds sets the seeds as the settings have them now.
func (a *Agent) SetSeeds(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view.Seeds(a.config.Hub.Now(), addresses)
}

// MemberAt is the newest member at an IP address.
func (a *Agent) MemberAt(ip string) (membership.Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.At(ip)
}

// Members are the processes that are there, as far as this one knows.
func (a *Agent) Members() []membership.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Members()
}

// shuffleWith sends a shuffle to neighbours and takes their replies.
func (a *Agent) shuffleWith(neighbours []string, s *membership.Shuffle) {
	for _, address := range neighbours {
		a.send(address, methodShuffle, s, func(body []byte) {
			var reply membership.Shuffle
			if codec.Read(body, &reply) == nil {
				a.mergeShuffle(&reply)
			}
		})
	}
}

func (a *Agent) handleShuffle(_ context.Context, _ *transport.Hello, s *membership.Shuffle) *membership.Shuffle {
	reply := a.mergeShuffle(s)
	if reply == nil {
		reply = &membership.Shuffle{Reply: true}
	}
	return reply
}

// mergeShuffle merges a neighbour's view, and the version of the configuration that it holds.
func (a *Agent) mergeShuffle(s *membership.Shuffle) *membership.Shuffle {
	if s.From.Life == 0 {
		return nil
	}
	a.mu.Lock()
	reply, _ := a.view.Take(a.config.Hub.Now(), s)
	if reply != nil {
		reply.Version = a.current.Version
	}
	a.mu.Unlock()
	a.learnVersion(s.From.Address, s.Version)
	return reply
}

// updateFromView works out anew what rests on the members, if they have changed: the homes that this process publishes to and
// subscribes at, and the number of sidecars. The lock is held.
func (a *Agent) updateFromView(now time.Duration) {
	if a.handledViewChanges == a.view.Changes()+1 {
		return
	}
	a.handledViewChanges = a.view.Changes() + 1
	if a.config.Role == membership.Access && a.config.Settings.Service != "" {
		a.publisher.Targets(now, a.publishOwners())
	}
	for _, service := range a.wantedServices {
		var homes []discovery.Home
		for _, m := range a.view.Homes(service, a.config.Settings.Zone, ownersPerZone+1) {
			homes = append(homes, discovery.Home{Address: m.Address, Life: m.Life})
		}
		a.subscriptions.Want(now, service, homes)
	}
	sidecars := len(accessAddresses(a.view.Members()))
	if sidecars != a.sidecarCount && a.config.OnSidecarCount != nil {
		a.sidecarCount = sidecars
		a.config.OnSidecarCount(sidecars)
	}
}

// recordZones takes note of which zones have members. The lock is held.
func (a *Agent) recordZones(now time.Duration) {
	for _, zone := range a.view.Zones() {
		a.zoneLastSeen[zone] = now
	}
}

// recentZones are the zones that have members, or had some lately. The lock is held.
func (a *Agent) recentZones() map[string]bool {
	now := a.config.Hub.Now()
	a.recordZones(now)
	recent := map[string]bool{}
	for zone, seen := range a.zoneLastSeen {
		if now-seen < zoneRetention {
			recent[zone] = true
		} else {
			delete(a.zoneLastSeen, zone)
		}
	}
	return recent
}

// publishOwners are the homes of this process's service in all zones; one that has restarted gets all records again.
func (a *Agent) publishOwners() (homes []string) {
	for _, m := range a.ownersOf(a.config.Settings.Service) {
		homes = append(homes, m.Address)
		if a.ownerIncarnations[m.Address] != m.Life {
			a.ownerIncarnations[m.Address] = m.Life
			a.publisher.Forget(m.Address)
		}
	}
	return homes
}

// ownersOf are the homes of a service in all zones. The lock is held.
func (a *Agent) ownersOf(service string) (homes []membership.Member) {
	for _, zone := range a.view.Zones() {
		homes = append(homes, a.view.Homes(service, zone, ownersPerZone)...)
	}
	return homes
}
