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
	a.view.SetSeeds(a.config.Hub.Now(), addresses)
}

// MemberAt is the newest member at an IP address.
func (a *Agent) MemberAt(ip string) (membership.Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.MemberAt(ip)
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
			if codec.Unmarshal(body, &reply) == nil {
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
	if s.From.Incarnation == 0 {
		return nil
	}
	a.mu.Lock()
	reply, _ := a.view.Receive(a.config.Hub.Now(), s)
	if reply != nil {
		reply.ConfigVersion = a.current.Version
	}
	a.mu.Unlock()
	a.learnVersion(s.From.Address, s.ConfigVersion)
	return reply
}

// updateFromView works out anew what rests on the members, if they have changed: the homes that this process publishes to and
// subscribes at, and the number of sidecars. The lock is held.
func (a *Agent) updateFromView(now time.Duration) {
	if a.handledViewChanges == a.view.ChangeCount()+1 {
		return
	}
	a.handledViewChanges = a.view.ChangeCount() + 1
	if a.config.Role == membership.RoleAccess && a.config.Settings.Service != "" {
		a.publisher.SetOwners(now, a.publishOwners())
	}
	for _, service := range a.wantedServices {
		var homes []discovery.RegistryOwner
		for _, m := range a.view.RegistryOwners(service, a.config.Settings.Zone, ownersPerZone+1) {
			homes = append(homes, discovery.RegistryOwner{Address: m.Address, Incarnation: m.Incarnation})
		}
		a.subscriptions.SetOwners(now, service, homes)
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
		if a.ownerIncarnations[m.Address] != m.Incarnation {
			a.ownerIncarnations[m.Address] = m.Incarnation
			a.publisher.ForgetOwner(m.Address)
		}
	}
	return homes
}

// ownersOf are the homes of a service in all zones. The lock is held.
func (a *Agent) ownersOf(service string) (homes []membership.Member) {
	for _, zone := range a.view.Zones() {
		homes = append(homes, a.view.RegistryOwners(service, zone, ownersPerZone)...)
	}
	return homes
}
