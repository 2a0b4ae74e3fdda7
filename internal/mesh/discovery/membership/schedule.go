package membership

import "time"

// schedule holds the times of a view's last and next actions.
type schedule struct {
	started             bool          // Tick was called
	lastTick            time.Duration // last call of Tick
	resumedAt           time.Duration // end of the last freeze, or the first Tick; ages are counted from then at the earliest
	lastGossip          time.Duration // last regular shuffle
	nextGossip          time.Duration // next regular shuffle
	nextReconnect       time.Duration // next attempt to reach a seed or any departed member
	nextRecentReconnect time.Duration // next attempt to reach a member that departed lately
	lastUpdate          time.Duration // last call of noteUpdate: an arrival, a refutation, or a departure as in lastRemoval
	lastRemoval         time.Duration // last departure of an unreachable member, or by a peer's tombstone
}

// NextTick returns the time of the next regular shuffle, at which Tick is to be called. Other calls on the view may make something due
// before that. No program calls it: the agent calls Tick at a fixed interval, which is shorter.
func (v *View) NextTick() time.Duration { return v.schedule.nextGossip }

// noteUpdate records that a member arrived, that one departed as unreachable or by a peer's tombstone, or that a suspicion or a tombstone
// was refuted. It is not called for a member whose heartbeat has timed out. The first update after a while, and any while the view is
// quiet, is sent at once.
func (v *View) noteUpdate(now time.Duration) {
	isFirst := now-v.schedule.lastUpdate > v.config.GossipInterval
	if v.isQuiet(now) || isFirst && now-v.schedule.lastGossip > v.config.GossipInterval/4 {
		v.gossipAtOnce(now)
	}
	v.schedule.lastUpdate = now
}

// noteDifference records that a peer knows other members than this process, or that a connection broke. The view is no longer quiet after
// that.
func (v *View) noteDifference(now time.Duration) {
	if v.isQuiet(now) {
		v.gossipAtOnce(now)
	}
	v.agreement.lastDiffered = now
}

// gossipAtOnce makes the next regular shuffle due now.
func (v *View) gossipAtOnce(now time.Duration) {
	v.schedule.nextGossip = min(v.schedule.nextGossip, now)
}

// isQuiet reports whether there has been neither an update nor a disagreement for QuietAfter, a peer's digests were equal to the own ones
// lately, and no member is unreachable.
func (v *View) isQuiet(now time.Duration) bool {
	agreed := v.agreement.lastAgreed != 0 && now-v.agreement.lastAgreed < v.config.FailureTimeout
	return agreed && v.sinceDifference(now) >= v.config.QuietAfter && !v.hasUnreachable()
}

// sinceDifference returns the time since the last update or disagreement.
func (v *View) sinceDifference(now time.Duration) time.Duration {
	return now - max(v.schedule.lastUpdate, v.agreement.lastDiffered)
}

// gossipInterval returns the time between two regular shuffles. While the view is quiet it grows with the time since the last update.
func (v *View) gossipInterval(now time.Duration) time.Duration {
	if !v.isQuiet(now) {
		return v.config.GossipInterval
	}
	return max(v.config.GossipInterval, min(v.config.QuietGossipInterval, v.sinceDifference(now)/4))
}

// jitter returns a time that differs by up to 15% from d, so that members don't act all at once.
func (v *View) jitter(d time.Duration) time.Duration {
	return d * time.Duration(85+v.rng.IntN(31)) / 100
}
