package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// attempts polls a schedule ten times a second of simulated time, and counts its attempts.
type attempts struct {
	schedule *JoinSchedule
	now      time.Duration
	count    int            // number of attempts with at least one address
	tried    map[string]int // number of attempts by address
	missing  bool           // whether the schedule is told that members are missing
}

// run polls the schedule for a duration. Only the address l17 is reachable.
func (a *attempts) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := a.now + d; a.now < end; a.now += 100 * time.Millisecond {
		if !a.schedule.Due(a.now, a.missing) {
			continue
		}
		addresses := a.schedule.NextAddresses(func(address string) bool { return address == "l17" })
		if len(addresses) > maxAddressesPerAttempt {
			t.Fatalf("one attempt has the addresses %v, want at most %d", addresses, maxAddressesPerAttempt)
		}
		for _, address := range addresses {
			a.tried[address]++
		}
		a.count += min(len(addresses), 1)
	}
}

// Addresses are tried in turn, at most maxAddressesPerAttempt at once, with a growing backoff. When members go missing, the next attempt
// follows soon.
func TestRejoin(t *testing.T) {
	schedule := NewJoinSchedule(time.Second, time.Minute, 4, []string{"f1", "f2"}, nil, 1)
	for i := range 20 {
		schedule.Learn(fmt.Sprint("l", i))
	}
	schedule.Learn("l18")
	if got := schedule.Learned(); !slices.Equal(got, []string{"l16", "l17", "l19", "l18"}) {
		t.Errorf("learned addresses: got %v, want the last 4, with l18 as the latest", got)
	}
	attempts := &attempts{schedule: schedule, tried: map[string]int{}, missing: true}
	attempts.run(t, 10*time.Minute)
	if len(attempts.tried) != 5 || attempts.tried["l17"] > 0 || attempts.count < 12 || attempts.count > 40 {
		t.Errorf("got %d attempts in 10 minutes at %v, want 12 to 40 at the 5 addresses other than l17", attempts.count, attempts.tried)
	}
	schedule.SetDiscovered([]string{"s1", "s2"})
	schedule.ResetBackoff()
	attempts.run(t, 2*time.Minute)
	if attempts.tried["s1"] == 0 || attempts.tried["s2"] == 0 {
		t.Errorf("got attempts at %v, want some at the discovered addresses s1 and s2", attempts.tried)
	}
	attempts.missing = false
	attempts.run(t, 8*time.Minute)
	lost := attempts.now
	for !schedule.Due(attempts.now, true) {
		attempts.now += 100 * time.Millisecond
	}
	if attempts.now-lost > 3*time.Second {
		t.Errorf("the next attempt came %v after members went missing, want at most 3s", attempts.now-lost)
	}
}
