package peers

import (
	"slices"
	"testing"
)

// Two processes with one name are detected, and the one that starts later does not own the name, whatever the clocks of the two are.
func TestNameTwice(t *testing.T) {
	elder := record(1, Serving)
	elder.BornMillis = 200
	younger := record(2, Joining)
	younger.Name = elder.Name
	younger.BornMillis = 100 // earlier, because the clock was set back
	first := New(elder, options, 0)
	second := New(younger, options, 0)
	second.Merge(0, elder, "")
	second.MarkReachable(0, 1)
	second.SetState(0, Serving)
	first.Merge(0, second.Self(), "")
	first.MarkReachable(0, 2)
	first.Tick(options.SettleAfter)
	second.Tick(options.SettleAfter)
	for _, view := range []*View{first, second} {
		if names := view.DuplicateNames(0); !slices.Equal(names, []string{"n01"}) {
			t.Errorf("duplicate names in the view of %d: got %v, want n01", view.Self().Process, names)
		}
	}
	if s, ok := first.Share(options.SettleAfter); !ok || !s.OwnsName || s.Instances != 1 {
		t.Errorf("share of the first process: got %+v, %v; want that it owns its name as the only instance", s, ok)
	}
	if s, ok := second.Share(options.SettleAfter); !ok || s.OwnsName || s.Ordinal != 1 || s.Instances != 2 {
		t.Errorf("share of the second process: got %+v, %v; want that it does not own its name, with ordinal 1 of 2", s, ok)
	}
	first.SetState(options.SettleAfter, Leaving)
	second.Merge(options.SettleAfter, first.Self(), "")
	if s, ok := second.Share(options.SettleAfter); !ok || !s.OwnsName || s.Instances != 1 {
		t.Errorf("share of the second process after the first has left: got %+v, %v; want that it owns its name as the only instance", s, ok)
	}
}
