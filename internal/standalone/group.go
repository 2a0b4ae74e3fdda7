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

// Peers is this sidecar among the others of its application.
type Peers interface {
	// Leave announces to the others that this sidecar ends.
	Leave()
	// Reload reads its key again.
	Reload() error
	Close()
	// Report is what this sidecar knows of the group.
	Report() peers.Report
	// Fleet is what all of them report. It waits for the others.
	Fleet() peers.FleetReport
}

// PeersOpener opens Peers, as the product's file asks for it.
type PeersOpener func(p PeersConfig) (Peers, error)

// PeersConfig is what Peers need of this sidecar. Its functions may be called by any goroutine.
type PeersConfig struct {
	Name      string   // of this sidecar, one of its own
	Instances int      // sidecars of the application that the configuration counts
	Names     []string // of the group that an earlier incarnation saved; nil for none
	Addresses []string // that a platform names, and that were saved
	// Ready reports whether this sidecar has a list of endpoints.
	Ready func() bool
	// Changed takes this sidecar's share of the group whenever it changes.
	Changed func(peers.Share)
	// Save keeps the group for the next incarnation; nil where nothing is remembered.
	Save func(names, addresses []string)
}

// group is what the server knows of the others.
type group struct {
	peers Peers // nil where the file asks for none
}

// joinGroup joins the others, if the file asks for it. The loop must not have begun.
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

// updateGroup takes a share of the group. A sidecar that is shutting down keeps what it has: the others count it out, and its last
// callers are not to move to endpoints that are new to it.
func (s *server) updateGroup(share peers.Share) {
	if s.shutdownAt.Load() != nil {
		return
	}
	s.instances.Store(int64(share.Instances))
	g := groupOf(&share)
	s.loop.post(func() {
		if err := s.loop.balancer.UpdateGroup(s.loop.now(), g); err != nil {
			log.Printf("peers: %v; the numbers before stay", err)
		}
	})
}

// groupOf is a share as the Balancer takes it: members are numbers that all have alike.
func groupOf(share *peers.Share) balancer.InstanceGroup {
	g := balancer.InstanceGroup{Instances: share.Instances, Ordinal: share.Ordinal, MaxInstances: share.MaxInstances}
	for _, name := range share.Names {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name)) // a hash takes all
		g.Members = append(g.Members, h.Sum64())
	}
	g.Self = g.Members[share.Ordinal]
	return g
}

// announceLeave notifies the others that this one ends.
func (g *group) announceLeave() {
	if g.peers != nil {
		g.peers.Leave()
	}
}

// close leaves the group without a word.
func (g *group) close() {
	if g.peers != nil {
		g.peers.Close()
	}
}

// reload has the key read again; all else of the group's settings takes effect at a start only.
func (g *group) reload() {
	if g.peers == nil {
		return
	}
	if err := g.peers.Reload(); err != nil {
		log.Printf("reload: %v; the keys before stay", err)
	}
}

// fleet is the group for people, as this sidecar sees it or as all report it; false where there is none.
func (g *group) fleet(all bool) (f peers.FleetReport, ok bool) {
	switch {
	case g.peers == nil:
		return f, false
	case all:
		return g.peers.Fleet(), true
	}
	return peers.FleetReport{Own: g.peers.Report()}, true
}

// groupRetention is how long a saved group is of use to the next incarnation.
const groupRetention = 24 * time.Hour

// savedGroup is the record of the group that was settled last: an old report.
type savedGroup struct {
	Names     []string `json:"names"`
	Addresses []string `json:"addresses"`
}

// savedGroup is the group that an earlier incarnation saved; nil for none.
func (m *memory) savedGroup() (names, addresses []string) {
	text, _, ok, err := m.store.Get([]byte{groupKey})
	if err != nil {
		log.Printf("memory: %v", err)
	}
	var saved savedGroup
	if !ok || json.Unmarshal(text, &saved) != nil {
		return nil, nil
	}
	return saved.Names, saved.Addresses
}

// saveGroup saves the group that is settled now.
func (m *memory) saveGroup(names, addresses []string) {
	text, err := json.Marshal(savedGroup{names, addresses})
	if err != nil {
		return // lists of strings can always be written
	}
	var b store.Batch
	b.Put([]byte{groupKey}, text, groupRetention)
	m.store.Apply(b, m.reportWrite)
}
