package membership

import "time"

// schedule holds the times of a view's last and next actions.
type schedule struct {
	started             bool          // Tick has been called
	lastTick            time.Duration // time of the last call of Tick
	resumedAt           time.Duration // end of the last freeze, or the first Tick; earlier times don't count towards timeouts
	lastGossip          time.Duration // time of the last regular shuffle
	nextGossip          time.Duration // time of the next regular shuffle
	nextReconnect       time.Duration // time of the next attempt to reach a seed or any departed member
	nextRecentReconnect time.Duration // time of the next attempt to reach a recently departed member
	lastUpdate          time.Duration // time of the last call of noteUpdate
	lastRemoval         time.Duration // time of the last departure of an unreachable member, or because of a peer's tombstone
}

// NextTick returns the time of the next regular shuffle, at which Tick should be called. Other calls on the view may make a shuffle due
// earlier. Only tests call NextTick: the agent calls Tick at a shorter, fixed interval.
func (v *View) NextTick() time.Duration { return v.schedule.nextGossip }

// noteUpdate records an update: the arrival of a member, the departure of a member that was unreachable or that a peer's tombstone reports,
// or the refutation of a suspicion or tombstone. The departure of a member whose heartbeat has timed out is not an update. An update is
// sent immediately while the view is quiet. Otherwise it is sent immediately if the previous update is more than a GossipInterval ago and
// the last regular shuffle more than a quarter of it.
func (v *View) noteUpdate(now time.Duration) {
	firstAfterPause := now-v.schedule.lastUpdate > v.config.GossipInterval
	if v.isQuiet(now) || firstAfterPause && now-v.schedule.lastGossip > v.config.GossipInterval/4 {
		v.gossipAtOnce(now)
	}
	v.schedule.lastUpdate = now
}

// noteDifference records that a peer knows other members than this process, or that a connection broke. After the call the view isn't
// quiet.
func (v *View) noteDifference(now time.Duration) {
	if v.isQuiet(now) {
		v.gossipAtOnce(now)
	}
	v.agreement.lastDiffered = now
}

// gossipAtOnce makes the next regular shuffle due immediately.
func (v *View) gossipAtOnce(now time.Duration) {
	v.schedule.nextGossip = min(v.schedule.nextGossip, now)
}

// isQuiet reports whether there has been neither an update nor a disagreement for QuietAfter, a peer had the same digests within the last
// FailureTimeout, and no member is unreachable.
func (v *View) isQuiet(now time.Duration) bool {
	agreed := v.agreement.lastAgreed != 0 && now-v.agreement.lastAgreed < v.config.FailureTimeout
	return agreed && v.sinceDifference(now) >= v.config.QuietAfter && !v.hasUnreachable()
}

// sinceDifference returns the time since the last update or disagreement.
func (v *View) sinceDifference(now time.Duration) time.Duration {
	return now - max(v.schedule.lastUpdate, v.agreement.lastDiffered)
}

// gossipInterval returns the time between two regular shuffles. While the view is quiet, it grows with the time since the last update or
// disagreement, from GossipInterval up to QuietGossipInterval.
func (v *View) gossipInterval(now time.Duration) time.Duration {
	if !v.isQuiet(now) {
		return v.config.GossipInterval
	}
	return max(v.config.GossipInterval, min(v.config.QuietGossipInterval, v.sinceDifference(now)/4))
}

// jitter returns a random duration that differs from d by up to 15%, so that members don't act all at the same time.
func (v *View) jitter(d time.Duration) time.Duration {
	return d * time.Duration(85+v.rng.IntN(31)) / 100
}
