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

// Keys of the store's records, or the first bytes of such keys. They are part of the format on disk.
const (
	requestKeyPrefix  = 'r' // followed by the id of an entry in the request table
	endpointKeyPrefix = 'e' // followed by the uid of an endpoint in the saved list
	listKey           = 'l' // marker whose remaining time to live shows when the saved list was last confirmed
	groupKey          = 'g' // group of sidecars that its members last agreed on
)

// diskTrialInterval is the minimum time between two trial writes, which find out whether a failing disk works again when nothing else is
// written.
const diskTrialInterval = time.Second

// memory is the state that a sidecar stores on disk for its next process: which requests may have run (memory_requests.go), the last
// list of endpoints (memory_list.go) and the last group of sidecars (group.go). The loop owns it, except for the store, which has its
// own goroutines, and for diskFailing.
type memory struct {
	settings         Memory
	table            *idempotency.Table
	store            *store.Store
	servesUnrecorded []bool // for each class, whether its requests are served while they cannot be recorded
	classes          []balancer.Class
	zones            nameIndex       // numbers of the endpoints' zones
	savedUIDs        map[string]bool // uids of the endpoints in the saved list, cached so that the loop need not read the disk
	listSavedAt      time.Duration   // time on the event clock at which the saved list was last written or confirmed
	diskTriedAt      time.Duration   // time on the event clock of the last trial write to the failing disk
	diskFailing      atomic.Bool     // the last write failed; the failure was logged
}

// openMemory opens the memory that the file configures; it returns nil if memory.memory_dir is not set. Its errors name
// memory.memory_dir or memory.remembered_requests.
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
		classSettings := appfile.ClassTable.Get(config.file, class.Name)
		opened.servesUnrecorded = append(opened.servesUnrecorded,
			classSettings == nil || classSettings.OnMemoryFailure == appfile.ContinueWithoutMemory)
	}
	logDamage(records.Health())
	return opened, opened.restore(now)
}

// logDamage logs which parts of the store's files could not be read.
func logDamage(h store.Health) {
	for _, d := range h.Damage {
		log.Printf("memory: %v", d)
	}
	if h.TornBytes > 0 {
		log.Printf("memory: skipped %d bytes: the last append is incomplete or damaged", h.TornBytes)
	}
}

// restore reads the request records of earlier processes of this sidecar into the request table. It returns an error if the
// table is too small for them. Records that cannot be read are logged and skipped.
func (m *memory) restore(now time.Duration) error {
	unknownFormats := 0
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
			unknownFormats++
			return true
		}
		tableErr = m.table.Restore(idempotency.ID(key[1:]), entry)
		return tableErr == nil
	}
	if err := m.store.Range(visit); err != nil {
		log.Printf("memory: read records: %v", err)
	}
	if unknownFormats > 0 {
		log.Printf("memory: skipped %d request records in an unknown format", unknownFormats)
	}
	if n := m.table.Len(); n > 0 {
		log.Printf("memory: %d requests of earlier processes may have run", n)
	}
	if tableErr != nil {
		return fmt.Errorf("memory.remembered_requests: %d: %w: an earlier process recorded more requests", m.settings.MaxRequests, tableErr)
	}
	return nil
}

// reportWrite handles the result of a write to the store. It logs when the disk begins to fail and when it works again. It may be called
// from any goroutine.
func (m *memory) reportWrite(err error) {
	switch {
	case errors.Is(err, store.ErrClosed): // the sidecar shuts down
	case err != nil && !m.diskFailing.Swap(true):
		log.Printf("memory: cannot store state: %v; requests of classes with without_memory = \"refuse\" are rejected until a write succeeds",
			err)
	case err == nil && m.diskFailing.Swap(false):
		log.Printf("memory: writes to the store succeed again")
	}
}

// close closes the store. It may be called on a nil memory.
func (m *memory) close() {
	if m == nil {
		return
	}
	if err := m.store.Close(); err != nil {
		log.Printf("memory: close store: %v", err)
	}
}
