package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Registry holds the records of the endpoints that one process knows. NewRegistry makes one.
type Registry struct {
	config           Config
	records          map[string]*record   // by ID
	byAppAddress     map[string][]*record // in the order of their arrival
	byService        map[string][]*record // ordered by ID
	version          uint64               // counts changes and renewals
	forgottenVersion map[string]uint64    // by service: the highest version of a record that was forgotten
	tombstones       []*record            // endpoints that ended, the oldest first; some may have come back
	lastExpire       time.Duration        // last call of Expire
}

// NewRegistry returns an empty registry.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config:           config.WithDefaults(),
		records:          map[string]*record{},
		byAppAddress:     map[string][]*record{},
		byService:        map[string][]*record{},
		forgottenVersion: map[string]uint64{},
	}
}

// Apply applies a record that was received, and reports whether that changed anything that others are to be notified of: more than
// leases, sequences and warm-up times. A record without an ID is ignored.
func (r *Registry) Apply(now time.Duration, e Endpoint) (changed bool) {
	if e.ID == "" {
		return false
	}
	rec := r.records[e.ID]
	if rec == nil {
		rec = r.add(now, e)
		r.noteChange(now, rec)
		r.supersede(now, rec.AppAddress)
		return true
	}
	before := rec.visible()
	taken := rec.merge(now, e)
	changed = before != rec.visible()
	switch {
	case changed:
		r.noteChange(now, rec)
	case taken:
		r.advanceVersion(rec)
	}
	return r.supersede(now, rec.AppAddress) || changed
}

// add adds the record of an endpoint that isn't known, and indexes it.
func (r *Registry) add(now time.Duration, e Endpoint) *record {
	rec := newRecord(now, e)
	r.records[rec.ID] = rec
	r.byAppAddress[rec.AppAddress] = append(r.byAppAddress[rec.AppAddress], rec)
	ofService := r.byService[rec.Service]
	i, _ := slices.BinarySearchFunc(ofService, rec.ID, compareID)
	r.byService[rec.Service] = slices.Insert(ofService, i, rec)
	return rec
}

// advanceVersion gives a record that was changed or renewed the next version of the registry.
func (r *Registry) advanceVersion(rec *record) {
	r.version++
	rec.version = r.version
}

// noteChange advances the version of a record that has changed. If the endpoint has ended, the record becomes a tombstone, for which the
// oldest one may be forgotten.
func (r *Registry) noteChange(now time.Duration, rec *record) {
	r.advanceVersion(rec)
	if rec.hasEnded() {
		rec.endedAt = now
		if !rec.inTombstones {
			rec.inTombstones = true
			r.tombstones = append(r.tombstones, rec)
		}
	}
	for len(r.tombstones) > r.config.MaxTombstones {
		r.forgetOldestTombstone()
	}
}

// forgetOldestTombstone removes the oldest tombstone, and forgets its endpoint unless that has come back.
func (r *Registry) forgetOldestTombstone() {
	rec := r.tombstones[0]
	r.tombstones = r.tombstones[1:]
	rec.inTombstones = false
	if !rec.hasEnded() {
		return
	}
	delete(r.records, rec.ID)
	r.forgottenVersion[rec.Service] = max(r.forgottenVersion[rec.Service], rec.version)
	removeFromIndex(r.byAppAddress, rec.AppAddress, rec)
	removeFromIndex(r.byService, rec.Service, rec)
}

// removeFromIndex removes a record from the list of a key, and the key if the list is empty then.
func removeFromIndex(index map[string][]*record, key string, rec *record) {
	rest := slices.DeleteFunc(index[key], func(other *record) bool { return other == rec })
	if len(rest) == 0 {
		delete(index, key)
		return
	}
	index[key] = rest
}

// supersede deregisters the endpoints at an address whose own publisher has announced a later endpoint there. It reports whether there
// were any.
func (r *Registry) supersede(now time.Duration, appAddress string) (changed bool) {
	atAddress := r.byAppAddress[appAddress]
	for _, rec := range atAddress {
		for _, other := range atAddress {
			if !rec.deregistered && rec.isSupersededBy(other) {
				rec.deregistered = true
				changed = true
				r.noteChange(now, rec)
			}
		}
	}
	return changed
}

// Expire takes endpoints for crashed whose leases have expired or whose addresses were taken over, and forgets those that ended long ago.
// It returns the endpoints that have crashed, ordered by ID. It is to be called every second at least: after a gap of FreezeThreshold
// this process is assumed to have been frozen, and leases are extended.
func (r *Registry) Expire(now time.Duration) (changed []Endpoint) {
	if now-r.lastExpire > r.config.FreezeThreshold {
		r.extendLeases(now)
	}
	r.lastExpire = now
	for _, id := range r.sortedIDs() {
		rec := r.records[id]
		if rec.hasEnded() || now < rec.leaseEnd && !r.isTakenOver(now, rec) {
			continue
		}
		rec.expired = true
		r.noteChange(now, rec)
		changed = append(changed, rec.snapshot(now))
	}
	r.forgetOldTombstones(now)
	return changed
}

// extendLeases extends the leases after this process was frozen, so that renewals that have arrived meanwhile can be processed.
func (r *Registry) extendLeases(now time.Duration) {
	for _, rec := range r.records {
		rec.leaseEnd = max(rec.leaseEnd, now+r.config.TakeoverTimeout)
		rec.renewedAt = max(rec.renewedAt, now)
	}
}

// forgetOldTombstones forgets the endpoints that ended TombstoneRetention ago or earlier.
func (r *Registry) forgetOldTombstones(now time.Duration) {
	for len(r.tombstones) > 0 {
		oldest := r.tombstones[0]
		if oldest.hasEnded() && now-oldest.endedAt < r.config.TombstoneRetention {
			return
		}
		r.forgetOldestTombstone()
	}
}

// isTakenOver reports whether another endpoint has taken over the address of a record: the other is renewed, and the record no longer is.
// It depends on the time alone, as the revisions that supersede compares mean nothing if the two have different publishers.
func (r *Registry) isTakenOver(now time.Duration, rec *record) bool {
	if now-rec.renewedAt < r.config.TakeoverTimeout {
		return false
	}
	return slices.ContainsFunc(r.byAppAddress[rec.AppAddress], func(other *record) bool {
		return other != rec && !other.hasEnded() && now-other.renewedAt < r.config.TakeoverTimeout
	})
}

// sortedIDs returns the IDs of all records, sorted.
func (r *Registry) sortedIDs() []string {
	ids := make([]string, 0, len(r.records))
	ids = slices.AppendSeq(ids, maps.Keys(r.records))
	slices.Sort(ids)
	return ids
}

// List returns the records of a service's endpoints, ordered by ID, also of those that have ended while they are remembered. Leases and
// warm-up times are what is left of them now.
func (r *Registry) List(now time.Duration, service string) []Endpoint {
	return r.changedAfter(now, service, 0)
}

// changedAfter returns the records of a service that were changed or renewed after a version.
func (r *Registry) changedAfter(now time.Duration, service string, version uint64) []Endpoint {
	var changed []Endpoint
	for _, rec := range r.byService[service] {
		if rec.version > version {
			changed = append(changed, rec.snapshot(now))
		}
	}
	return changed
}

// All returns the records of all services, ordered by ID.
func (r *Registry) All(now time.Duration) []Endpoint {
	var all []Endpoint
	for _, id := range r.sortedIDs() {
		all = append(all, r.records[id].snapshot(now))
	}
	return all
}

// Version returns the number of changes and renewals so far.
func (r *Registry) Version() uint64 { return r.version }

// ChangedSince returns the records of a service that were changed or renewed after a version of this registry, and the present version.
// If ok is false, changed is the complete list instead: records that have changed since the version are forgotten, or the version is
// higher than the present one, and thus of another registry.
func (r *Registry) ChangedSince(now time.Duration, service string, version uint64) (changed []Endpoint, to uint64, ok bool) {
	if version < r.forgottenVersion[service] || version > r.version {
		return r.List(now, service), r.version, false
	}
	return r.changedAfter(now, service, version), r.version, true
}

// EndpointAt returns the endpoint at an address: of several, one that hasn't ended, and of these the one that was renewed last. It
// reports false if none is known there.
func (r *Registry) EndpointAt(now time.Duration, appAddress string) (Endpoint, bool) {
	atAddress := r.byAppAddress[appAddress]
	if len(atAddress) == 0 {
		return Endpoint{}, false
	}
	return slices.MinFunc(atAddress, compareAtAddress).snapshot(now), true
}

// compareAtAddress orders the records at one address: the first is the one that EndpointAt returns.
func compareAtAddress(a, b *record) int {
	if a.hasEnded() != b.hasEnded() {
		if a.hasEnded() {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.renewedAt, a.renewedAt), cmp.Compare(a.ID, b.ID))
}
