package membership

import (
	"slices"
	"time"
)

// departedMember is a member that was dropped. It may only have been cut off: it is tried again, so that two parts of the system that
// lost each other meet soon after they can.
type departedMember struct {
	address    string
	departedAt time.Duration // when it was dropped
}

// depart forgets an entry; its address is tried again now and then.
func (v *View) depart(now time.Duration, e *entry) {
	v.remove(e)
	v.departed = slices.DeleteFunc(v.departed, func(f departedMember) bool { return f.address == e.Address })
	v.departed = append(v.departed, departedMember{e.Address, now})
	if len(v.departed) > v.config.MaxTombstones {
		v.departed = slices.Delete(v.departed, 0, 1)
	}
}

// reconnectRecent gives one of the members that were dropped of late, every Rejoin: while a cut lasts it costs an attempt to connect,
// and after it the parts meet within a second or two, however few they are.
func (v *View) reconnectRecent(now time.Duration) (to []string) {
	if now < v.nextRecentReconnect {
		return nil
	}
	v.nextRecentReconnect = now + v.jitter(v.config.RecentReconnectInterval)
	first := slices.IndexFunc(v.departed, func(f departedMember) bool { return now-f.departedAt < v.config.RecentReconnectWindow })
	if first < 0 {
		return nil
	}
	recent := v.departed[first:]
	return v.withoutSelf([]string{recent[v.rng.IntN(len(recent))].address})
}

// reconnectAny gives one seed or former member, however long ago it was dropped, every Far, and less often while all is quiet.
func (v *View) reconnectAny(now time.Duration) (to []string) {
	if now < v.nextReconnect {
		return nil
	}
	v.nextReconnect = now + v.jitter(v.config.ReconnectInterval*v.gossipInterval(now)/v.config.GossipInterval)
	from := slices.Clone(v.seeds)
	for _, f := range v.departed {
		from = append(from, f.address)
	}
	if len(from) == 0 {
		return nil
	}
	return v.withoutSelf([]string{from[v.rng.IntN(len(from))]})
}

// jitter gives a time that differs by up to 15% from d, so that members don't act all at once.
func (v *View) jitter(d time.Duration) time.Duration {
	return d * time.Duration(85+v.rng.IntN(31)) / 100
}
