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
	ownersPerZone = 2               // registry owners of a service in each zone
	zoneRetention = 2 * time.Minute // for which a zone counts as one after its last member has departed
)

// memberTracker keeps the view of the members and exchanges it with others. Its fields are guarded by environment.mu.
type memberTracker struct {
	*environment
	versions versionExchange

	view         *membership.View
	zoneLastSeen map[string]time.Duration // when a zone last had members
	sidecarCount int                      // as last reported

	changesHandled bool   // takeViewChangeLocked has reported all changes up to handledChanges
	handledChanges uint64 // membership.View.ChangeCount then
}

// versionExchange provides the version of the configuration that shuffles carry, and receives those of peers.
type versionExchange interface {
	// versionLocked returns the version that is applied in this process; 0 if there is none.
	versionLocked() uint64
	// learnVersion is called with the version that is applied at a peer.
	learnVersion(peer string, version uint64)
}

// newMemberTracker returns a tracker whose view has this process as its only member, and the seeds of the settings.
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

// register registers the method by which peers exchange views.
func (m *memberTracker) register() {
	transport.Handle(m.hub, methodShuffle, m.handleShuffle)
}

// tickLocked advances the view, and returns the shuffle that is to be sent now, if there is one, and the peers that it goes to.
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

// handleShuffle answers a peer's shuffle; with an empty one if the view has no reply.
func (m *memberTracker) handleShuffle(_ context.Context, _ *transport.Hello, s *membership.Shuffle) *membership.Shuffle {
	if reply := m.merge(s); reply != nil {
		return reply
	}
	return &membership.Shuffle{Reply: true}
}

// merge merges a shuffle into the view, and passes the peer's version of the configuration on. The reply may be nil.
func (m *memberTracker) merge(s *membership.Shuffle) *membership.Shuffle {
	if s.From.Incarnation == 0 {
		return nil
	}
	reply := m.mergeView(s)
	m.versions.learnVersion(s.From.Address, s.ConfigVersion)
	return reply
}

// mergeView merges a shuffle into the view, and returns the reply, which carries the version that is applied here.
func (m *memberTracker) mergeView(s *membership.Shuffle) *membership.Shuffle {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply, _ := m.view.Receive(m.now(), s)
	if reply != nil {
		reply.ConfigVersion = m.versions.versionLocked()
	}
	return reply
}

// takeViewChangeLocked reports whether what depends on the members has to be computed anew: at the first call, and at the first one
// after a change of the view or a call of invalidateLocked. It marks the changes so far as handled.
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

// reportSidecarCountLocked calls OnSidecarCount if the number of sidecars has changed. Without that callback sidecarCount stays 0.
func (m *memberTracker) reportSidecarCountLocked() {
	count := len(sidecarAddresses(m.allLocked()))
	if count != m.sidecarCount && m.config.OnSidecarCount != nil {
		m.sidecarCount = count
		m.config.OnSidecarCount(count)
	}
}

// sidecars returns the number of sidecars that was last reported.
func (m *memberTracker) sidecars() int {
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

// linkLostLocked marks the member at an address unreachable, as the link to it has ended.
func (m *memberTracker) linkLostLocked(now time.Duration, address string) {
	m.view.ConnectionLost(now, address)
}

// all returns the processes that run, as far as this one knows, itself included.
func (m *memberTracker) all() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allLocked()
}

// allLocked is all for callers that hold the lock.
func (m *memberTracker) allLocked() []membership.Member { return m.view.Members() }

// at returns the member at an IP address (membership.View.MemberAt).
func (m *memberTracker) at(ip string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.MemberAt(ip)
}

// othersLocked returns the addresses of all members but this process.
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

// recordZonesLocked records the present time for each zone that has members.
func (m *memberTracker) recordZonesLocked(now time.Duration) {
	for _, zone := range m.view.Zones() {
		m.zoneLastSeen[zone] = now
	}
}

// recentZonesLocked returns the set of the zones that have members, or had some within zoneRetention. The caller may change the set.
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

// coreRank returns this process's position, from 0, among the core processes in the order of their addresses.
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
