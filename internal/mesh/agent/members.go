package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/transport"
	"quincegap/internal/mesh/transport/codec"
)

const (
	ownersPerZone = 2               // number of registry owners of a service in each zone
	zoneRetention = 2 * time.Minute // time during which a zone still counts after its last member has departed
)

// memberTracker maintains the view of the members, and exchanges it with peers in shuffles. Its fields are guarded by environment.mu.
type memberTracker struct {
	*environment
	versions versionExchange

	view         *membership.View
	zoneLastSeen map[string]time.Duration // time at which a zone last had members, by zone name
	sidecarCount int                      // number of sidecars last passed to OnSidecarCount

	changesHandled bool   // takeViewChangeLocked has handled all changes up to handledChanges
	handledChanges uint64 // membership.View.ChangeCount at the last change that takeViewChangeLocked has reported
}

// versionExchange provides the configuration version for outgoing shuffles, and handles the versions in those of peers.
type versionExchange interface {
	// versionLocked returns the version that is applied in this process, or 0 if none is applied.
	versionLocked() uint64
	// handlePeerVersion handles the version that is applied at a peer.
	handlePeerVersion(peer string, version uint64)
}

// newMemberTracker returns a tracker whose view has this process as its only member, and the seeds from the settings.
func newMemberTracker(env *environment) *memberTracker {
	self := env.hub.Self()
	rng := rand.New(rand.NewPCG(env.config.Seed, self.Incarnation))
	tracker := &memberTracker{
		environment: env,
		view: membership.New(membership.Member{
			Incarnation: self.Incarnation,
			Address:     self.Address,
			Zone:        env.settings.Zone,
			Region:      env.settings.Region,
			Role:        env.config.Role,
			Service:     env.settings.Service,
			AppAddress:  env.settings.ApplicationAddress,
		}, membership.Config{}, rng),
		zoneLastSeen: map[string]time.Duration{},
	}
	for zone, region := range env.settings.RegionOfZone {
		tracker.view.SetRegion(zone, region)
	}
	tracker.view.SetSeeds(env.settings.SeedAddresses())
	return tracker
}

// register registers the method with which peers exchange views.
func (m *memberTracker) register() {
	transport.Handle(m.hub, methodShuffle, m.handleShuffle)
}

// tickLocked advances the view to the current time, and returns the shuffle to send now and its recipients. shuffle is nil if none is due.
func (m *memberTracker) tickLocked(now time.Duration) (peers []string, shuffle *membership.Shuffle) {
	peers, shuffle = m.view.Tick(now)
	if shuffle != nil {
		shuffle.ConfigVersion = m.versions.versionLocked()
	}
	m.recordZonesLocked(now)
	return peers, shuffle
}

// sendShuffles sends a shuffle to peers, and merges their replies.
func (m *memberTracker) sendShuffles(peers []string, shuffle *membership.Shuffle) {
	for _, address := range peers {
		m.send(address, methodShuffle, shuffle, func(body []byte) {
			var reply membership.Shuffle
			if codec.Unmarshal(body, &reply) == nil {
				m.merge(&reply)
			}
		})
	}
}

// handleShuffle merges a peer's shuffle into the view and returns the reply, which is empty if the view has none.
func (m *memberTracker) handleShuffle(_ context.Context, _ *transport.Hello, s *membership.Shuffle) *membership.Shuffle {
	if reply := m.merge(s); reply != nil {
		return reply
	}
	return &membership.Shuffle{Reply: true}
}

// merge merges a shuffle into the view, and passes the peer's configuration version to versions. The reply may be nil.
func (m *memberTracker) merge(s *membership.Shuffle) *membership.Shuffle {
	if s.From.Incarnation == 0 {
		return nil
	}
	reply := m.mergeView(s)
	m.versions.handlePeerVersion(s.From.Address, s.ConfigVersion)
	return reply
}

// mergeView merges a shuffle into the view, and returns the reply with the version that is applied in this process. The reply may be nil.
func (m *memberTracker) mergeView(s *membership.Shuffle) *membership.Shuffle {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply, _ := m.view.Receive(m.now(), s)
	if reply != nil {
		reply.ConfigVersion = m.versions.versionLocked()
	}
	return reply
}

// takeViewChangeLocked reports whether values computed from the members have to be recomputed. That is the case at the first call, and at
// the first call after the view has changed or invalidateLocked was called. takeViewChangeLocked marks all changes so far as handled.
func (m *memberTracker) takeViewChangeLocked() bool {
	changes := m.view.ChangeCount()
	if m.changesHandled && m.handledChanges == changes {
		return false
	}
	m.changesHandled = true
	m.handledChanges = changes
	return true
}

// invalidateLocked makes the next takeViewChangeLocked report a change.
func (m *memberTracker) invalidateLocked() { m.changesHandled = false }

// reportSidecarCountLocked calls OnSidecarCount if the number of sidecars has changed. If there is no such callback, sidecarCount remains
// 0.
func (m *memberTracker) reportSidecarCountLocked() {
	count := len(sidecarAddresses(m.allLocked()))
	if count != m.sidecarCount && m.config.OnSidecarCount != nil {
		m.sidecarCount = count
		m.config.OnSidecarCount(count)
	}
}

// lastSidecarCount returns the number of sidecars last passed to OnSidecarCount, or 0 if there is no such callback.
func (m *memberTracker) lastSidecarCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sidecarCount
}

// setSeeds replaces the internal addresses of the seeds.
func (m *memberTracker) setSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetSeeds(addresses)
}

// linkLostLocked marks the member at an address as unreachable, because the link to it was lost.
func (m *memberTracker) linkLostLocked(now time.Duration, address string) {
	m.view.ConnectionLost(now, address)
}

// all returns the running processes known to this process, including itself.
func (m *memberTracker) all() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allLocked()
}

// allLocked is all for callers that hold the lock.
func (m *memberTracker) allLocked() []membership.Member { return m.view.Members() }

// allWithAgesLocked is allLocked with the time since each member was last known to be alive.
func (m *memberTracker) allWithAgesLocked() []membership.Member {
	return m.view.MembersWithAges(m.now())
}

// memberAt returns the member at an IP address, as membership.View.MemberAt does.
func (m *memberTracker) memberAt(ip string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.MemberAt(ip)
}

// othersLocked returns the internal addresses of all members except this process.
func (m *memberTracker) othersLocked() []string {
	self := m.address()
	var others []string
	for _, member := range m.allLocked() {
		if member.Address != self {
			others = append(others, member.Address)
		}
	}
	return others
}

// ownersLocked returns the registry owners of a service in all zones.
func (m *memberTracker) ownersLocked(service string) []membership.Member {
	var owners []membership.Member
	for _, zone := range m.view.Zones() {
		owners = append(owners, m.view.RegistryOwners(service, zone, ownersPerZone)...)
	}
	return owners
}

// ownZoneOwnersLocked returns up to n registry owners of a service in this process's zone.
func (m *memberTracker) ownZoneOwnersLocked(service string, n int) []membership.Member {
	return m.view.RegistryOwners(service, m.settings.Zone, n)
}

// recordZonesLocked stores the current time in zoneLastSeen for each zone that has members.
func (m *memberTracker) recordZonesLocked(now time.Duration) {
	for _, zone := range m.view.Zones() {
		m.zoneLastSeen[zone] = now
	}
}

// recentZonesLocked returns the set of zones that have members now, or had members within the last zoneRetention. The caller owns the set.
func (m *memberTracker) recentZonesLocked() map[string]bool {
	now := m.now()
	m.recordZonesLocked(now)
	recent := map[string]bool{}
	for zone, seen := range m.zoneLastSeen {
		if now-seen < zoneRetention {
			recent[zone] = true
		} else {
			delete(m.zoneLastSeen, zone)
		}
	}
	return recent
}

// coreRank returns this process's index, counted from 0, in the list of the core processes ordered by address.
func (m *memberTracker) coreRank(members []membership.Member) int {
	self := m.address()
	rank := 0
	for _, member := range members {
		if member.Role == membership.RoleCore && member.Address < self {
			rank++
		}
	}
	return rank
}

// sidecarAddresses returns the internal addresses of the sidecars among members.
func sidecarAddresses(members []membership.Member) []string {
	var addresses []string
	for _, member := range members {
		if member.Role == membership.RoleAccess {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
