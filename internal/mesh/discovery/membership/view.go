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
	bounds       Bounds
	rng          *rand.Rand
	self         Member
	all          []*entry // by life
	members      map[uint64]*entry
	at           map[string]*entry
	ring         []*entry // all and this process, ordered by before
	ranked       []*entry // those that can be homes; nil when they are to be worked out anew
	endedLives   map[uint64]ended
	endedOrder   []uint64 // of endedLives, the oldest first
	contradicted []Gone   // lives that sent a message after their end was reported
	former       []former // dropped members, the newest last
	seeds        []string
	regions      map[string]string // of each zone ever heard of
	joined       bool              // seeds were asked
	next         time.Duration     // shuffle that this process begins
	paced        time.Duration     // the last of these
	far          time.Duration     // the next try of a seed or of any former member
	rejoin       time.Duration     // the next try of one that was dropped of late
	last         time.Duration     // call of Tick
	woken        time.Duration     // when this process last woke from a freeze; ages count from here at the earliest
	ticked       bool
	arrived      uint64
	news         time.Duration // the last arrival or end
	ended        time.Duration // the last end
	quiet        quiet
}

// New makes the view of a process that knows nobody.
func New(self Member, bounds Bounds, rng *rand.Rand) *View {
	v := &View{bounds: bounds.Filled(), rng: rng, self: self, members: map[uint64]*entry{}, at: map[string]*entry{},
		endedLives: map[uint64]ended{}, regions: map[string]string{}, quiet: newQuiet(), ended: -time.Hour}
	v.self.Heartbeat = max(v.self.Heartbeat, 1)
	v.ring = []*entry{{Member: v.self, mix: rendezvous.Mix(self.Life)}}
	v.Place(self.Zone, self.Region)
	return v
}

// Place says which region a zone is in.
func (v *View) Place(zone, region string) {
	if len(v.regions) < 1024 && region != "" {
		v.regions[zone] = region
	}
}

// Self is this process as it is sent to others.
func (v *View) Self() Member { return v.self }

// Seeds names the seeds as the settings have them now.
func (v *View) Seeds(_ time.Duration, addrs []string) {
	if !slices.Equal(v.seeds, addrs) {
		v.seeds, v.joined = slices.Clone(addrs), false
	}
}

// Next is when Tick has something to do.
func (v *View) Next() time.Duration { return v.next }

// Members are the live ones, this one among them, by address.
func (v *View) Members() []Member {
	all := append(make([]Member, 0, 1+len(v.all)), v.self)
	for _, e := range v.all {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Life, b.Life))
	})
	return all
}

// At is the member at an IP address: the sidecar of an endpoint before others, then the one heard of last.
func (v *View) At(ip string) (Member, bool) {
	if host(v.self.Address) == ip && v.self.Role == Access {
		return v.self, true
	}
	var best *entry
	for _, e := range v.all {
		if host(e.Address) == ip && (best == nil || cmp.Or(cmp.Compare(best.Role, e.Role), cmp.Compare(e.order, best.order)) > 0) {
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

// Lost reports that a connection to an address broke, or that its pings went unanswered.
func (v *View) Lost(now time.Duration, address string) {
	if e := v.at[address]; e != nil && e.state != missed {
		e.shift(now, missed)
		e.asked = now - v.bounds.Pace // it is asked at the next Tick
		v.noteNews(now, &v.quiet.differed)
	}
}

// Met reports that a life answered at an address directly.
func (v *View) Met(now time.Duration, address string, life uint64) {
	e := v.at[address]
	if e == nil || v.endedLives[life].replaced {
		return
	}
	if e.Life == life {
		e.seen = max(e.seen, now)
		e.shift(now, fresh)
		return
	}
	v.remove(e)
	v.rememberEnd(now, e.Life, ended{heartbeat: e.Heartbeat, address: address, replaced: true})
}

// Zones are those with live members, in order.
func (v *View) Zones() []string {
	v.derive()
	return slices.Clone(v.quiet.zones)
}

// Changes rises with each arrival, each end and each change of a record, so that what rests on the members need not be worked
// out again while it stays.
func (v *View) Changes() uint64 { return v.quiet.changes }

func (v *View) remove(e *entry) {
	delete(v.members, e.Life)
	v.invalidate()
	if i, ok := slices.BinarySearchFunc(v.all, e.Life, byLife); ok {
		v.all = slices.Delete(v.all, i, i+1)
	}
	if i, ok := slices.BinarySearchFunc(v.ring, e, before); ok {
		v.ring = slices.Delete(v.ring, i, i+1)
	}
	if v.at[e.Address] == e {
		delete(v.at, e.Address)
	}
}
