package endpointsource

import "testing"

// Lists are accepted in the order of their versions, and from another discovery only after its full list.
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
			t.Errorf("%d: %v %v", number, accepted, rewatch)
		}
	}
	filter.SwitchDiscovery()
	if filter.WatchFrom() != nil {
		t.Error("the watch continues at the version of another discovery")
	}
	if accepted, _ := filter.Accept(FromWatch, 9, false); accepted || !filter.Switched() {
		t.Error("a delta to an unknown list is accepted")
	}
	if accepted, rewatch := filter.Accept(FromFetch, 0, true); !accepted || !rewatch || filter.Switched() || *filter.WatchFrom() != 0 {
		t.Error("the full list is not accepted")
	}
}
