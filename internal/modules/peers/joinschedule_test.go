package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// attempts records the attempts of a schedule that is polled ten times a second.
type attempts struct {
	schedule *JoinSchedule
	now      time.Duration
	count    int            // attempts with addresses
	tried    map[string]int // by address
	missing  bool           // members are missing
}

// run polls the schedule for a duration. Only l17 is reachable.
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

// Addresses are tried in turn, few at once, with growing backoff, and soon again when members are missing.
func TestRejoin(t *testing.T) {
	schedule := NewJoinSchedule(time.Second, time.Minute, 4, []string{"f1", "f2"}, nil, 1)
	for i := range 20 {
		schedule.Learn(fmt.Sprint("l", i))
	}
	schedule.Learn("l18")
	if got := schedule.Learned(); !slices.Equal(got, []string{"l16", "l17", "l19", "l18"}) {
		t.Errorf("learned: %v", got)
	}
	attempts := &attempts{schedule: schedule, tried: map[string]int{}, missing: true}
	attempts.run(t, 10*time.Minute)
	if len(attempts.tried) != 5 || attempts.tried["l17"] > 0 || attempts.count < 12 || attempts.count > 40 {
		t.Errorf("%d attempts in 10 minutes: %v", attempts.count, attempts.tried)
	}
	schedule.SetDiscovered([]string{"s1", "s2"})
	schedule.ResetBackoff()
	attempts.run(t, 2*time.Minute)
	if attempts.tried["s1"] == 0 || attempts.tried["s2"] == 0 {
		t.Errorf("the discovered addresses are not tried: %v", attempts.tried)
	}
	attempts.missing = false
	attempts.run(t, 8*time.Minute)
	lost := attempts.now
	for !schedule.Due(attempts.now, true) {
		attempts.now += 100 * time.Millisecond
	}
	if attempts.now-lost > 3*time.Second {
		t.Errorf("members were missing, and the next attempt came %v later", attempts.now-lost)
	}
}
