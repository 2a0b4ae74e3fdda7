package standalone

import (
	"encoding/json"
	"hash/fnv"
	"log"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/peers"
)

// Peers is this sidecar's membership in the group of sidecars of its application.
type Peers interface {
	// Leave announces to the group that this sidecar shuts down.
	Leave()
	// Reload reads the key of the group again.
	Reload() error
	// Close ends the membership without an announcement.
	Close()
	// Report returns this sidecar's report on the group.
	Report() peers.Report
	// Fleet returns the reports of all sidecars of the group. It waits for their answers.
	Fleet() peers.FleetReport
}

// PeersOpener joins the group that the product's file configures.
type PeersOpener func(p PeersConfig) (Peers, error)

// PeersConfig is what a PeersOpener needs from this sidecar. Its functions may be called from any goroutine.
type PeersConfig struct {
	Name      string   // name of this sidecar, unique in its group
	Instances int      // number of sidecars of the application according to the configuration
	Names     []string // names of the group's members, as an earlier process of this sidecar saved them; nil for none
	Addresses []string // addresses of sidecars: those from the platform, then the saved ones
	// Ready reports whether this sidecar has a list of endpoints.
	Ready func() bool
	// Changed must be called with this sidecar's share of the group whenever the share changes.
	Changed func(peers.Share)
	// Save stores the group for the next process; nil if nothing is stored on disk.
	Save func(names, addresses []string)
}

// group is the server's membership in the group of sidecars.
type group struct {
	peers Peers // nil if the file configures no group
}

// joinGroup joins the group, if the file configures one. It must be called before the loop runs, because it reads the loop's state.
func (s *server) joinGroup() error {
	s.instances.Store(int64(s.config.Settings.Instances))
	if s.config.openPeers == nil {
		return nil
	}
	config := PeersConfig{
		Name:      s.config.Name,
		Instances: s.config.Settings.Instances,
		Addresses: s.config.peerAddresses,
		Ready:     s.loop.ready.Load,
		Changed:   s.updateGroup,
	}
	if m := s.loop.memory; m != nil {
		names, addresses := m.savedGroup()
		config.Names = names
		config.Addresses = slices.Concat(config.Addresses, addresses)
		config.Save = func(names, addresses []string) {
			s.loop.post(func() { m.saveGroup(names, addresses) })
		}
	}
	var err error
	s.group.peers, err = s.config.openPeers(config)
	return err
}

// updateGroup applies a new share of the group. A sidecar that is shutting down keeps its share: the others no longer count it, and the
// requests of its last callers should not move to endpoints that this sidecar has not used before.
func (s *server) updateGroup(share peers.Share) {
	if s.shutdownAt.Load() != nil {
		return
	}
	s.instances.Store(int64(share.Instances))
	g := groupOf(&share)
	s.loop.post(func() {
		if err := s.loop.balancer.UpdateGroup(s.loop.now(), g); err != nil {
			log.Printf("peers: %v; the previous group stays in use", err)
		}
	})
}

// groupOf converts a share for the Balancer. A member's number is the hash of its name, so that all sidecars use the same numbers.
func groupOf(share *peers.Share) balancer.InstanceGroup {
	g := balancer.InstanceGroup{Instances: share.Instances, Ordinal: share.Ordinal, MaxInstances: share.MaxInstances}
	for _, name := range share.Names {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name)) // never returns an error
		g.Members = append(g.Members, h.Sum64())
	}
	g.Self = g.Members[share.Ordinal]
	return g
}

// announceLeave announces to the group that this sidecar shuts down.
func (g *group) announceLeave() {
	if g.peers != nil {
		g.peers.Leave()
	}
}

// close ends the membership without an announcement.
func (g *group) close() {
	if g.peers != nil {
		g.peers.Close()
	}
}

// reloadKeys reads the key of the group again. Changes of the group's other settings take effect only at a start.
func (g *group) reloadKeys() {
	if g.peers == nil {
		return
	}
	if err := g.peers.Reload(); err != nil {
		log.Printf("reload: %v; the previous keys stay in use", err)
	}
}

// fleet returns this sidecar's report on the group or, if all is set, the reports of all sidecars; ok is false if there is no group.
func (g *group) fleet(all bool) (f peers.FleetReport, ok bool) {
	switch {
	case g.peers == nil:
		return f, false
	case all:
		return g.peers.Fleet(), true
	}
	return peers.FleetReport{Own: g.peers.Report()}, true
}

// groupRetention is the time after which a saved group expires.
const groupRetention = 24 * time.Hour

// groupRecord is the record of the group that its members last agreed on. Its keys are part of the format on disk.
type groupRecord struct {
	Names     []string `json:"names"`
	Addresses []string `json:"addresses"`
}

// savedGroup returns the group that an earlier process saved; nil if there is none or it cannot be read.
func (m *memory) savedGroup() (names, addresses []string) {
	text, _, ok, err := m.store.Get([]byte{groupKey})
	if err != nil {
		log.Printf("memory: read saved group: %v", err)
	}
	var saved groupRecord
	if !ok || json.Unmarshal(text, &saved) != nil {
		return nil, nil
	}
	return saved.Names, saved.Addresses
}

// saveGroup saves the group that its members have agreed on.
func (m *memory) saveGroup(names, addresses []string) {
	text, err := json.Marshal(groupRecord{names, addresses})
	if err != nil {
		return // lists of strings can always be encoded
	}
	var b store.Batch
	b.Put([]byte{groupKey}, text, groupRetention)
	m.store.Apply(b, m.reportWrite)
}
