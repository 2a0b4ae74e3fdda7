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
	Dir      string
	Most     int
	Size     int64
	Wait     time.Duration
	ListKeep time.Duration
}

// MemoryTable is [memory].
var MemoryTable = schema.NewTable("memory", "What is remembered on a disk across a death of the sidecar. Off unless memory_dir is set.",
	schema.String("memory_dir", func(m *Memory) *string { return &m.Dir },
		schema.Text{Example: "/var/lib/quincegap/front", Type: "path"}, schema.AtStart,
		"A directory of this sidecar alone, on a disk that lasts."),
	schema.Int("remembered_requests", func(m *Memory) *int { return &m.Most },
		schema.Bounds[int]{Default: 100_000, Least: 100, Most: 10_000_000}, schema.AtStart,
		"Requests that may be remembered at once; each takes about 400 bytes of memory."),
	schema.Size("memory_size", func(m *Memory) *int64 { return &m.Size },
		schema.Bounds[int64]{Default: 64 << 20, Least: 1 << 20, Most: 64 << 30}, schema.AtStart,
		"What may be remembered, in bytes; the files take up to twice this and 12 MiB."),
	schema.Duration("memory_wait", func(m *Memory) *time.Duration { return &m.Wait },
		schema.Bounds[time.Duration]{Default: 250 * time.Millisecond, Least: time.Millisecond, Most: time.Minute}, schema.AtStart,
		"How long an attempt waits at most until it is remembered; then without_memory of its class says what follows."),
	schema.Duration("list_keep", func(m *Memory) *time.Duration { return &m.ListKeep },
		schema.Bounds[time.Duration]{Default: time.Hour, Least: 0, Most: 30 * 24 * time.Hour}, schema.AtStart,
		"How old the list of endpoints may be that a start goes on with until discovery answers."),
)

const (
	requestMark  = 'r' // begins the keys of requests in the store,
	endpointMark = 'e' // of endpoints by their uid,
	listedMark   = 'l' // and the one that tells when they were last said to be so
	listedEvery  = 10 * time.Second
	// How an attempt ended waits so long for another record to be synced with. If it is lost, more is taken to have
	// run than has.
	afterIdle = 20 * time.Millisecond
)

// memory is what a sidecar remembers across a death: which requests may have run, and the last list of endpoints.
// The loop owns it, but for the store, which does its work in goroutines of its own.
type memory struct {
	set      Memory
	table    *idempotency.Table
	store    *store.Store
	goOn     []bool // by class: whether it goes on where nothing can be remembered
	classes  []balancer.Class
	zones    names           // of the endpoints
	kept     map[string]bool // uids of the list that is kept: the loop never reads the disk
	listedAt time.Duration
	triedAt  time.Duration // whether the disk is well again
	ill      atomic.Bool   // the disk is: said once, until it is well
}

// openMemory opens what the file asks for; nil for nothing.
func openMemory(c *Config, zones names, now time.Duration) (*memory, error) {
	set := c.tuning.memory
	if set.Dir == "" {
		return nil, nil
	}
	disk := c.disk
	if disk == nil {
		if c.product.Resolve != nil {
			set.Dir = c.product.Resolve(set.Dir)
		}
		if err := os.MkdirAll(set.Dir, 0o700); err != nil {
			return nil, fmt.Errorf("memory.memory_dir: %w", err)
		}
		disk = store.Dir(set.Dir)
	}
	s, err := store.Open(disk, store.Options{MaxBytes: set.Size, MaxRecords: set.Most + 2*maxKept})
	if err != nil {
		return nil, fmt.Errorf("memory.memory_dir: %s: %w", set.Dir, err)
	}
	m := &memory{set: set, table: idempotency.NewTable(set.Most), store: s, classes: c.Settings.Classes, zones: zones, kept: map[string]bool{}}
	for _, class := range c.Settings.Classes {
		of := appfile.ClassTable.Get(c.file, class.Name)
		m.goOn = append(m.goOn, of == nil || of.WithoutMemory == appfile.GoOn)
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

// maxKept bounds the endpoints of the list that is kept.
const maxKept = 20_000

// restore takes in the requests that earlier lives remember.
func (m *memory) restore(now time.Duration) (err error) {
	bad := 0
	if fault := m.store.Range(func(key, value []byte, left time.Duration) bool {
		if key[0] == endpointMark {
			m.kept[string(key[1:])] = true
		}
		if key[0] != requestMark || len(key) != 1+len(idempotency.ID{}) {
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
		err = fmt.Errorf("memory.remembered_requests: %d: %w: more were before", m.set.Most, err)
	}
	return err
}

// list is the last list of endpoints, as it was told; false where none is kept or it is too old.
func (m *memory) list() (l endpointsource.List, age time.Duration, ok bool) {
	_, left, ok, err := m.store.Get([]byte{listedMark})
	if err != nil {
		log.Printf("memory: %v", err)
	}
	if !ok || m.set.ListKeep == 0 {
		return l, 0, false
	}
	l.Kind = balancer.ListCached
	if err := m.store.Range(func(key, value []byte, _ time.Duration) bool {
		var e endpointsource.Endpoint
		if key[0] == endpointMark && json.Unmarshal(value, &e) == nil {
			l.Endpoints = append(l.Endpoints, e)
		}
		return true
	}); err != nil {
		log.Printf("memory: %v", err)
	}
	slices.SortFunc(l.Endpoints, func(a, b endpointsource.Endpoint) int { return strings.Compare(a.UID, b.UID) })
	return l, m.set.ListKeep - left, len(l.Endpoints) > 0
}

// listed keeps what was told of endpoints.
func (m *memory) listed(now time.Duration, l endpointsource.List, all map[balancer.EndpointID]*exchange.Endpoint) {
	if m.set.ListKeep == 0 || l.Kind == balancer.ListCached {
		return
	}
	var b store.Batch
	if l.Kind == balancer.ListFull {
		there := map[string]bool{}
		for _, e := range all {
			there[e.UID] = true
		}
		for uid := range m.kept {
			if !there[uid] {
				delete(m.kept, uid)
				b.Delete(append([]byte{endpointMark}, uid...))
			}
		}
	}
	for _, e := range l.Endpoints {
		key := append([]byte{endpointMark}, e.UID...)
		if text, err := json.Marshal(e); e.State == balancer.EndpointRemoved {
			delete(m.kept, e.UID)
			b.Delete(key)
		} else if err == nil && len(key) <= store.MaxKeyBytes && len(all) <= maxKept {
			m.kept[e.UID] = true
			b.Put(key, text, 0)
		}
	}
	m.said(now, &b)
}

// said notes that the list that is kept still holds.
func (m *memory) said(now time.Duration, b *store.Batch) {
	m.listedAt = now
	b.Put([]byte{listedMark}, nil, m.set.ListKeep)
	m.store.Apply(*b, m.told)
}

// heard does that when discovery or Consul has been heard, at a pace.
func (m *memory) heard(now time.Duration) {
	if m.set.ListKeep > 0 && now-m.listedAt >= listedEvery {
		m.said(now, &store.Batch{})
	}
}

// told takes how a write ended, and says in the log when the disk turns ill and when it is well again.
func (m *memory) told(err error) {
	switch {
	case errors.Is(err, store.ErrClosed): // it ends
	case err != nil && !m.ill.Swap(true):
		log.Printf("memory: NOT REMEMBERED: %v; classes with without_memory = \"refuse\" are refused until the disk is well", err)
	case err == nil && m.ill.Swap(false):
		log.Printf("memory: the disk is well again")
	}
}

// turnsAway looks up what is known of a request that comes, and tells whether it has to be refused for want of
// memory. What may have run never is: a refusal would promise that a repeat is harmless.
func (m *memory) turnsAway(now time.Duration, r *request) bool {
	m.look(now, r)
	return !r.Prior.MayHaveRun && m.refuses(now, r.Class)
}

// refuses tells whether a request has to be turned away because it could not be remembered.
func (m *memory) refuses(now time.Duration, class int) bool {
	if !m.ill.Load() || m.goOn[class] || m.classes[class].Idempotency == balancer.Idempotent {
		return false
	}
	if now-m.triedAt >= time.Second { // nothing else may be written that could tell that the disk is well
		m.triedAt = now
		var b store.Batch
		b.Delete([]byte{requestMark})
		m.store.Apply(b, m.told)
	}
	return true
}

// id is what a request is remembered by; false for one that may run any number of times.
func (m *memory) id(r *request) (id idempotency.ID, ok bool) {
	switch c := &m.classes[r.Class]; c.Idempotency {
	case balancer.IdempotentWithKey:
		return idempotency.KeyedID(c.Name, r.Header.Get("Idempotency-Key")), true
	case balancer.NonIdempotent:
		return idempotency.RequestID(c.Name, r.ID), true
	}
	return id, false
}

// look says what is known of a request that comes.
func (m *memory) look(now time.Duration, r *request) {
	id, ok := m.id(r)
	if !ok {
		return
	}
	if e, ok := m.table.Lookup(now, id); ok {
		r.Prior = balancer.PriorAttempt{MayHaveRun: true, Served: e.Served, Zone: m.zones.index(e.Zone), Cell: e.Cell, SentAt: e.SentAt}
	}
}

// errSlow says that a record was not durable within memory_wait.
var errSlow = errors.New("the disk takes longer than memory_wait")

// gate is what an attempt waits for before it goes out; nil for nothing.
type gate struct {
	kept    chan error // holds one
	err     error      // known at once
	wait    time.Duration
	late    func(error) // says that it took longer
	goOn    bool
	passed  bool // it has been waited for
	durable bool // and the attempt is remembered
}

// pass waits until the attempt is remembered, and tells whether it may go out.
func (g *gate) pass(ctx context.Context) bool {
	if g == nil || g.passed {
		return true
	}
	if g.passed = true; g.err != nil {
		return g.goOn
	}
	late := time.NewTimer(g.wait)
	defer late.Stop()
	select {
	case err := <-g.kept:
		g.durable = err == nil
		return g.durable || g.goOn
	case <-late.C:
		g.late(errSlow)
		return g.goOn
	case <-ctx.Done():
		return false
	}
}

// before notes that an attempt is about to go out, and gives what it has to wait for; nil for nothing.
func (m *memory) before(now time.Duration, r *request, to *exchange.Endpoint) *gate {
	id, ok := m.id(r)
	if !ok {
		return nil
	}
	c := &m.classes[r.Class]
	e, changed, err := m.table.BeginAttempt(now, id, c.Name, idempotency.RetentionOf(c), idempotency.Origin{Zone: to.Zone, Cell: to.Cell, Endpoint: to.UID})
	g := &gate{err: err, wait: m.set.Wait, late: m.told, goOn: m.goOn[r.Class]}
	if err != nil {
		m.told(err)
		return g
	}
	if !changed {
		return nil
	}
	g.kept = make(chan error, 1)
	m.keep(id, &e, e.Retention, 0, func(err error) {
		m.told(err)
		g.kept <- err
	})
	return g
}

func (m *memory) keep(id idempotency.ID, e *idempotency.Entry, left, idle time.Duration, done func(error)) {
	var b store.Batch
	b.SetMaxDelay(idle)
	b.Put(append([]byte{requestMark}, id[:]...), e.Encode(), max(left, time.Millisecond))
	m.store.Apply(b, done)
}

// after notes how an attempt ended; it tells whether the request may have run.
func (m *memory) after(now time.Duration, a *attempt, status balancer.Status, answered bool) (mayRun bool) {
	id, ok := m.id(a.request)
	if !ok {
		return false
	}
	if a.gate != nil && a.gate.durable {
		m.table.MarkDurable(id)
	}
	switch e, change := m.table.EndAttempt(now, id, status, answered); change {
	case idempotency.PutEntry:
		m.keep(id, &e, e.SentAt+e.Retention-now, afterIdle, m.told)
	case idempotency.DeleteEntry:
		var b store.Batch
		b.SetMaxDelay(afterIdle)
		b.Delete(append([]byte{requestMark}, id[:]...))
		m.store.Apply(b, m.told)
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
