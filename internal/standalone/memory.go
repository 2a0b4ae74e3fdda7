package standalone

import (
	"errors"
	"fmt"
	"log"
	"os"
	"sync/atomic"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/idempotency"
)

// The keys of the store's records. They are data on the disk.
const (
	requestKeyPrefix  = 'r' // and the id of an entry of the request table
	endpointKeyPrefix = 'e' // and the uid of an endpoint of the saved list
	listKey           = 'l' // its time to live gives when the saved list was last confirmed
	groupKey          = 'g' // the group of sidecars that was settled last
)

// diskTrialInterval is how often a failing disk is tried again while nothing is written to it.
const diskTrialInterval = time.Second

// memory is what a sidecar remembers across a death: which requests may have run (memory_requests.go), the last list of
// endpoints (memory_list.go) and the last group of sidecars (group.go). The loop owns it, but for the store, which does its work
// in goroutines of its own, and diskFailing.
type memory struct {
	settings      Memory
	table         *idempotency.Table
	store         *store.Store
	goesOnWithout []bool // by class: whether it goes on where nothing can be remembered
	classes       []balancer.Class
	zones         nameIndex       // of the endpoints
	savedUIDs     map[string]bool // of the endpoints of the saved list: the loop never reads the disk
	listSavedAt   time.Duration   // on the event clock
	diskTriedAt   time.Duration   // on the event clock, whether it works again
	diskFailing   atomic.Bool     // logged once, until the disk works again
}

// openMemory opens what the file asks for; nil for nothing. Its errors name memory.memory_dir or memory.remembered_requests.
func openMemory(c *Config, zones nameIndex, now time.Duration) (*memory, error) {
	settings := c.tuning.memory
	if settings.Dir == "" {
		return nil, nil
	}
	disk := c.storeFS
	if disk == nil {
		if c.product.Resolve != nil {
			settings.Dir = c.product.Resolve(settings.Dir)
		}
		if err := os.MkdirAll(settings.Dir, 0o700); err != nil {
			return nil, fmt.Errorf("memory.memory_dir: %w", err)
		}
		disk = store.Dir(settings.Dir)
	}
	s, err := store.Open(disk, store.Options{MaxBytes: settings.MaxBytes, MaxRecords: settings.MaxRequests + 2*maxSavedEndpoints})
	if err != nil {
		return nil, fmt.Errorf("memory.memory_dir: %s: %w", settings.Dir, err)
	}
	m := &memory{
		settings:  settings,
		table:     idempotency.NewTable(settings.MaxRequests),
		store:     s,
		classes:   c.Settings.Classes,
		zones:     zones,
		savedUIDs: map[string]bool{},
	}
	for _, class := range c.Settings.Classes {
		of := appfile.ClassTable.Get(c.file, class.Name)
		m.goesOnWithout = append(m.goesOnWithout, of == nil || of.OnMemoryFailure == appfile.ContinueWithoutMemory)
	}
	logDamage(s.Health())
	return m, m.restore(now)
}

// logDamage logs what of the files could not be read.
func logDamage(h store.Health) {
	for _, d := range h.Damage {
		log.Printf("memory: %v", d)
	}
	if h.TornBytes > 0 {
		log.Printf("memory: %d bytes of an append that was cut, or of damage to the last one, were passed over", h.TornBytes)
	}
}

// restore takes in what earlier incarnations of this sidecar remember. Its error is a table that is too small for it.
func (m *memory) restore(now time.Duration) error {
	unknownForms := 0
	var tableErr error
	take := func(key, value []byte, left time.Duration) bool {
		if key[0] == endpointKeyPrefix {
			m.savedUIDs[string(key[1:])] = true
		}
		if key[0] != requestKeyPrefix || len(key) != 1+len(idempotency.ID{}) {
			return true
		}
		entry, err := idempotency.Decode(value, now, left)
		if err != nil {
			unknownForms++
			return true
		}
		tableErr = m.table.Restore(idempotency.ID(key[1:]), entry)
		return tableErr == nil
	}
	if err := m.store.Range(take); err != nil {
		log.Printf("memory: %v", err)
	}
	if unknownForms > 0 {
		log.Printf("memory: %d requests are remembered in a form that is not known, and are passed over", unknownForms)
	}
	if n := m.table.Len(); n > 0 {
		log.Printf("memory: %d requests of earlier lives may have run", n)
	}
	if tableErr != nil {
		return fmt.Errorf("memory.remembered_requests: %d: %w: more were before", m.settings.MaxRequests, tableErr)
	}
	return nil
}

// reportWrite takes how a write ended, and logs when the disk begins to fail and when it works again. Any goroutine may call it.
func (m *memory) reportWrite(err error) {
	switch {
	case errors.Is(err, store.ErrClosed): // the sidecar ends
	case err != nil && !m.diskFailing.Swap(true):
		log.Printf("memory: NOT REMEMBERED: %v; classes with without_memory = \"refuse\" are refused until the disk is well", err)
	case err == nil && m.diskFailing.Swap(false):
		log.Printf("memory: the disk is well again")
	}
}

// close closes the store; a nil memory has none.
func (m *memory) close() {
	if m == nil {
		return
	}
	if err := m.store.Close(); err != nil {
		log.Printf("memory: %v", err)
	}
}
