package endpointsource

import "testing"

// Lists are accepted in the order of their versions. After a switch to another discovery, deltas are accepted only after its full list.
func TestVersionFilter(t *testing.T) {
	filter := VersionFilter{}
	for number, test := range []struct {
		from              ListOrigin
		version           uint64
		full              bool
		accepted, rewatch bool
	}{
		{FromCache, 5, true, true, false},
		{FromWatch, 6, false, true, false},
		{FromWatch, 6, false, false, false},
		{FromFetch, 5, true, false, false},
		{FromFetch, 6, true, true, false},
		{FromWatch, 1, true, true, false}, // a full list of the watch is always accepted
	} {
		if accepted, rewatch := filter.Accept(test.from, test.version, test.full); accepted != test.accepted || rewatch != test.rewatch {
			t.Errorf("list %d: accepted %v and rewatch %v, want %v and %v", number, accepted, rewatch, test.accepted, test.rewatch)
		}
	}
	filter.SwitchDiscovery()
	if filter.WatchFrom() != nil {
		t.Error("the watch continues at the version of the previous discovery")
	}
	if accepted, _ := filter.Accept(FromWatch, 9, false); accepted || !filter.Switched() {
		t.Error("a delta was accepted before the full list of the new discovery")
	}
	if accepted, rewatch := filter.Accept(FromFetch, 0, true); !accepted || !rewatch || filter.Switched() || *filter.WatchFrom() != 0 {
		t.Error("the full list of the new discovery was not accepted, or the watch does not restart at its version")
	}
}
