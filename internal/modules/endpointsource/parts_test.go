package endpointsource

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quincegap/internal/balancer"
)

// The parts of a list say together what the list says, in whatever mode, and bad news first.
func TestPartsSayWhatTheListSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]Mode{ModePlatform, ModeOverlay, ModeRehearsal}).Draw(t, "mode")
		entry := rapid.Custom(func(t *rapid.T) Endpoint {
			n := rapid.IntRange(0, 30).Draw(t, "uid")
			return Endpoint{
				UID: fmt.Sprintf("box-%08x", n), Address: rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.1:2", "nowhere"}).Draw(t, "address"),
				Zone: "a", Model: "m", Cell: n / 2, Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight")), StartedMS: rapid.Int64Range(0, 2).Draw(t, "boot"),
				State: rapid.SampledFrom([]balancer.EndpointState{balancer.EndpointReady, balancer.EndpointReady, balancer.EndpointDraining, balancer.EndpointRemoved, StateUnknown}).Draw(t, "state"),
			}
		})
		list := rapid.Custom(func(t *rapid.T) List {
			return List{
				Kind:    rapid.SampledFrom([]balancer.ListKind{balancer.ListFull, balancer.ListDelta}).Draw(t, "kind"),
				Version: uint64(rapid.IntRange(1, 9).Draw(t, "version")), Endpoints: rapid.SliceOfN(entry, 0, 40).Draw(t, "entries"),
			}
		})
		atOnce, inParts := New(Settings{Mode: mode}, nil, nil), New(Settings{Mode: mode}, nil, nil)
		said := func(m *Merger, got map[string]Endpoint, l List) {
			out, news := m.HandlePlatformList(time.Second, l)
			if !news {
				return
			}
			if out.Kind != balancer.ListDelta {
				clear(got)
			}
			for _, e := range out.Endpoints {
				if got[e.UID] = e; e.State == balancer.EndpointRemoved {
					delete(got, e.UID)
				}
			}
		}
		x, y := map[string]Endpoint{}, map[string]Endpoint{}
		const most = 5
		for _, l := range rapid.SliceOfN(list, 1, 4).Draw(t, "lists") {
			said(atOnce, x, l)
			parts := inParts.Chunks(PrepareList(l, most), most)
			good := false
			for _, part := range parts {
				p := part()
				if len(p.Endpoints) > most && len(parts) > 1 {
					t.Fatalf("a part holds %d", len(p.Endpoints))
				}
				ready := slices.ContainsFunc(p.Endpoints, func(e Endpoint) bool { return e.State == balancer.EndpointReady })
				if len(parts) > 1 && good && !ready {
					t.Fatal("bad news came after good")
				}
				good = good || ready
				said(inParts, y, p)
			}
			for uid, e := range x {
				if o, ok := y[uid]; !ok || !sameVerdict(&e, &o) {
					t.Fatalf("%s: %+v at once, %+v in parts", uid, e, o)
				}
			}
			if len(x) != len(y) {
				t.Fatalf("%d at once, %d in parts", len(x), len(y))
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
