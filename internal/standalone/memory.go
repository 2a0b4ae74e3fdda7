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
	requestKeyPrefix  = 'r' // followed by the id of an entry of the request table
	endpointKeyPrefix = 'e' // followed by the uid of an endpoint of the saved list
	listKey           = 'l' // the time to live of this record shows when the saved list was last confirmed
	groupKey          = 'g' // the group of sidecars that was settled last
)

// diskTrialInterval is how often a write to a failing disk is tried while there is nothing else to write.
const diskTrialInterval = time.Second

// memory is what a sidecar keeps on the disk for the process that follows it: which requests may have run (memory_requests.go), the
// last list of endpoints (memory_list.go) and the last group of sidecars (group.go). The loop owns it, except for the store, which
// has its own goroutines, and for diskFailing.
type memory struct {
	settings         Memory
	table            *idempotency.Table
	store            *store.Store
	servesUnrecorded []bool // by class: whether requests are served while they cannot be recorded
	classes          []balancer.Class
	zones            nameIndex       // of the endpoints
	savedUIDs        map[string]bool // of the endpoints of the saved list, so that the loop need not read the disk
	listSavedAt      time.Duration   // on the event clock
	diskTriedAt      time.Duration   // when a write to the failing disk was last tried, on the event clock
	diskFailing      atomic.Bool     // the last write failed, which was logged
}

// openMemory opens the memory that the file configures; nil for none. Its errors name memory.memory_dir or
// memory.remembered_requests.
func openMemory(config *Config, zones nameIndex, now time.Duration) (*memory, error) {
	settings := config.tuning.memory
	if settings.Dir == "" {
		return nil, nil
	}
	disk := config.storeFS
	if disk == nil {
		if config.product.Resolve != nil {
			settings.Dir = config.product.Resolve(settings.Dir)
		}
		if err := os.MkdirAll(settings.Dir, 0o700); err != nil {
			return nil, fmt.Errorf("memory.memory_dir: %w", err)
		}
		disk = store.Dir(settings.Dir)
	}
	records, err := store.Open(disk, store.Options{MaxBytes: settings.MaxBytes, MaxRecords: settings.MaxRequests + 2*maxSavedEndpoints})
	if err != nil {
		return nil, fmt.Errorf("memory.memory_dir: %s: %w", settings.Dir, err)
	}
	opened := &memory{
		settings:  settings,
		table:     idempotency.NewTable(settings.MaxRequests),
		store:     records,
		classes:   config.Settings.Classes,
		zones:     zones,
		savedUIDs: map[string]bool{},
	}
	for _, class := range config.Settings.Classes {
		of := appfile.ClassTable.Get(config.file, class.Name)
		opened.servesUnrecorded = append(opened.servesUnrecorded, of == nil || of.OnMemoryFailure == appfile.ContinueWithoutMemory)
	}
	logDamage(records.Health())
	return opened, opened.restore(now)
}

// logDamage logs the parts of the files that could not be read.
func logDamage(h store.Health) {
	for _, d := range h.Damage {
		log.Printf("memory: %v", d)
	}
	if h.TornBytes > 0 {
		log.Printf("memory: %d bytes of an append that was cut, or of damage to the last one, were passed over", h.TornBytes)
	}
}

// restore reads the records of earlier processes of this sidecar. It returns an error if the request table is too small for them.
func (m *memory) restore(now time.Duration) error {
	unknownForms := 0
	var tableErr error
	visit := func(key, value []byte, left time.Duration) bool {
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
	if err := m.store.Range(visit); err != nil {
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

// reportWrite is called with the result of each write. It logs when the disk begins to fail and when it works again. Any goroutine may
// call it.
func (m *memory) reportWrite(err error) {
	switch {
	case errors.Is(err, store.ErrClosed): // the sidecar shuts down
	case err != nil && !m.diskFailing.Swap(true):
		log.Printf("memory: NOT REMEMBERED: %v; classes with without_memory = \"refuse\" are refused until the disk is well", err)
	case err == nil && m.diskFailing.Swap(false):
		log.Printf("memory: the disk is well again")
	}
}

// close closes the store. It may be called on a nil memory.
func (m *memory) close() {
	if m == nil {
		return
	}
	if err := m.store.Close(); err != nil {
		log.Printf("memory: %v", err)
	}
}
