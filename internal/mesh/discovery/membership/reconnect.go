package membership

import (
	"slices"
	"time"
)

// departedMember is the address of a member that has departed. The member may only have been partitioned from this process. Connections to
// its address are tried again, so that separated processes find each other soon after a partition ends.
type departedMember struct {
	address    string
	departedAt time.Duration
}

// departedList holds the departed members, ordered from the first to the last departure. When it exceeds its capacity, the first is
// evicted.
type departedList struct {
	capacity int
	members  []departedMember
}

// add adds an address, or moves it to the end of the list.
func (d *departedList) add(now time.Duration, address string) {
	d.remove(address)
	d.members = append(d.members, departedMember{address, now})
	if len(d.members) > d.capacity {
		d.members = slices.Delete(d.members, 0, 1)
	}
}

// remove removes an address, if it is in the list.
func (d *departedList) remove(address string) {
	d.members = slices.DeleteFunc(d.members, func(m departedMember) bool { return m.address == address })
}

// since returns the members that departed after the given time.
func (d *departedList) since(at time.Duration) []departedMember {
	first := slices.IndexFunc(d.members, func(m departedMember) bool { return m.departedAt > at })
	if first < 0 {
		return nil
	}
	return d.members[first:]
}

// depart removes a member from the view, and stores its address for reconnecting.
func (v *View) depart(now time.Duration, e *entry) {
	v.remove(e)
	v.departed.add(now, e.Address)
}

// reconnectRecent returns, once in each RecentReconnectInterval, the address of a random member that departed within RecentReconnectWindow.
// During a partition each attempt costs one failed connection. After a partition the separated processes find each other within a second
// or two, even if there are few of them.
func (v *View) reconnectRecent(now time.Duration) []string {
	if now < v.schedule.nextRecentReconnect {
		return nil
	}
	v.schedule.nextRecentReconnect = now + v.jitter(v.config.RecentReconnectInterval)
	recent := v.departed.since(now - v.config.RecentReconnectWindow)
	if len(recent) == 0 {
		return nil
	}
	return v.withoutSelf([]string{recent[v.rng.IntN(len(recent))].address})
}

// reconnectAny returns, once in each ReconnectInterval, the address of a random seed or departed member, however long ago it departed. The
// interval is longer while the view is quiet.
func (v *View) reconnectAny(now time.Duration) []string {
	if now < v.schedule.nextReconnect {
		return nil
	}
	interval := v.config.ReconnectInterval * v.gossipInterval(now) / v.config.GossipInterval
	v.schedule.nextReconnect = now + v.jitter(interval)
	addresses := slices.Clone(v.seeds)
	for _, d := range v.departed.members {
		addresses = append(addresses, d.address)
	}
	if len(addresses) == 0 {
		return nil
	}
	return v.withoutSelf([]string{addresses[v.rng.IntN(len(addresses))]})
}

// contactSeeds returns the addresses of all seeds at the first call after SetSeeds has changed them. At later calls it returns one random
// seed while the view has fewer than BootstrapThreshold members.
func (v *View) contactSeeds(now time.Duration) []string {
	switch {
	case !v.seedsContacted:
		v.seedsContacted = true
		v.schedule.nextReconnect = now + v.jitter(v.config.ReconnectInterval)
		return v.withoutSelf(v.seeds)
	case len(v.table.entries) < v.config.BootstrapThreshold && len(v.seeds) > 0:
		return v.withoutSelf([]string{v.seeds[v.rng.IntN(len(v.seeds))]})
	}
	return nil
}

// withoutSelf returns a copy of a list of addresses without the address of this process.
func (v *View) withoutSelf(addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == v.self.Address })
}
