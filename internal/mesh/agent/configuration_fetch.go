package agent

import (
	"math"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

const (
	// fetchTimeout is the time after which a version may be fetched again if its text has not arrived.
	fetchTimeout = 300 * time.Millisecond
	// versionOnly is the version in a request that asks for a peer's version without the text. A peer sends its text only if its version
	// is higher than the one in the request, and no version is higher than this one.
	versionOnly = math.MaxUint64
)

// handlePeerVersion implements versionExchange. It fetches a version that is higher than the applied one from the peer that has it. A
// process without a configuration first polls other members for their versions.
func (c *configurationUpdater) handlePeerVersion(peer string, version uint64) {
	var peersToPoll []string
	c.mu.Lock()
	appliedVersion := c.current.Version
	if appliedVersion == 0 && version > 0 {
		peersToPoll = c.poll.observe(c.now(), peer, version, c.pollCandidatesLocked)
	}
	c.mu.Unlock()
	switch {
	case appliedVersion >= version:
	case appliedVersion > 0:
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

// pollVersions requests the applied versions of peers, without their texts.
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

// recordPollAnswer records the applied version reported by a polled peer.
func (c *configurationUpdater) recordPollAnswer(peer string, version uint64) {
	c.mu.Lock()
	c.poll.record(peer, version)
	c.mu.Unlock()
	c.finishPoll()
}

// finishPoll fetches the newest version found by the version poll, if the poll has ended.
func (c *configurationUpdater) finishPoll() {
	c.mu.Lock()
	peer, version, ok := c.poll.finish(c.now())
	c.mu.Unlock()
	if ok {
		c.fetch(peer, version)
	}
}

// fetch requests a version from a peer that has it, unless the version is already applied or being fetched. The reply is applied on a
// separate goroutine, because OnConfiguration may take long and must not block the link's reader.
func (c *configurationUpdater) fetch(peer string, version uint64) {
	appliedVersion, ok := c.beginFetch(version)
	if !ok {
		return
	}
	c.send(peer, methodConfiguration, &configurationText{Version: appliedVersion}, func(body []byte) {
		var fetched configurationText
		if len(body) > 0 && codec.Unmarshal(body, &fetched) == nil && fetched.Version > 0 && len(fetched.Text) > 0 {
			c.applyFetched(&fetched)
		}
	})
}

// beginFetch marks a version as being fetched, and returns the applied version. It reports false if the version is already applied or
// being fetched.
func (c *configurationUpdater) beginFetch(version uint64) (appliedVersion uint64, ok bool) {
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

// applyFetched applies a fetched configuration on a new goroutine, for which stop waits. After stop it has no effect.
func (c *configurationUpdater) applyFetched(fetched *configurationText) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		c.applying.Go(func() { c.apply(fetched.Version, fetched.Text) })
	}
}
