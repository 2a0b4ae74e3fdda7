package standalone

import (
	"encoding/json"
	"log"
	"slices"
	"strings"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/network/exchange"
)

const (
	// listSaveInterval is the time between two confirmations of the saved list while its source sends data.
	listSaveInterval = 10 * time.Second
	// maxSavedEndpoints is the maximum size of the saved list. While more endpoints are listed, no endpoint is added to it.
	maxSavedEndpoints = 20_000
)

// savedList returns the saved list of endpoints and its age; ok is false if none is saved or it is older than list_keep.
func (m *memory) savedList() (list endpointsource.List, age time.Duration, ok bool) {
	_, left, ok, err := m.store.Get([]byte{listKey})
	if err != nil {
		log.Printf("memory: read saved list: %v", err)
	}
	if !ok || m.settings.ListRetention == 0 {
		return list, 0, false
	}
	list.Kind = balancer.ListCached
	visit := func(key, value []byte, _ time.Duration) bool {
		var e endpointsource.Endpoint
		if key[0] == endpointKeyPrefix && json.Unmarshal(value, &e) == nil {
			list.Endpoints = append(list.Endpoints, e)
		}
		return true
	}
	if err := m.store.Range(visit); err != nil {
		log.Printf("memory: read saved endpoints: %v", err)
	}
	slices.SortFunc(list.Endpoints, func(a, b endpointsource.Endpoint) int { return strings.Compare(a.UID, b.UID) })
	return list, m.settings.ListRetention - left, len(list.Endpoints) > 0
}

// saveList applies a list, complete or a delta, to the saved list. listed contains all endpoints that are currently listed.
func (m *memory) saveList(now time.Duration, list endpointsource.List, listed map[balancer.EndpointID]*exchange.Endpoint) {
	if m.settings.ListRetention == 0 || list.Kind == balancer.ListCached {
		return
	}
	var batch store.Batch
	if list.Kind == balancer.ListFull {
		m.deleteUnlisted(&batch, listed)
	}
	for _, e := range list.Endpoints {
		key := append([]byte{endpointKeyPrefix}, e.UID...)
		if e.State == balancer.EndpointRemoved {
			delete(m.savedUIDs, e.UID)
			batch.Delete(key)
			continue
		}
		text, err := json.Marshal(e)
		if err == nil && len(key) <= store.MaxKeyBytes && len(listed) <= maxSavedEndpoints {
			m.savedUIDs[e.UID] = true
			batch.Put(key, text, 0)
		}
	}
	m.confirmList(now, &batch)
}

// deleteUnlisted deletes saved endpoints that are no longer listed.
func (m *memory) deleteUnlisted(b *store.Batch, listed map[balancer.EndpointID]*exchange.Endpoint) {
	uids := map[string]bool{}
	for _, e := range listed {
		uids[e.UID] = true
	}
	for uid := range m.savedUIDs {
		if !uids[uid] {
			delete(m.savedUIDs, uid)
			b.Delete(append([]byte{endpointKeyPrefix}, uid...))
		}
	}
}

// confirmList writes a batch together with a record that the saved list is up to date.
func (m *memory) confirmList(now time.Duration, b *store.Batch) {
	m.listSavedAt = now
	b.Put([]byte{listKey}, nil, m.settings.ListRetention)
	m.store.Apply(*b, m.reportWrite)
}

// refreshList confirms the saved list if listSaveInterval has passed since it was last written or confirmed. It must only be called while
// the source of the list sends data.
func (m *memory) refreshList(now time.Duration) {
	if m.settings.ListRetention > 0 && now-m.listSavedAt >= listSaveInterval {
		m.confirmList(now, &store.Batch{})
	}
}
