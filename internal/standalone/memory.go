package standalone

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/idempotency"
	"quincegap/internal/network/exchange"
)

// Memory says what is remembered across a death, and where.
type Memory struct {
	Dir           string
	MaxRequests   int
	MaxBytes      int64
	WriteTimeout  time.Duration
	ListRetention time.Duration
}

// MemoryTable is [memory].
var MemoryTable = schema.NewTable("memory", "What is remembered on a disk across a death of the sidecar. Off unless memory_dir is set.",
	schema.String("memory_dir", func(m *Memory) *string { return &m.Dir },
		schema.Text{Example: "/var/lib/quincegap/front", Type: "path"}, schema.AtStart,
		"A directory of this sidecar alone, on a disk that lasts."),
	schema.Int("remembered_requests", func(m *Memory) *int { return &m.MaxRequests },
		schema.Bounds[int]{Default: 100_000, Least: 100, Most: 10_000_000}, schema.AtStart,
		"Requests that may be remembered at once; each takes about 400 bytes of memory."),
	schema.Size("memory_size", func(m *Memory) *int64 { return &m.MaxBytes },
		schema.Bounds[int64]{Default: 64 << 20, Least: 1 << 20, Most: 64 << 30}, schema.AtStart,
		"What may be remembered, in bytes; the files take up to twice this and 12 MiB."),
	schema.Duration("memory_wait", func(m *Memory) *time.Duration { return &m.WriteTimeout },
		schema.Bounds[time.Duration]{Default: 250 * time.Millisecond, Least: time.Millisecond, Most: time.Minute}, schema.AtStart,
		"How long an attempt waits at most until it is remembered; then without_memory of its class says what follows."),
	schema.Duration("list_keep", func(m *Memory) *time.Duration { return &m.ListRetention },
		schema.Bounds[time.Duration]{Default: time.Hour, Least: 0, Most: 30 * 24 * time.Hour}, schema.AtStart,
		"How old the list of endpoints may be that a start goes on with until discovery answers."),
)

const (
	requestKeyPrefix  = 'r' // begins the keys of requests in the store,
	endpointKeyPrefix = 'e' // of endpoints by their uid,
	listKey           = 'l' // and the one that tells when they were last said to be so
	listSaveInterval  = 10 * time.Second
	// How an attempt ended waits so long for another record to be synced with. If it is lost, more is taken to have
	// run than has.
	outcomeSyncDelay = 20 * time.Millisecond
)

// memory is what a sidecar remembers across a death: which requests may have run, and the last list of endpoints.
// The loop owns it, but for the store, which does its work in goroutines of its own.
type memory struct {
	settings      Memory
	table         *idempotency.Table
	store         *store.Store
	goesOnWithout []bool // by class: whether it goes on where nothing can be remembered
	classes       []balancer.Class
	zones         nameIndex       // of the endpoints
	savedUIDs     map[string]bool // uids of the list that is kept: the loop never reads the disk
	listSavedAt   time.Duration
	diskTriedAt   time.Duration // whether the disk is well again
	diskFailing   atomic.Bool   // the disk is: said once, until it is well
}

// openMemory opens what the file asks for; nil for nothing.
func openMemory(c *Config, zones nameIndex, now time.Duration) (*memory, error) {
	set := c.tuning.memory
	if set.Dir == "" {
		return nil, nil
	}
	disk := c.storeFS
	if disk == nil {
		if c.product.Resolve != nil {
			set.Dir = c.product.Resolve(set.Dir)
		}
		if err := os.MkdirAll(set.Dir, 0o700); err != nil {
			return nil, fmt.Errorf("memory.memory_dir: %w", err)
		}
		disk = store.Dir(set.Dir)
	}
	s, err := store.Open(disk, store.Options{MaxBytes: set.MaxBytes, MaxRecords: set.MaxRequests + 2*maxSavedEndpoints})
	if err != nil {
		return nil, fmt.Errorf("memory.memory_dir: %s: %w", set.Dir, err)
	}
	m := &memory{settings: set, table: idempotency.NewTable(set.MaxRequests), store: s, classes: c.Settings.Classes, zones: zones, savedUIDs: map[string]bool{}}
	for _, class := range c.Settings.Classes {
		of := appfile.ClassTable.Get(c.file, class.Name)
		m.goesOnWithout = append(m.goesOnWithout, of == nil || of.WithoutMemory == appfile.GoOn)
	}
	h := s.Health()
	for _, d := range h.Damage {
		log.Printf("memory: %v", d)
	}
	if h.TornBytes > 0 {
		log.Printf("memory: %d bytes of an append that was cut, or of damage to the last one, were passed over", h.TornBytes)
	}
	return m, m.restore(now)
}

// maxSavedEndpoints bounds the endpoints of the list that is kept.
const maxSavedEndpoints = 20_000

// restore takes in the requests that earlier lives remember.
func (m *memory) restore(now time.Duration) (err error) {
	bad := 0
	if fault := m.store.Range(func(key, value []byte, left time.Duration) bool {
		if key[0] == endpointKeyPrefix {
			m.savedUIDs[string(key[1:])] = true
		}
		if key[0] != requestKeyPrefix || len(key) != 1+len(idempotency.ID{}) {
			return true
		}
		e, fault := idempotency.Decode(value, now, left)
		if fault != nil {
			bad++
			return true
		}
		err = m.table.Restore(idempotency.ID(key[1:]), e)
		return err == nil
	}); fault != nil {
		log.Printf("memory: %v", fault)
	}
	if bad > 0 {
		log.Printf("memory: %d requests are remembered in a form that is not known, and are passed over", bad)
	}
	if n := m.table.Len(); n > 0 {
		log.Printf("memory: %d requests of earlier lives may have run", n)
	}
	if err != nil {
		err = fmt.Errorf("memory.remembered_requests: %d: %w: more were before", m.settings.MaxRequests, err)
	}
	return err
}

// savedList is the last list of endpoints, as it was told; false where none is kept or it is too old.
func (m *memory) savedList() (l endpointsource.List, age time.Duration, ok bool) {
	_, left, ok, err := m.store.Get([]byte{listKey})
	if err != nil {
		log.Printf("memory: %v", err)
	}
	if !ok || m.settings.ListRetention == 0 {
		return l, 0, false
	}
	l.Kind = balancer.ListCached
	if err := m.store.Range(func(key, value []byte, _ time.Duration) bool {
		var e endpointsource.Endpoint
		if key[0] == endpointKeyPrefix && json.Unmarshal(value, &e) == nil {
			l.Endpoints = append(l.Endpoints, e)
		}
		return true
	}); err != nil {
		log.Printf("memory: %v", err)
	}
	slices.SortFunc(l.Endpoints, func(a, b endpointsource.Endpoint) int { return strings.Compare(a.UID, b.UID) })
	return l, m.settings.ListRetention - left, len(l.Endpoints) > 0
}

// saveList keeps what was told of endpoints.
func (m *memory) saveList(now time.Duration, l endpointsource.List, all map[balancer.EndpointID]*exchange.Endpoint) {
	if m.settings.ListRetention == 0 || l.Kind == balancer.ListCached {
		return
	}
	var b store.Batch
	if l.Kind == balancer.ListFull {
		there := map[string]bool{}
		for _, e := range all {
			there[e.UID] = true
		}
		for uid := range m.savedUIDs {
			if !there[uid] {
				delete(m.savedUIDs, uid)
				b.Delete(append([]byte{endpointKeyPrefix}, uid...))
			}
		}
	}
	for _, e := range l.Endpoints {
		key := append([]byte{endpointKeyPrefix}, e.UID...)
		if text, err := json.Marshal(e); e.State == balancer.EndpointRemoved {
			delete(m.savedUIDs, e.UID)
			b.Delete(key)
		} else if err == nil && len(key) <= store.MaxKeyBytes && len(all) <= maxSavedEndpoints {
			m.savedUIDs[e.UID] = true
			b.Put(key, text, 0)
		}
	}
	m.confirmList(now, &b)
}

// confirmList notes that the list that is kept still holds.
func (m *memory) confirmList(now time.Duration, b *store.Batch) {
	m.listSavedAt = now
	b.Put([]byte{listKey}, nil, m.settings.ListRetention)
	m.store.Apply(*b, m.reportWrite)
}

// refreshList does that when discovery or Consul has been heard, at a pace.
func (m *memory) refreshList(now time.Duration) {
	if m.settings.ListRetention > 0 && now-m.listSavedAt >= listSaveInterval {
		m.confirmList(now, &store.Batch{})
	}
}

// reportWrite takes how a write ended, and says in the log when the disk turns ill and when it is well again.
func (m *memory) reportWrite(err error) {
	switch {
	case errors.Is(err, store.ErrClosed): // it ends
	case err != nil && !m.diskFailing.Swap(true):
		log.Printf("memory: NOT REMEMBERED: %v; classes with without_memory = \"refuse\" are refused until the disk is well", err)
	case err == nil && m.diskFailing.Swap(false):
		log.Printf("memory: the disk is well again")
	}
}

// rejects looks up what is known of a request that comes, and tells whether it has to be refused for want of
// memory. What may have run never is: a refusal would promise that a repeat is harmless.
func (m *memory) rejects(now time.Duration, r *request) bool {
	m.lookUpPrior(now, r)
	return !r.Prior.MayHaveRun && m.cannotRecord(now, r.Class)
}

// cannotRecord tells whether a request has to be turned away because it could not be remembered.
func (m *memory) cannotRecord(now time.Duration, class int) bool {
	if !m.diskFailing.Load() || m.goesOnWithout[class] || m.classes[class].Idempotency == balancer.Idempotent {
		return false
	}
	if now-m.diskTriedAt >= time.Second { // nothing else may be written that could tell that the disk is well
		m.diskTriedAt = now
		var b store.Batch
		b.Delete([]byte{requestKeyPrefix})
		m.store.Apply(b, m.reportWrite)
	}
	return true
}

// entryID is what a request is remembered by; false for one that may run any number of times.
func (m *memory) entryID(r *request) (id idempotency.ID, ok bool) {
	switch c := &m.classes[r.Class]; c.Idempotency {
	case balancer.IdempotentWithKey:
		return idempotency.KeyedID(c.Name, r.Header.Get("Idempotency-Key")), true
	case balancer.NonIdempotent:
		return idempotency.RequestID(c.Name, r.ID), true
	}
	return id, false
}

// lookUpPrior says what is known of a request that comes.
func (m *memory) lookUpPrior(now time.Duration, r *request) {
	id, ok := m.entryID(r)
	if !ok {
		return
	}
	if e, ok := m.table.Lookup(now, id); ok {
		r.Prior = balancer.PriorAttempt{MayHaveRun: true, Served: e.Served, Zone: m.zones.index(e.Zone), Cell: e.Cell, SentAt: e.SentAt}
	}
}

// errDiskSlow says that a record was not durable within memory_wait.
var errDiskSlow = errors.New("the disk takes longer than memory_wait")

// durabilityGate is what an attempt waits for before it goes out; nil for nothing.
type durabilityGate struct {
	written       chan error // holds one
	err           error      // known at once
	timeout       time.Duration
	reportTimeout func(error) // says that it took longer
	goesOnWithout bool
	passed        bool // it has been waited for
	durable       bool // and the attempt is remembered
}

// pass waits until the attempt is remembered, and tells whether it may go out.
func (g *durabilityGate) pass(ctx context.Context) bool {
	if g == nil || g.passed {
		return true
	}
	if g.passed = true; g.err != nil {
		return g.goesOnWithout
	}
	late := time.NewTimer(g.timeout)
	defer late.Stop()
	select {
	case err := <-g.written:
		g.durable = err == nil
		return g.durable || g.goesOnWithout
	case <-late.C:
		g.reportTimeout(errDiskSlow)
		return g.goesOnWithout
	case <-ctx.Done():
		return false
	}
}

// beginAttempt notes that an attempt is about to go out, and gives what it has to wait for; nil for nothing.
func (m *memory) beginAttempt(now time.Duration, r *request, to *exchange.Endpoint) *durabilityGate {
	id, ok := m.entryID(r)
	if !ok {
		return nil
	}
	c := &m.classes[r.Class]
	e, changed, err := m.table.BeginAttempt(now, id, c.Name, idempotency.RetentionOf(c), idempotency.Origin{Zone: to.Zone, Cell: to.Cell, Endpoint: to.UID})
	g := &durabilityGate{err: err, timeout: m.settings.WriteTimeout, reportTimeout: m.reportWrite, goesOnWithout: m.goesOnWithout[r.Class]}
	if err != nil {
		m.reportWrite(err)
		return g
	}
	if !changed {
		return nil
	}
	g.written = make(chan error, 1)
	m.putEntry(id, &e, e.Retention, 0, func(err error) {
		m.reportWrite(err)
		g.written <- err
	})
	return g
}

func (m *memory) putEntry(id idempotency.ID, e *idempotency.Entry, left, idle time.Duration, done func(error)) {
	var b store.Batch
	b.SetMaxDelay(idle)
	b.Put(append([]byte{requestKeyPrefix}, id[:]...), e.Encode(), max(left, time.Millisecond))
	m.store.Apply(b, done)
}

// endAttempt notes how an attempt ended; it tells whether the request may have run.
func (m *memory) endAttempt(now time.Duration, a *attempt, status balancer.Status, answered bool) (mayRun bool) {
	id, ok := m.entryID(a.request)
	if !ok {
		return false
	}
	if a.gate != nil && a.gate.durable {
		m.table.MarkDurable(id)
	}
	switch e, change := m.table.EndAttempt(now, id, status, answered); change {
	case idempotency.PutEntry:
		m.putEntry(id, &e, e.SentAt+e.Retention-now, outcomeSyncDelay, m.reportWrite)
	case idempotency.DeleteEntry:
		var b store.Batch
		b.SetMaxDelay(outcomeSyncDelay)
		b.Delete(append([]byte{requestKeyPrefix}, id[:]...))
		m.store.Apply(b, m.reportWrite)
	}
	_, mayRun = m.table.Lookup(now, id)
	return mayRun
}

func (m *memory) close() {
	if m == nil {
		return
	}
	if err := m.store.Close(); err != nil {
		log.Printf("memory: %v", err)
	}
}
