package membership

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"quincegap/internal/structures/rendezvous"
)

// View is what one process knows of the other members.
type View struct {
	config              Config
	rng                 *rand.Rand
	self                Member
	entries             []*entry // by life
	byIncarnation       map[uint64]*entry
	byAddress           map[string]*entry
	hashOrder           []*entry // all and this process, ordered by before
	eligible            []*entry // those that can be homes; nil when they are to be worked out anew
	tombstones          map[uint64]tombstoneEntry
	tombstoneOrder      []uint64         // of tombstones, the oldest first
	reappeared          []Tombstone      // lives that sent a message after their end was reported
	departed            []departedMember // dropped members, the newest last
	seeds               []string
	regions             map[string]string // of each zone ever heard of
	seedsContacted      bool              // seeds were asked
	nextGossip          time.Duration     // shuffle that this process begins
	lastGossip          time.Duration     // the last of these
	nextReconnect       time.Duration     // the next try of a seed or of any former member
	nextRecentReconnect time.Duration     // the next try of one that was dropped of late
	lastTick            time.Duration     // call of Tick
	resumedAt           time.Duration     // when this process last woke from a freeze; ages count from here at the earliest
	ticked              bool
	arrivals            uint64
	lastUpdate          time.Duration // the last arrival or end
	lastRemoval         time.Duration // the last end
	agreement           agreement
}

// New makes the view of a process that knows nobody.
func New(self Member, bounds Config, rng *rand.Rand) *View {
	v := &View{
		config: bounds.WithDefaults(), rng: rng, self: self, byIncarnation: map[uint64]*entry{}, byAddress: map[string]*entry{},
		tombstones: map[uint64]tombstoneEntry{}, regions: map[string]string{}, agreement: newAgreement(), lastRemoval: -time.Hour,
	}
	v.self.Heartbeat = max(v.self.Heartbeat, 1)
	v.hashOrder = []*entry{{Member: v.self, hash: rendezvous.Mix(self.Incarnation)}}
	v.SetRegion(self.Zone, self.Region)
	return v
}

// SetRegion says which region a zone is in.
func (v *View) SetRegion(zone, region string) {
	if len(v.regions) < 1024 && region != "" {
		v.regions[zone] = region
	}
}

// Self is this process as it is sent to others.
func (v *View) Self() Member { return v.self }

// SetSeeds names the seeds as the settings have them now.
func (v *View) SetSeeds(_ time.Duration, addrs []string) {
	if !slices.Equal(v.seeds, addrs) {
		v.seeds, v.seedsContacted = slices.Clone(addrs), false
	}
}

// NextTick is when Tick has something to do.
func (v *View) NextTick() time.Duration { return v.nextGossip }

// Members are the live ones, this one among them, by address.
func (v *View) Members() []Member {
	all := append(make([]Member, 0, 1+len(v.entries)), v.self)
	for _, e := range v.entries {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}

// MemberAt is the member at an IP address: the sidecar of an endpoint before others, then the one heard of last.
func (v *View) MemberAt(ip string) (Member, bool) {
	if host(v.self.Address) == ip && v.self.Role == RoleAccess {
		return v.self, true
	}
	var best *entry
	for _, e := range v.entries {
		if host(e.Address) == ip && (best == nil || cmp.Or(cmp.Compare(best.Role, e.Role), cmp.Compare(e.arrivalOrder, best.arrivalOrder)) > 0) {
			best = e
		}
	}
	if best == nil {
		return v.self, host(v.self.Address) == ip
	}
	return best.Member, true
}

func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

// ConnectionLost reports that a connection to an address broke, or that its pings went unanswered.
func (v *View) ConnectionLost(now time.Duration, address string) {
	if e := v.byAddress[address]; e != nil && e.state != unreachable {
		e.transition(now, unreachable)
		e.lastContacted = now - v.config.GossipInterval // it is asked at the next Tick
		v.noteUpdate(now, &v.agreement.lastDiffered)
	}
}

// PeerAnswered reports that a life answered at an address directly.
func (v *View) PeerAnswered(now time.Duration, address string, life uint64) {
	e := v.byAddress[address]
	if e == nil || v.tombstones[life].replaced {
		return
	}
	if e.Incarnation == life {
		e.lastSeen = max(e.lastSeen, now)
		e.transition(now, alive)
		return
	}
	v.remove(e)
	v.addTombstone(now, e.Incarnation, tombstoneEntry{heartbeat: e.Heartbeat, address: address, replaced: true})
}

// Zones are those with live members, in order.
func (v *View) Zones() []string {
	v.refreshAgreement()
	return slices.Clone(v.agreement.zones)
}

// ChangeCount rises with each arrival, each end and each change of a record, so that what rests on the members need not be worked
// out again while it stays.
func (v *View) ChangeCount() uint64 { return v.agreement.changeCount }

func (v *View) remove(e *entry) {
	delete(v.byIncarnation, e.Incarnation)
	v.invalidate()
	if i, ok := slices.BinarySearchFunc(v.entries, e.Incarnation, compareIncarnation); ok {
		v.entries = slices.Delete(v.entries, i, i+1)
	}
	if i, ok := slices.BinarySearchFunc(v.hashOrder, e, compareHash); ok {
		v.hashOrder = slices.Delete(v.hashOrder, i, i+1)
	}
	if v.byAddress[e.Address] == e {
		delete(v.byAddress, e.Address)
	}
}
