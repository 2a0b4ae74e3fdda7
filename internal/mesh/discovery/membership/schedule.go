package membership

import "time"

// schedule is when a view did what it does by the clock, and when it does so next.
type schedule struct {
	started             bool          // Tick was called
	lastTick            time.Duration // call of Tick
	resumedAt           time.Duration // when this process last came out of a freeze; ages count from here at the earliest
	lastGossip          time.Duration // shuffle that this process began by itself
	nextGossip          time.Duration
	nextReconnect       time.Duration // attempt to reach a seed or any departed member
	nextRecentReconnect time.Duration // attempt to reach one that departed lately
	lastUpdate          time.Duration // arrival, departure or refutation
	lastRemoval         time.Duration // departure with a tombstone
}

// NextTick is when Tick has something to do by the clock. It may have before that, after other calls.
func (v *View) NextTick() time.Duration { return v.schedule.nextGossip }

// noteUpdate notes that a member arrived or departed, or that a suspicion was refuted. The first update after a while is sent at once.
func (v *View) noteUpdate(now time.Duration) {
	isFirst := now-v.schedule.lastUpdate > v.config.GossipInterval
	if v.isQuiet(now) || isFirst && now-v.schedule.lastGossip > v.config.GossipInterval/4 {
		v.gossipAtOnce(now)
	}
	v.schedule.lastUpdate = now
}

// noteDifference notes that a peer knows other members than this process, or that a connection broke, which ends the quiet.
func (v *View) noteDifference(now time.Duration) {
	if v.isQuiet(now) {
		v.gossipAtOnce(now)
	}
	v.agreement.lastDiffered = now
}

func (v *View) gossipAtOnce(now time.Duration) {
	v.schedule.nextGossip = min(v.schedule.nextGossip, now)
}

// isQuiet reports whether there has been no update for a while, and peers agree.
func (v *View) isQuiet(now time.Duration) bool {
	agreed := v.agreement.lastAgreed != 0 && now-v.agreement.lastAgreed < v.config.FailureTimeout
	return agreed && v.sinceDifference(now) >= v.config.QuietAfter && !v.hasUnreachable()
}

// sinceDifference is the time since the last update or disagreement.
func (v *View) sinceDifference(now time.Duration) time.Duration {
	return now - max(v.schedule.lastUpdate, v.agreement.lastDiffered)
}

// gossipInterval is the time between two shuffles; while the view is quiet it grows with the time since the last update.
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
