package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Registry holds the records of the endpoints that one process knows. Create it with NewRegistry. At most Config.MaxTombstones endpoints
// that have ended are retained; the number of others is that of the leases that publishers hold.
type Registry struct {
	config       Config
	entries      map[string]*registryEntry   // entries by endpoint ID
	byAppAddress map[string][]*registryEntry // entries by AppAddress, in the order of their insertion
	byService    map[string][]*registryEntry // entries by service, ordered by ID
	version      uint64                      // number of changes and renewals so far
	discarded    discardedVersions
	tombstones   []*registryEntry // endpoints that ended, the oldest first; some may have been restored since
	lastExpire   time.Duration    // time of the last call of Expire
}

// NewRegistry returns an empty registry.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config:       config.WithDefaults(),
		entries:      map[string]*registryEntry{},
		byAppAddress: map[string][]*registryEntry{},
		byService:    map[string][]*registryEntry{},
		discarded:    discardedVersions{byService: map[string]uint64{}},
	}
}

// Apply applies a received record, and reports whether it changed anything of which other processes must be notified. Changes of leases,
// sequences and warm-up times need no notification. A record without an ID is ignored.
func (r *Registry) Apply(now time.Duration, e Endpoint) (changed bool) {
	if e.ID == "" {
		return false
	}
	entry := r.entries[e.ID]
	if entry == nil {
		entry = r.add(now, e)
		r.noteChange(now, entry)
		r.supersede(now, entry.AppAddress)
		return true
	}
	before := entry.visibleFields()
	accepted := entry.merge(now, e)
	changed = before != entry.visibleFields()
	switch {
	case changed:
		r.noteChange(now, entry)
	case accepted:
		r.advanceVersion(entry)
	}
	return r.supersede(now, entry.AppAddress) || changed
}

// add adds an entry for a new endpoint to the registry and its indexes.
func (r *Registry) add(now time.Duration, e Endpoint) *registryEntry {
	entry := newRegistryEntry(now, e)
	r.entries[entry.ID] = entry
	r.byAppAddress[entry.AppAddress] = append(r.byAppAddress[entry.AppAddress], entry)
	ofService := r.byService[entry.Service]
	i, _ := slices.BinarySearchFunc(ofService, entry.ID, compareID)
	r.byService[entry.Service] = slices.Insert(ofService, i, entry)
	return entry
}

// advanceVersion advances the version of the registry, and assigns it to an entry that was changed or renewed.
func (r *Registry) advanceVersion(entry *registryEntry) {
	r.version++
	entry.version = r.version
}

// noteChange advances the version of an entry that has changed. If the endpoint has ended, the entry becomes a tombstone. The oldest
// tombstones are discarded if there are more than MaxTombstones.
func (r *Registry) noteChange(now time.Duration, entry *registryEntry) {
	r.advanceVersion(entry)
	if entry.hasEnded() {
		entry.endedAt = now
		if !entry.inTombstones {
			entry.inTombstones = true
			r.tombstones = append(r.tombstones, entry)
		}
	}
	for len(r.tombstones) > r.config.MaxTombstones {
		r.discardOldestTombstone()
	}
}

// discardOldestTombstone removes the oldest tombstone, and discards its entry unless the endpoint was restored.
func (r *Registry) discardOldestTombstone() {
	entry := r.tombstones[0]
	r.tombstones = r.tombstones[1:]
	entry.inTombstones = false
	if !entry.hasEnded() {
		return
	}
	delete(r.entries, entry.ID)
	r.discarded.add(entry.Service, entry.version, r.config.MaxTombstones)
	removeFromIndex(r.byAppAddress, entry.AppAddress, entry)
	removeFromIndex(r.byService, entry.Service, entry)
}

// removeFromIndex removes an entry from the list of a key, and removes the key if its list becomes empty.
func removeFromIndex(index map[string][]*registryEntry, key string, entry *registryEntry) {
	rest := slices.DeleteFunc(index[key], func(other *registryEntry) bool { return other == entry })
	if len(rest) == 0 {
		delete(index, key)
		return
	}
	index[key] = rest
}

// supersede deregisters the endpoints at an address that are superseded by a later endpoint of the same publisher there. It reports whether
// there were any.
func (r *Registry) supersede(now time.Duration, appAddress string) (changed bool) {
	if len(r.byAppAddress[appAddress]) < 2 {
		return false
	}
	atAddress := slices.Clone(r.byAppAddress[appAddress]) // noteChange may discard entries
	for _, entry := range atAddress {
		if entry.deregistered || r.entries[entry.ID] != entry || !slices.ContainsFunc(atAddress, entry.isSupersededBy) {
			continue
		}
		entry.deregistered = true
		changed = true
		r.noteChange(now, entry)
	}
	return changed
}

// Expire marks endpoints as crashed if their leases have expired or their addresses were taken over, and discards endpoints that ended
// TombstoneRetention ago. It returns the endpoints that it has marked as crashed, ordered by ID. It must be called at least every second:
// if more than FreezeThreshold has passed since the last call, this process is assumed to have been frozen, and leases are extended.
func (r *Registry) Expire(now time.Duration) (changed []Endpoint) {
	if now-r.lastExpire > r.config.FreezeThreshold {
		r.extendLeases(now)
	}
	r.lastExpire = now
	for _, entry := range r.sortedEntries() { // noteChange may discard entries that have ended
		if entry.hasEnded() || now < entry.leaseEnd && !r.isTakenOver(now, entry) {
			continue
		}
		entry.expired = true
		r.noteChange(now, entry)
		changed = append(changed, entry.snapshot(now))
	}
	r.discardExpiredTombstones(now)
	return changed
}

// extendLeases extends the leases after this process was frozen, so that renewals that arrived in the meantime can be processed.
func (r *Registry) extendLeases(now time.Duration) {
	for _, entry := range r.entries {
		entry.leaseEnd = max(entry.leaseEnd, now+r.config.TakeoverTimeout)
		entry.renewedAt = max(entry.renewedAt, now)
	}
}

// discardExpiredTombstones discards the endpoints that ended TombstoneRetention ago or earlier.
func (r *Registry) discardExpiredTombstones(now time.Duration) {
	for len(r.tombstones) > 0 {
		oldest := r.tombstones[0]
		if oldest.hasEnded() && now-oldest.endedAt < r.config.TombstoneRetention {
			return
		}
		r.discardOldestTombstone()
	}
}

// isTakenOver reports whether another endpoint has taken over the address of an entry: the other one hasn't ended and was renewed within
// TakeoverTimeout, and the entry wasn't. The result depends only on times. Revisions, which supersede uses, can be compared only between
// records of the same publisher.
func (r *Registry) isTakenOver(now time.Duration, entry *registryEntry) bool {
	if now-entry.renewedAt < r.config.TakeoverTimeout {
		return false
	}
	return slices.ContainsFunc(r.byAppAddress[entry.AppAddress], func(other *registryEntry) bool {
		return other != entry && !other.hasEnded() && now-other.renewedAt < r.config.TakeoverTimeout
	})
}

// sortedEntries returns all entries, ordered by ID.
func (r *Registry) sortedEntries() []*registryEntry {
	entries := make([]*registryEntry, 0, len(r.entries))
	entries = slices.AppendSeq(entries, maps.Values(r.entries))
	slices.SortFunc(entries, func(a, b *registryEntry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// List returns the records of a service's endpoints, ordered by ID, including retained endpoints that have ended. Leases and warm-up times
// are those that remain at the given time.
func (r *Registry) List(now time.Duration, service string) []Endpoint {
	return r.changedAfter(now, service, 0)
}

// changedAfter returns the records of a service that were changed or renewed after a version.
func (r *Registry) changedAfter(now time.Duration, service string, version uint64) []Endpoint {
	var changed []Endpoint
	for _, entry := range r.byService[service] {
		if entry.version > version {
			changed = append(changed, entry.snapshot(now))
		}
	}
	return changed
}

// All returns the records of all services, ordered by ID.
func (r *Registry) All(now time.Duration) []Endpoint {
	var all []Endpoint
	for _, entry := range r.sortedEntries() {
		all = append(all, entry.snapshot(now))
	}
	return all
}

// Version returns the number of changes and renewals so far.
func (r *Registry) Version() uint64 { return r.version }

// ChangedSince returns the records of a service that were changed or renewed after a version of this registry, and the current version. If
// ok is false, changed is the complete list instead, either because records that changed after the version were discarded, or because the
// version is higher than the current one, and thus belongs to another registry.
func (r *Registry) ChangedSince(now time.Duration, service string, version uint64) (changed []Endpoint, to uint64, ok bool) {
	if version < r.discarded.of(service) || version > r.version {
		return r.List(now, service), r.version, false
	}
	return r.changedAfter(now, service, version), r.version, true
}

// EndpointAt returns the endpoint at an address. If there are several, it prefers endpoints that haven't ended, and then the one that was
// renewed last. It returns false if no endpoint is known at the address. Only tests call it so far.
func (r *Registry) EndpointAt(now time.Duration, appAddress string) (Endpoint, bool) {
	atAddress := r.byAppAddress[appAddress]
	if len(atAddress) == 0 {
		return Endpoint{}, false
	}
	return slices.MinFunc(atAddress, compareAtAddress).snapshot(now), true
}

// compareAtAddress orders the entries at one address so that the one that EndpointAt returns comes first.
func compareAtAddress(a, b *registryEntry) int {
	if a.hasEnded() != b.hasEnded() {
		if a.hasEnded() {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.renewedAt, a.renewedAt), cmp.Compare(a.ID, b.ID))
}
