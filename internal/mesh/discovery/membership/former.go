package membership

import (
	"slices"
	"time"
)

// former is a member that was dropped. It may only have been cut off: it is tried again, so that two parts of the system that
// lost each other meet soon after they can.
type former struct {
	address string
	at      time.Duration // when it was dropped
}

// drop forgets an entry; its address is tried again now and then.
func (v *View) drop(now time.Duration, e *entry) {
	v.remove(e)
	v.former = slices.DeleteFunc(v.former, func(f former) bool { return f.address == e.Address })
	v.former = append(v.former, former{e.Address, now})
	if len(v.former) > v.bounds.Dead {
		v.former = slices.Delete(v.former, 0, 1)
	}
}

// tryFormer gives one of the members that were dropped of late, every Rejoin: while a cut lasts it costs an attempt to connect,
// and after it the parts meet within a second or two, however few they are.
func (v *View) tryFormer(now time.Duration) (to []string) {
	if now < v.rejoin {
		return nil
	}
	v.rejoin = now + v.vary(v.bounds.Rejoin)
	first := slices.IndexFunc(v.former, func(f former) bool { return now-f.at < v.bounds.RejoinFor })
	if first < 0 {
		return nil
	}
	recent := v.former[first:]
	return v.others([]string{recent[v.rng.IntN(len(recent))].address})
}

// tryFar gives one seed or former member, however long ago it was dropped, every Far, and less often while all is quiet.
func (v *View) tryFar(now time.Duration) (to []string) {
	if now < v.far {
		return nil
	}
	v.far = now + v.vary(v.bounds.Far*v.pace(now)/v.bounds.Pace)
	from := slices.Clone(v.seeds)
	for _, f := range v.former {
		from = append(from, f.address)
	}
	if len(from) == 0 {
		return nil
	}
	return v.others([]string{from[v.rng.IntN(len(from))]})
}

// vary gives a time that differs by up to 15% from d, so that members don't act all at once.
func (v *View) vary(d time.Duration) time.Duration {
	return d * time.Duration(85+v.rng.IntN(31)) / 100
}
