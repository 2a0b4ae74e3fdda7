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
	ownersPerZone = 2               // registry owners that a service has in each zone
	zoneRetention = 2 * time.Minute // for which a zone counts that has no members any more
)

// memberTracker keeps the view of the members and exchanges it with others. Its fields are guarded by environment.mu.
type memberTracker struct {
	*environment
	versions versionExchange

	view         *membership.View
	zoneLastSeen map[string]time.Duration // when a zone last had members
	sidecarCount int                      // as last reported

	changesHandled bool   // viewChangedLocked has reported all changes up to handledChanges
	handledChanges uint64 // as counted by the view
}

// versionExchange is what shuffles carry of the configuration.
type versionExchange interface {
	// versionLocked is the version that this process holds.
	versionLocked() uint64
	// learnVersion is called with the version that a peer holds.
	learnVersion(peer string, version uint64)
}

// newMemberTracker makes a tracker whose view has this process as its only member, and the seeds of the settings.
func newMemberTracker(env *environment) *memberTracker {
	self := env.hub.Self()
	rng := rand.New(rand.NewPCG(env.config.Seed, self.Incarnation))
	m := &memberTracker{
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
		m.view.SetRegion(zone, region)
	}
	m.view.SetSeeds(0, env.settings.SeedAddresses())
	return m
}

// register registers the method by which peers exchange views.
func (m *memberTracker) register() {
	transport.Handle(m.hub, methodShuffle, m.handleShuffle)
}

// tickLocked advances the view, and returns the shuffle that is to be sent to peers now, if there is one.
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

// handleShuffle answers a peer's shuffle with one.
func (m *memberTracker) handleShuffle(_ context.Context, _ *transport.Hello, s *membership.Shuffle) *membership.Shuffle {
	if reply := m.merge(s); reply != nil {
		return reply
	}
	return &membership.Shuffle{Reply: true}
}

// merge merges a peer's view, and learns of the version of the configuration that it holds. The reply may be nil.
func (m *memberTracker) merge(s *membership.Shuffle) *membership.Shuffle {
	if s.From.Incarnation == 0 {
		return nil
	}
	reply := m.mergeView(s)
	m.versions.learnVersion(s.From.Address, s.ConfigVersion)
	return reply
}

// mergeView merges a peer's view, and returns the reply with the version of the configuration held here.
func (m *memberTracker) mergeView(s *membership.Shuffle) *membership.Shuffle {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply, _ := m.view.Receive(m.now(), s)
	if reply != nil {
		reply.ConfigVersion = m.versions.versionLocked()
	}
	return reply
}

// viewChangedLocked reports whether what depends on the members is to be worked out anew: at first, after each change of the view and
// after invalidateLocked, once each.
func (m *memberTracker) viewChangedLocked() bool {
	changes := m.view.ChangeCount()
	if m.changesHandled && m.handledChanges == changes {
		return false
	}
	m.changesHandled = true
	m.handledChanges = changes
	return true
}

// invalidateLocked has viewChangedLocked report a change.
func (m *memberTracker) invalidateLocked() { m.changesHandled = false }

// reportSidecarCountLocked calls OnSidecarCount if the number of sidecars has changed. Without that callback nothing is counted.
func (m *memberTracker) reportSidecarCountLocked() {
	count := len(sidecarAddresses(m.allLocked()))
	if count != m.sidecarCount && m.config.OnSidecarCount != nil {
		m.sidecarCount = count
		m.config.OnSidecarCount(count)
	}
}

// sidecars is the number of sidecars as last reported.
func (m *memberTracker) sidecars() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sidecarCount
}

// setSeeds replaces the internal addresses of the seeds.
func (m *memberTracker) setSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetSeeds(m.now(), addresses)
}

// linkLostLocked takes note that the link to an address has ended: its process may have ended too.
func (m *memberTracker) linkLostLocked(now time.Duration, address string) {
	m.view.ConnectionLost(now, address)
}

// all are the processes that run, as far as this one knows, itself among them.
func (m *memberTracker) all() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.allLocked()
}

// allLocked is all with the lock held.
func (m *memberTracker) allLocked() []membership.Member { return m.view.Members() }

// at is the member at an IP address (Agent.MemberAt).
func (m *memberTracker) at(ip string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.MemberAt(ip)
}

// othersLocked are the addresses of all members but this process.
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

// ownersLocked are the registry owners of a service in all zones.
func (m *memberTracker) ownersLocked(service string) []membership.Member {
	var owners []membership.Member
	for _, zone := range m.view.Zones() {
		owners = append(owners, m.view.RegistryOwners(service, zone, ownersPerZone)...)
	}
	return owners
}

// ownZoneOwnersLocked are up to n registry owners of a service in this process's zone.
func (m *memberTracker) ownZoneOwnersLocked(service string, n int) []membership.Member {
	return m.view.RegistryOwners(service, m.settings.Zone, n)
}

// recordZonesLocked takes note of the zones that have members now.
func (m *memberTracker) recordZonesLocked(now time.Duration) {
	for _, zone := range m.view.Zones() {
		m.zoneLastSeen[zone] = now
	}
}

// recentZonesLocked is the set of the zones that have members, or had some within zoneRetention. The caller may change the set.
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

// coreRank is this process's place, from 0, among the core processes in order of their addresses.
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

// sidecarAddresses are the internal addresses of the sidecars among members.
func sidecarAddresses(members []membership.Member) []string {
	var addresses []string
	for _, member := range members {
		if member.Role == membership.RoleAccess {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
