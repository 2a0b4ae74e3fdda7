package standalone

import (
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/idempotency"
	"quincegap/internal/network/exchange"
)

// outcomeSyncDelay is how long the record of an attempt's outcome waits for another record to be synced with. If it is lost, more
// is taken to have run than has.
const outcomeSyncDelay = 20 * time.Millisecond

// rejects looks up what is known of a request that arrives, and reports whether it has to be rejected because it could not be
// remembered. What may have run never is: a rejection would promise that a repeat is harmless.
func (m *memory) rejects(now time.Duration, r *request) bool {
	m.lookUpPrior(now, r)
	return !r.Prior.MayHaveRun && m.cannotRecord(now, r.Class)
}

// cannotRecord reports whether a request of a class has to be rejected because it could not be remembered.
func (m *memory) cannotRecord(now time.Duration, class int) bool {
	if !m.diskFailing.Load() || m.goesOnWithout[class] || m.classes[class].Idempotency == balancer.Idempotent {
		return false
	}
	if now-m.diskTriedAt >= diskTrialInterval { // nothing else may be written that could tell that the disk works again
		m.diskTriedAt = now
		var b store.Batch
		b.Delete([]byte{requestKeyPrefix})
		m.store.Apply(b, m.reportWrite)
	}
	return true
}

// entryID is what a request is remembered by; false for one that may run any number of times.
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

// lookUpPrior sets what is known of a request that arrives.
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

// beginAttempt remembers that an attempt is about to go out, and gives what it has to wait for; nil for nothing.
func (m *memory) beginAttempt(now time.Duration, r *request, to *exchange.Endpoint) *durabilityGate {
	id, ok := m.entryID(r)
	if !ok {
		return nil
	}
	class := &m.classes[r.Class]
	origin := idempotency.Origin{Zone: to.Zone, Cell: to.Cell, Endpoint: to.UID}
	entry, changed, err := m.table.BeginAttempt(now, id, class.Name, idempotency.RetentionOf(class), origin)
	g := &durabilityGate{
		err: err, timeout: m.settings.WriteTimeout, reportTimeout: m.reportWrite, goesOnWithout: m.goesOnWithout[r.Class],
	}
	if err != nil {
		m.reportWrite(err)
		return g
	}
	if !changed {
		return nil
	}
	g.written = make(chan error, 1)
	m.putEntry(id, &entry, entry.Retention, 0, func(err error) {
		m.reportWrite(err)
		g.written <- err
	})
	return g
}

// putEntry writes an entry that is kept for a while; the write may wait for syncDelay for others.
func (m *memory) putEntry(id idempotency.ID, entry *idempotency.Entry, left, syncDelay time.Duration, done func(error)) {
	var b store.Batch
	b.SetMaxDelay(syncDelay)
	b.Put(append([]byte{requestKeyPrefix}, id[:]...), entry.Encode(), max(left, time.Millisecond))
	m.store.Apply(b, done)
}

// endAttempt remembers how an attempt ended, and reports whether the request may have run.
func (m *memory) endAttempt(now time.Duration, a *attempt, status balancer.Status, answered bool) (mayRun bool) {
	id, ok := m.entryID(a.request)
	if !ok {
		return false
	}
	if a.gate != nil && a.gate.durable {
		m.table.MarkDurable(id)
	}
	switch entry, change := m.table.EndAttempt(now, id, status, answered); change {
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
