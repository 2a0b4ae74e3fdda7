package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// checkIndexes checks that the indexes of a registry have exactly its entries, and that its tombstones are bounded.
func checkIndexes(t *testing.T, registry *Registry, when string) {
	t.Helper()
	ended := 0
	for id, entry := range registry.entries {
		if entry.ID != id {
			t.Fatalf("%s: entry of %s has the ID %s", when, id, entry.ID)
		}
		if !slices.Contains(registry.byAppAddress[entry.AppAddress], entry) || !slices.Contains(registry.byService[entry.Service], entry) {
			t.Fatalf("%s: %s is missing in an index", when, id)
		}
		if entry.hasEnded() {
			ended++
		}
		if entry.hasEnded() && !entry.inTombstones {
			t.Fatalf("%s: %s has ended and is no tombstone", when, id)
		}
	}
	for _, index := range []map[string][]*registryEntry{registry.byAppAddress, registry.byService} {
		indexed := 0
		for _, entries := range index {
			indexed += len(entries)
		}
		if indexed != len(registry.entries) {
			t.Fatalf("%s: an index has %d entries, want %d", when, indexed, len(registry.entries))
		}
	}
	if tombstones := len(registry.tombstones); tombstones > registry.config.MaxTombstones || ended > tombstones {
		t.Fatalf("%s: %d tombstones for %d endpoints that ended, at most %d allowed", when, tombstones, ended, registry.config.MaxTombstones)
	}
}

// More endpoints end than there may be tombstones while the registry walks over its entries: by their leases, by takeovers of their
// addresses, and superseded by later endpoints beside the same sidecar.
func TestEndpointsEndBeyondTheBound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 58))
		registry := NewRegistry(Config{MaxTombstones: 1 + random.IntN(8)})
		now := time.Duration(0)
		for step := range 100 {
			when := fmt.Sprintf("seed %d, step %d", seed, step)
			for range random.IntN(10) {
				endpoint := testEndpoint(strconv.Itoa(random.IntN(30)), State(random.IntN(int(Deregistered)+1)), uint64(step), uint64(random.IntN(100)))
				endpoint.AppAddress = strconv.Itoa(random.IntN(4))
				endpoint.SidecarIncarnation = uint64(random.IntN(3))
				endpoint.LeaseRemaining = time.Duration(random.IntN(10)) * time.Second
				registry.Apply(now, endpoint)
				checkIndexes(t, registry, when)
			}
			now += time.Duration(random.IntN(5)) * time.Second
			for _, ended := range registry.Expire(now) {
				if ended.State != Crashed {
					t.Fatalf("%s: Expire returned %s in state %d, want crashed", when, ended.ID, ended.State)
				}
			}
			checkIndexes(t, registry, when)
		}
		for range 100 {
			now += time.Second
			registry.Expire(now)
		}
		qt.Assert(t, len(registry.entries)+len(registry.tombstones)+len(registry.byAppAddress)+len(registry.byService), qt.Equals, 0)
	}
}

// Endpoints of many services whose addresses are taken over all expire in one round, with the default bound.
func TestManyEndpointsExpireAtOnce(t *testing.T) {
	registry := NewRegistry(Config{})
	now := time.Duration(0)
	for round := range 6 {
		for i := range 1500 {
			id := fmt.Sprintf("%d-%d", 9-round, i) // the walk over all IDs meets the oldest tombstones last
			endpoint := testEndpoint(id, Serving, 1, 1)
			endpoint.AppAddress = strconv.Itoa(i)
			endpoint.SidecarIncarnation = uint64(round*1500 + i)
			registry.Apply(now, endpoint)
		}
		for range 5 {
			now += time.Second
			registry.Expire(now)
		}
		checkIndexes(t, registry, fmt.Sprint("round ", round))
	}
}

// The registry held a number for each service that any discarded endpoint ever had. A subscriber that lacks a change still gets the list.
func TestDiscardedVersionsAreBounded(t *testing.T) {
	config := Config{MaxTombstones: 4}
	registry := NewRegistry(config)
	seen := map[string]uint64{} // version of the registry after the last change of each service
	for i := range 100 {
		service := fmt.Sprint("service ", i)
		endpoint := testEndpoint(strconv.Itoa(i), Deregistered, 1, 1)
		endpoint.Service = service
		endpoint.AppAddress = strconv.Itoa(i)
		before := registry.Version()
		registry.Apply(time.Duration(i), endpoint)
		seen[service] = before
		checkIndexes(t, registry, service)
		if n := len(registry.discarded.byService); n > config.MaxTombstones {
			t.Fatalf("%d services, want %d at most", n, config.MaxTombstones)
		}
	}
	for service, version := range seen {
		if _, present := registry.entries[strings.TrimPrefix(service, "service ")]; present {
			continue // it is still there
		}
		if _, _, ok := registry.ChangedSince(time.Second, service, version); ok {
			t.Fatalf("a subscriber of %s with version %d gets only the changes since, without the end of its endpoint", service, version)
		}
	}
}
