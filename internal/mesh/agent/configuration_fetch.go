package agent

import (
	"math"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

const (
	// fetchTimeout is the time until a version whose text has not arrived may be fetched again.
	fetchTimeout = 300 * time.Millisecond
	// versionOnly stands for the requester's version in a request for a peer's version without its text: no text is newer than that.
	versionOnly = math.MaxUint64
)

// learnVersion implements versionExchange: a version above the applied one is fetched from the peer that has it. A process without a
// configuration polls other members first.
func (c *configurationUpdater) learnVersion(peer string, version uint64) {
	var peersToPoll []string
	c.mu.Lock()
	present := c.current.Version
	if present == 0 && version > 0 {
		peersToPoll = c.poll.observe(c.now(), peer, version, c.pollCandidatesLocked)
	}
	c.mu.Unlock()
	switch {
	case present >= version:
	case present > 0:
		c.fetch(peer, version)
	default:
		c.pollVersions(peersToPoll)
		c.finishPoll()
	}
}

// pollCandidatesLocked returns the addresses of the other members in random order.
func (c *configurationUpdater) pollCandidatesLocked() []string {
	others := c.members.othersLocked()
	return c.sampleLocked(others, len(others))
}

// pollVersions requests the applied versions of peers.
func (c *configurationUpdater) pollVersions(peers []string) {
	for _, peer := range peers {
		c.send(peer, methodConfiguration, &configurationText{Version: versionOnly}, func(body []byte) {
			var answer configurationText
			if len(body) == 0 || codec.Unmarshal(body, &answer) == nil {
				c.recordPollAnswer(peer, answer.Version)
			}
		})
	}
}

// recordPollAnswer records the applied version of a peer that was polled.
func (c *configurationUpdater) recordPollAnswer(peer string, version uint64) {
	c.mu.Lock()
	c.poll.record(peer, version)
	c.mu.Unlock()
	c.finishPoll()
}

// finishPoll fetches the newest version that the version poll has found, if the poll is complete.
func (c *configurationUpdater) finishPoll() {
	c.mu.Lock()
	peer, version, ok := c.poll.finish(c.now())
	c.mu.Unlock()
	if ok {
		c.fetch(peer, version)
	}
}

// fetch requests a version from a peer that has it, unless it is applied or being fetched already. The answer is applied on a goroutine
// of its own, as OnConfiguration may take long and the link's reader must not wait.
func (c *configurationUpdater) fetch(peer string, version uint64) {
	present, ok := c.beginFetch(version)
	if !ok {
		return
	}
	c.send(peer, methodConfiguration, &configurationText{Version: present}, func(body []byte) {
		var fetched configurationText
		if len(body) > 0 && codec.Unmarshal(body, &fetched) == nil && fetched.Version > 0 && len(fetched.Text) > 0 {
			c.applyFetched(&fetched)
		}
	})
}

// beginFetch marks a version as being fetched, and returns the applied one. It reports false if there is nothing to fetch.
func (c *configurationUpdater) beginFetch(version uint64) (present uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	beingFetched := version <= c.fetching && now < c.fetchDeadline
	if version <= c.current.Version || beingFetched {
		return 0, false
	}
	c.fetching = version
	c.fetchDeadline = now + fetchTimeout
	return c.current.Version, true
}

// applyFetched applies a fetched configuration on a goroutine that stop waits for.
func (c *configurationUpdater) applyFetched(fetched *configurationText) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		c.applying.Go(func() { c.apply(fetched.Version, fetched.Text) })
	}
}
