package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// attempts are what a schedule gives over a while, asked ten times a second.
type attempts struct {
	schedule *JoinSchedule
	now      time.Duration
	count    int            // attempts with addresses
	tried    map[string]int // by address
	missing  bool           // members are
}

// run lets a while go by. Only l17 is reachable.
func (a *attempts) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := a.now + d; a.now < end; a.now += 100 * time.Millisecond {
		if !a.schedule.Due(a.now, a.missing) {
			continue
		}
		addresses := a.schedule.NextAddresses(func(address string) bool { return address == "l17" })
		if len(addresses) > maxAddressesPerAttempt {
			t.Fatalf("%v at once", addresses)
		}
		for _, address := range addresses {
			a.tried[address]++
		}
		a.count += min(len(addresses), 1)
	}
}

// Addresses are tried in turn, few at once, with growing pauses, and soon again when members start to be missing.
func TestRejoin(t *testing.T) {
	schedule := NewJoinSchedule(time.Second, time.Minute, 4, []string{"f1", "f2"}, nil, 1)
	for i := range 20 {
		schedule.Learn(fmt.Sprint("l", i))
	}
	schedule.Learn("l18")
	if got := schedule.Learned(); !slices.Equal(got, []string{"l16", "l17", "l19", "l18"}) {
		t.Errorf("learned: %v", got)
	}
	a := &attempts{schedule: schedule, tried: map[string]int{}, missing: true}
	a.run(t, 10*time.Minute)
	if len(a.tried) != 5 || a.tried["l17"] > 0 || a.count < 12 || a.count > 40 {
		t.Errorf("%d attempts in 10 minutes: %v", a.count, a.tried)
	}
	schedule.SetDiscovered([]string{"s1", "s2"})
	schedule.ResetBackoff()
	a.run(t, 2*time.Minute)
	if a.tried["s1"] == 0 || a.tried["s2"] == 0 {
		t.Errorf("what was discovered is not tried: %v", a.tried)
	}
	a.missing = false
	a.run(t, 8*time.Minute)
	lost := a.now
	for !schedule.Due(a.now, true) {
		a.now += 100 * time.Millisecond
	}
	if a.now-lost > 3*time.Second {
		t.Errorf("members were missing, and the next attempt came %v later", a.now-lost)
	}
}
