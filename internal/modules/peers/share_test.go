package peers

import (
	"slices"
	"testing"
)

// Two processes of one name are seen, and the later one does not own it, whatever their clocks say.
func TestNameTwice(t *testing.T) {
	elder := record(1, Serving)
	elder.BornMillis = 200
	younger := record(2, Joining)
	younger.Name = elder.Name
	younger.BornMillis = 100 // by a clock that was set back
	first := New(elder, options, 0)
	second := New(younger, options, 0)
	second.Merge(0, elder, "")
	second.MarkReachable(0, 1)
	second.SetState(0, Serving)
	first.Merge(0, second.Self(), "")
	first.MarkReachable(0, 2)
	first.Tick(options.SettleAfter)
	second.Tick(options.SettleAfter)
	if s, ok := first.Share(options.SettleAfter); !ok || !s.OwnsName || s.Instances != 1 || !slices.Equal(first.DuplicateNames(0), []string{"n01"}) {
		t.Errorf("the first: %+v, %v", s, first.DuplicateNames(0))
	}
	if s, ok := second.Share(options.SettleAfter); !ok || s.OwnsName || s.Ordinal != 1 || s.Instances != 2 || !slices.Equal(second.DuplicateNames(0), []string{"n01"}) {
		t.Errorf("the second: %+v, %v", s, second.DuplicateNames(0))
	}
	first.SetState(options.SettleAfter, Leaving)
	second.Merge(options.SettleAfter, first.Self(), "")
	if s, ok := second.Share(options.SettleAfter); !ok || !s.OwnsName || s.Instances != 1 {
		t.Errorf("the second after the first has left: %+v", s)
	}
}
