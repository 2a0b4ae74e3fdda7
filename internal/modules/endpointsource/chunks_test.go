package endpointsource

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quincegap/internal/balancer"
)

// drawEntry draws a random entry of a list.
func drawEntry(t *rapid.T) Endpoint {
	n := rapid.IntRange(0, 30).Draw(t, "uid")
	return Endpoint{
		UID: fmt.Sprintf("s-%08x", n), Address: rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.1:2", "nowhere"}).Draw(t, "address"),
		Zone: "a", Model: "m", Cell: n / 2, Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight")),
		StartedMS: rapid.Int64Range(0, 2).Draw(t, "started"),
		State: rapid.SampledFrom([]balancer.EndpointState{
			balancer.EndpointReady, balancer.EndpointReady, balancer.EndpointDraining, balancer.EndpointRemoved, StateUnknown,
		}).Draw(t, "state"),
	}
}

// drawList draws a random list.
func drawList(t *rapid.T) List {
	return List{
		Kind:    rapid.SampledFrom([]balancer.ListKind{balancer.ListFull, balancer.ListDelta}).Draw(t, "kind"),
		Version: uint64(rapid.IntRange(1, 9).Draw(t, "version")), Endpoints: rapid.SliceOfN(rapid.Custom(drawEntry), 0, 40).Draw(t, "entries"),
	}
}

// receiver is a Merger together with the endpoints that it has published.
type receiver struct {
	merger    *Merger
	published map[string]Endpoint // published endpoints, by uid
}

// apply handles a list and applies what the Merger publishes.
func (r *receiver) apply(list List) {
	out, changed := r.merger.HandlePlatformList(time.Second, list)
	if !changed {
		return
	}
	if out.Kind != balancer.ListDelta {
		clear(r.published)
	}
	for _, e := range out.Endpoints {
		if r.published[e.UID] = e; e.State == balancer.EndpointRemoved {
			delete(r.published, e.UID)
		}
	}
}

// applyChunks applies a list in chunks. It checks that no chunk is too long, and that the chunks with a ready endpoint come last.
func (r *receiver) applyChunks(t *rapid.T, list List, maxEntries int) {
	chunks := r.merger.Chunks(PrepareList(list, maxEntries), maxEntries)
	anyReady := false
	for _, chunk := range chunks {
		part := chunk()
		if len(part.Endpoints) > maxEntries && len(chunks) > 1 {
			t.Fatalf("a chunk has %d endpoints, want at most %d", len(part.Endpoints), maxEntries)
		}
		ready := slices.ContainsFunc(part.Endpoints, func(e Endpoint) bool { return e.State == balancer.EndpointReady })
		if len(chunks) > 1 && anyReady && !ready {
			t.Fatal("a chunk without ready endpoints follows one with ready endpoints")
		}
		anyReady = anyReady || ready
		r.apply(part)
	}
}

// The chunks of a list have the same effect as the list, in each mode, and those without ready endpoints come first.
func TestChunksHaveTheEffectOfTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]Mode{ModePlatform, ModeOverlay, ModeRehearsal}).Draw(t, "mode")
		atOnce := receiver{New(Settings{Mode: mode}, nil, nil), map[string]Endpoint{}}
		inChunks := receiver{New(Settings{Mode: mode}, nil, nil), map[string]Endpoint{}}
		for _, list := range rapid.SliceOfN(rapid.Custom(drawList), 1, 4).Draw(t, "lists") {
			atOnce.apply(list)
			inChunks.applyChunks(t, list, 5)
			for uid, e := range atOnce.published {
				if other, ok := inChunks.published[uid]; !ok || !samePublished(&e, &other) {
					t.Fatalf("endpoint %s: published as %+v from the chunks, want %+v as from the whole list", uid, other, e)
				}
			}
			if len(atOnce.published) != len(inChunks.published) {
				t.Fatalf("%d endpoints published from the chunks, want %d as from the whole list", len(inChunks.published), len(atOnce.published))
			}
		}
	})
}

// Short lists, the first list and cached lists are not divided.
func TestUndividedLists(t *testing.T) {
	merger := New(Settings{Mode: ModePlatform}, nil, nil)
	long := List{Kind: balancer.ListFull}
	for i := range 9 {
		long.Endpoints = append(long.Endpoints, Endpoint{UID: fmt.Sprint(i), Address: "127.0.0.1:1"})
	}
	if parts := merger.Chunks(PrepareList(long, 4), 4); len(parts) != 1 || parts[0]().Kind != balancer.ListFull {
		t.Error("the first list was divided or is not a full list")
	}
	merger.HandlePlatformList(0, long)
	cached := long
	cached.Kind = balancer.ListCached
	if parts := merger.Chunks(PrepareList(cached, 4), 4); len(parts) != 1 || parts[0]().Kind != balancer.ListCached {
		t.Error("a cached list was divided or has another kind")
	}
	if parts := merger.Chunks(PrepareList(long, 9), 9); len(parts) != 1 || parts[0]().Kind != balancer.ListFull {
		t.Error("a short list was divided or is not a full list")
	}
	if parts := merger.Chunks(PrepareList(long, 4), 4); len(parts) != 3 || parts[2]().Kind != balancer.ListDelta {
		t.Errorf("a list of 9 endpoints was divided into %d chunks of at most 4, want 3, the last of them a delta", len(parts))
	}
}
