package endpointsource

import "testing"

func TestVersionFilter(t *testing.T) {
	f := VersionFilter{}
	for i, c := range []struct {
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
		{FromWatch, 1, true, true, false}, // a full list of the watch counts anyhow
	} {
		if accepted, rewatch := f.Accept(c.from, c.version, c.full); accepted != c.accepted || rewatch != c.rewatch {
			t.Errorf("%d: %v %v", i, accepted, rewatch)
		}
	}
	f.SwitchDiscovery()
	if f.WatchFrom() != nil {
		t.Error("it goes on from another discovery's version")
	}
	if accepted, _ := f.Accept(FromWatch, 9, false); accepted || !f.Switched() {
		t.Error("changes to a list that nobody has")
	}
	if accepted, rewatch := f.Accept(FromFetch, 0, true); !accepted || !rewatch || f.Switched() || *f.WatchFrom() != 0 {
		t.Error("the full list does not count")
	}
}
