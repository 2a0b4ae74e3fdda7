package endpointsource

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quincegap/internal/balancer"
)

// drawEntry is a line of a random list.
func drawEntry(t *rapid.T) Endpoint {
	n := rapid.IntRange(0, 30).Draw(t, "uid")
	return Endpoint{
		UID: fmt.Sprintf("box-%08x", n), Address: rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.1:2", "nowhere"}).Draw(t, "address"),
		Zone: "a", Model: "m", Cell: n / 2, Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight")),
		StartedMS: rapid.Int64Range(0, 2).Draw(t, "started"),
		State: rapid.SampledFrom([]balancer.EndpointState{
			balancer.EndpointReady, balancer.EndpointReady, balancer.EndpointDraining, balancer.EndpointRemoved, StateUnknown,
		}).Draw(t, "state"),
	}
}

// drawList is a random list.
func drawList(t *rapid.T) List {
	return List{
		Kind:    rapid.SampledFrom([]balancer.ListKind{balancer.ListFull, balancer.ListDelta}).Draw(t, "kind"),
		Version: uint64(rapid.IntRange(1, 9).Draw(t, "version")), Endpoints: rapid.SliceOfN(rapid.Custom(drawEntry), 0, 40).Draw(t, "entries"),
	}
}

// receiver is a Merger with what it has published.
type receiver struct {
	m     *Merger
	knows map[string]Endpoint
}

func (r *receiver) take(list List) {
	out, changed := r.m.HandlePlatformList(time.Second, list)
	if !changed {
		return
	}
	if out.Kind != balancer.ListDelta {
		clear(r.knows)
	}
	for _, e := range out.Endpoints {
		if r.knows[e.UID] = e; e.State == balancer.EndpointRemoved {
			delete(r.knows, e.UID)
		}
	}
}

// takeChunks takes a list in chunks, which must be short, and those with an endpoint that is ready last.
func (r *receiver) takeChunks(t *rapid.T, list List, maxEntries int) {
	chunks := r.m.Chunks(PrepareList(list, maxEntries), maxEntries)
	anyReady := false
	for _, chunk := range chunks {
		part := chunk()
		if len(part.Endpoints) > maxEntries && len(chunks) > 1 {
			t.Fatalf("a chunk holds %d", len(part.Endpoints))
		}
		ready := slices.ContainsFunc(part.Endpoints, func(e Endpoint) bool { return e.State == balancer.EndpointReady })
		if len(chunks) > 1 && anyReady && !ready {
			t.Fatal("what gets no new work came after what does")
		}
		anyReady = anyReady || ready
		r.take(part)
	}
}

// The chunks of a list say together what the list says, in whatever mode, and what gets no new work first.
func TestChunksSayWhatTheListSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]Mode{ModePlatform, ModeOverlay, ModeRehearsal}).Draw(t, "mode")
		atOnce := receiver{New(Settings{Mode: mode}, nil, nil), map[string]Endpoint{}}
		inChunks := receiver{New(Settings{Mode: mode}, nil, nil), map[string]Endpoint{}}
		for _, list := range rapid.SliceOfN(rapid.Custom(drawList), 1, 4).Draw(t, "lists") {
			atOnce.take(list)
			inChunks.takeChunks(t, list, 5)
			for uid, e := range atOnce.knows {
				if other, ok := inChunks.knows[uid]; !ok || !sameVerdict(&e, &other) {
					t.Fatalf("%s: %+v at once, %+v in chunks", uid, e, other)
				}
			}
			if len(atOnce.knows) != len(inChunks.knows) {
				t.Fatalf("%d at once, %d in chunks", len(atOnce.knows), len(inChunks.knows))
			}
		}
	})
}

func TestShortListsStayAsTheyAre(t *testing.T) {
	m := New(Settings{Mode: ModePlatform}, nil, nil)
	long := List{Kind: balancer.ListFull}
	for i := range 9 {
		long.Endpoints = append(long.Endpoints, Endpoint{UID: fmt.Sprint(i), Address: "127.0.0.1:1"})
	}
	if parts := m.Chunks(PrepareList(long, 4), 4); len(parts) != 1 || parts[0]().Kind != balancer.ListFull {
		t.Error("the first list is taken apart")
	}
	m.HandlePlatformList(0, long)
	cached := long
	cached.Kind = balancer.ListCached
	if parts := m.Chunks(PrepareList(cached, 4), 4); len(parts) != 1 || parts[0]().Kind != balancer.ListCached {
		t.Error("a list from before is taken apart")
	}
	if parts := m.Chunks(PrepareList(long, 9), 9); len(parts) != 1 || parts[0]().Kind != balancer.ListFull {
		t.Error("a short list is taken apart")
	}
	if parts := m.Chunks(PrepareList(long, 4), 4); len(parts) != 3 || parts[2]().Kind != balancer.ListDelta {
		t.Errorf("%d parts", len(parts))
	}
}
