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
	Leave()        // tells the others that it ends
	Reload() error // reads its key again
	Close()
	Report() peers.Report
	Fleet() peers.FleetReport // waits for the others
}

// PeersOpener is what opens Peers, as the product's file asks for it.
type PeersOpener func(p PeersConfig) (Peers, error)

// PeersConfig is what Peers are told and asked of this sidecar. Its functions may be called by any goroutine.
type PeersConfig struct {
	Name      string
	Instances int
	Names     []string // that an earlier life kept; nil for none
	Addresses []string // that a platform names, and that it kept
	Ready     func() bool
	Changed   func(peers.Share)
	Save      func(names, addresses []string)
}

// savedGroup is what the server knows of the others.
type group struct {
	peers Peers // nil where the file asks for none
}

// joinGroup opens the view of the others, if the file asks for one. The loop must not have begun.
func (s *server) joinGroup() error {
	s.instances.Store(int64(s.config.Settings.Instances))
	if s.config.openPeers == nil {
		return nil
	}
	in := PeersConfig{Name: s.config.Name, Instances: s.config.Settings.Instances, Ready: s.loop.ready.Load, Changed: s.updateGroup}
	in.Addresses = s.config.peerAddresses
	if m := s.loop.memory; m != nil {
		names, addresses := m.savedGroup()
		in.Names, in.Addresses = names, slices.Concat(in.Addresses, addresses)
		in.Save = func(names, addresses []string) {
			s.loop.post(func() { m.saveGroup(names, addresses) })
		}
	}
	var err error
	s.group.peers, err = s.config.openPeers(in)
	return err
}

// updateGroup takes a share of the view. One that was told to stop keeps what it has: the others count it out, and its last
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
func groupOf(s *peers.Share) balancer.InstanceGroup {
	g := balancer.InstanceGroup{Instances: s.Instances, Ordinal: s.Ordinal, MaxInstances: s.MaxInstances}
	for _, name := range s.Names {
		h := fnv.New64a()
		h.Write([]byte(name))
		g.Members = append(g.Members, h.Sum64())
	}
	g.Self = g.Members[s.Ordinal]
	return g
}

// announceLeave tells the others that this one ends.
func (g *group) announceLeave() {
	if g.peers != nil {
		g.peers.Leave()
	}
}

func (g *group) close() {
	if g.peers != nil {
		g.peers.Close()
	}
}

// reload has the key read again; what it is made of otherwise takes effect at a start only.
func (g *group) reload() {
	if g.peers == nil {
		return
	}
	if err := g.peers.Reload(); err != nil {
		log.Printf("reload: %v; the keys before stay", err)
	}
}

// lookUpPrior is the view for people; false where there is none.
func (g *group) fleet(all bool) (f peers.FleetReport, ok bool) {
	switch {
	case g.peers == nil:
		return f, false
	case all:
		return g.peers.Fleet(), true
	}
	return peers.FleetReport{Own: g.peers.Report()}, true
}

// The group that was settled last is kept beside what else is remembered, for the next life: an old report.
const (
	groupKey       = 'g'
	groupRetention = 24 * time.Hour
)

type savedGroup struct {
	Names     []string `json:"names"`
	Addresses []string `json:"addresses"`
}

func (m *memory) savedGroup() (names, addresses []string) {
	text, _, ok, err := m.store.Get([]byte{groupKey})
	if err != nil {
		log.Printf("memory: %v", err)
	}
	var k savedGroup
	if !ok || json.Unmarshal(text, &k) != nil {
		return nil, nil
	}
	return k.Names, k.Addresses
}

func (m *memory) saveGroup(names, addresses []string) {
	text, err := json.Marshal(savedGroup{names, addresses})
	if err != nil {
		return
	}
	var b store.Batch
	b.Put([]byte{groupKey}, text, groupRetention)
	m.store.Apply(b, m.reportWrite)
}
