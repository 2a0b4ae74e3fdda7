package agent

import (
	"context"
	"time"

	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

// homesPerZone is how many homes a service has in each zone.
const homesPerZone = 2

// Seeds sets the seeds as the settings have them now.
func (a *Agent) Seeds(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view.Seeds(a.o.Hub.Now(), addresses)
}

// At is the newest member at an IP address.
func (a *Agent) At(ip string) (membership.Member, bool) {
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

func (a *Agent) takeShuffle(_ context.Context, _ *transport.Hello, s *membership.Shuffle) *membership.Shuffle {
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
	reply, _ := a.view.Take(a.o.Hub.Now(), s)
	if reply != nil {
		reply.Version = a.conf.Version
	}
	a.mu.Unlock()
	a.heard(s.From.Address, s.Version)
	return reply
}

// followView works out anew what rests on the members, if they have changed: the homes that this process publishes to and
// subscribes at, and the number of sidecars. The lock is held.
func (a *Agent) followView(now time.Duration) {
	if a.viewed == a.view.Changes()+1 {
		return
	}
	a.viewed = a.view.Changes() + 1
	if a.o.Role == membership.Access && a.o.Settings.Service != "" {
		a.publisher.Targets(now, a.publishingHomes())
	}
	for _, service := range a.services {
		var homes []discovery.Home
		for _, m := range a.view.Homes(service, a.o.Settings.Zone, homesPerZone+1) {
			homes = append(homes, discovery.Home{Address: m.Address, Life: m.Life})
		}
		a.subscribed.Want(now, service, homes)
	}
	sidecars := len(accessAddresses(a.view.Members()))
	if sidecars != a.sidecars && a.o.SidecarsChanged != nil {
		a.sidecars = sidecars
		a.o.SidecarsChanged(sidecars)
	}
}

// noteZones takes note of which zones have members. The lock is held.
func (a *Agent) noteZones(now time.Duration) {
	for _, zone := range a.view.Zones() {
		a.zonesSeen[zone] = now
	}
}

// recentZones are the zones that have members, or had some lately. The lock is held.
func (a *Agent) recentZones() map[string]bool {
	now := a.o.Hub.Now()
	a.noteZones(now)
	recent := map[string]bool{}
	for zone, seen := range a.zonesSeen {
		if now-seen < zoneMemory {
			recent[zone] = true
		} else {
			delete(a.zonesSeen, zone)
		}
	}
	return recent
}

// publishingHomes are the homes of this process's service in all zones; one that has restarted gets all records again.
func (a *Agent) publishingHomes() (homes []string) {
	for _, m := range a.homesOf(a.o.Settings.Service) {
		homes = append(homes, m.Address)
		if a.homeLives[m.Address] != m.Life {
			a.homeLives[m.Address] = m.Life
			a.publisher.Forget(m.Address)
		}
	}
	return homes
}

// homesOf are the homes of a service in all zones. The lock is held.
func (a *Agent) homesOf(service string) (homes []membership.Member) {
	for _, zone := range a.view.Zones() {
		homes = append(homes, a.view.Homes(service, zone, homesPerZone)...)
	}
	return homes
}
