package standalone

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/idempotency"
	"quincegap/internal/network/exchange"
)

// outcomeSyncDelay is how long the record of an attempt's outcome may wait to be synced together with another record. Losing it is safe:
// a request that has not run is then taken for one that may have run.
const outcomeSyncDelay = 20 * time.Millisecond

// mustReject sets r.Prior if an arriving request may have run before. It reports whether the request has to be rejected because it could
// not be recorded. A request that may have run is never rejected: a rejection would promise that it has not.
func (m *memory) mustReject(now time.Duration, r *request) bool {
	m.lookUpPrior(now, r)
	return !r.Prior.MayHaveRun && m.cannotRecord(now, r.Class)
}

// cannotRecord reports whether a request of a class has to be rejected because it could not be recorded.
func (m *memory) cannotRecord(now time.Duration, class int) bool {
	if !m.diskFailing.Load() || m.servesUnrecorded[class] || m.classes[class].Idempotency == balancer.Idempotent {
		return false
	}
	if now-m.diskTriedAt >= diskTrialInterval { // there may be no other write that shows that the disk works again
		m.diskTriedAt = now
		var b store.Batch
		b.Delete([]byte{requestKeyPrefix})
		m.store.Apply(b, m.reportWrite)
	}
	return true
}

// entryID returns the id of a request's entry in the table; ok is false for an idempotent request, which is not recorded.
func (m *memory) entryID(r *request) (id idempotency.ID, ok bool) {
	class := &m.classes[r.Class]
	switch class.Idempotency {
	case balancer.IdempotentWithKey:
		return idempotency.KeyedID(class.Name, r.Header.Get(headerIdempotencyKey)), true
	case balancer.NonIdempotent:
		return idempotency.RequestID(class.Name, r.ID), true
	}
	return id, false
}

// lookUpPrior sets r.Prior if the table contains the request.
func (m *memory) lookUpPrior(now time.Duration, r *request) {
	id, ok := m.entryID(r)
	if !ok {
		return
	}
	entry, ok := m.table.Lookup(now, id)
	if !ok {
		return
	}
	r.Prior = balancer.PriorAttempt{
		MayHaveRun: true, Served: entry.Served, Zone: m.zones.index(entry.Zone), Cell: entry.Cell, SentAt: entry.SentAt,
	}
}

// beginAttempt records that an attempt is about to be sent. It returns the gate that delays the attempt until the record is on the disk;
// nil if the attempt need not wait.
func (m *memory) beginAttempt(now time.Duration, r *request, to *exchange.Endpoint) *durabilityGate {
	id, ok := m.entryID(r)
	if !ok {
		return nil
	}
	class := &m.classes[r.Class]
	origin := idempotency.Origin{Zone: to.Zone, Cell: to.Cell, Endpoint: to.UID}
	entry, changed, err := m.table.BeginAttempt(now, id, class.Name, idempotency.RetentionOf(class), origin)
	gate := &durabilityGate{
		err: err, timeout: m.settings.WriteTimeout, reportTimeout: m.reportWrite, servesUnrecorded: m.servesUnrecorded[r.Class],
	}
	if err != nil {
		m.reportWrite(err)
		return gate
	}
	if !changed {
		return nil
	}
	gate.written = make(chan error, 1)
	m.putEntry(id, &entry, entry.Retention, 0, func(err error) {
		m.reportWrite(err)
		gate.written <- err
	})
	return gate
}

// putEntry writes an entry with a time to live. The write may be delayed by up to syncDelay to be synced together with others. done is
// called with its result.
func (m *memory) putEntry(id idempotency.ID, entry *idempotency.Entry, ttl, syncDelay time.Duration, done func(error)) {
	var b store.Batch
	b.SetMaxDelay(syncDelay)
	b.Put(append([]byte{requestKeyPrefix}, id[:]...), entry.Encode(), max(ttl, time.Millisecond))
	m.store.Apply(b, done)
}

// endAttempt records the outcome of an attempt, and reports whether the request may have run. answered is set if the attempt's response
// goes to the caller.
func (m *memory) endAttempt(now time.Duration, ended *attempt, status balancer.Status, answered bool) (mayRun bool) {
	id, ok := m.entryID(ended.request)
	if !ok {
		return false
	}
	if ended.gate != nil && ended.gate.durable {
		m.table.MarkDurable(id)
	}
	switch entry, change := m.table.EndAttempt(id, status, answered); change {
	case idempotency.PutEntry:
		m.putEntry(id, &entry, entry.SentAt+entry.Retention-now, outcomeSyncDelay, m.reportWrite)
	case idempotency.DeleteEntry:
		var b store.Batch
		b.SetMaxDelay(outcomeSyncDelay)
		b.Delete(append([]byte{requestKeyPrefix}, id[:]...))
		m.store.Apply(b, m.reportWrite)
	}
	_, mayRun = m.table.Lookup(now, id)
	return mayRun
}
