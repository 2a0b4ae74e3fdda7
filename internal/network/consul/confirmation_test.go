package consul

import (
	"slices"
	"testing"
	"time"

	standin "quincegap/internal/standin/consul"
)

// An answer that is empty or lists only half of the instances is published at once, with the missing ones, and the catalogue is followed
// until it confirms or refutes that they are gone.
func TestSuspiciousAnswers(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, test := range []struct {
		name      string
		fault     standin.Fault
		untrusted bool
		confirmed int // number of missing instances that are also missing from the catalogue
	}{
		{"empty", standin.Fault{Empty: true, CatalogUnaffected: true}, false, 0},
		{"half", standin.Fault{FirstHalf: true, CatalogUnaffected: true}, false, 0},
		{"gone", standin.Fault{Empty: true}, false, 7},
		{"half gone", standin.Fault{FirstHalf: true}, false, 4},
		{"no leader", standin.Fault{Empty: true, NoLeader: true}, true, 0},
		{"stale", standin.Fault{Empty: true, LastContact: time.Minute}, true, 7},
		{"null", standin.Fault{Body: "null", CatalogUnaffected: true}, false, 0},
		{"hangs", standin.Fault{Empty: true, CatalogHangs: true}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			agent := startAgent(t, all...)
			watcher := startWatcher(t, nil, agent)
			watcher.awaitReady(all...)
			agent.SetFault(test.fault)
			watcher.waitFor("an answer with fewer instances", func() bool { return len(watcher.known) < 7 })
			for _, a := range watcher.answers {
				if len(a.Missing) > 0 && (a.Untrusted != test.untrusted || a.KnownBefore != 7) {
					t.Errorf("got the answer %+v, want Untrusted %v and KnownBefore 7", a, test.untrusted)
				}
			}
			watcher.waitFor("the catalogue's answer", func() bool {
				_, asked := agent.Queries()
				return asked > 0 && len(watcher.confirmed()) == test.confirmed
			})
			// Causes another answer of the health API after the catalogue's.
			agent.SetStatus("a", "passing")
			time.Sleep(50 * time.Millisecond)
			agent.SetFault(standin.Fault{})
			watcher.awaitReady(all...)
			if got := len(watcher.confirmed()); got != test.confirmed {
				t.Errorf("the catalogue confirmed %d missing instances, want %d", got, test.confirmed)
			}
			checkCatalogNotQueried(t, agent, watcher)
		})
	}
}

// checkCatalogNotQueried fails the test if the catalogue is queried although no instance is missing any more.
func checkCatalogNotQueried(t *testing.T, agent *standin.Server, watcher *testWatcher) {
	t.Helper()
	_, before := agent.Queries()
	for range 5 {
		seen := watcher.unchanged + len(watcher.answers)
		agent.SetStatus("a", "passing")
		watcher.waitFor("another answer", func() bool { return watcher.unchanged+len(watcher.answers) > seen })
	}
	if _, after := agent.Queries(); after > before+1 {
		t.Errorf("the catalogue was queried %d more times with no instance missing, want at most 1", after-before)
	}
}

// The catalogue is followed by blocking queries, so an instance that disappears from it later is published as soon as that happens.
func TestCatalogueIsFollowed(t *testing.T) {
	agent := startAgent(t, "a", "b", "c", "d", "e", "f")
	watcher := startWatcher(t, nil, agent)
	watcher.awaitReady("a", "b", "c", "d", "e", "f")
	agent.SetFault(standin.Fault{FirstHalf: true, CatalogUnaffected: true})
	watcher.awaitReady("a", "b", "c")
	watcher.waitFor("a second query of the catalogue, which blocks", func() bool { _, n := agent.Queries(); return n >= 2 })
	if last := watcher.answers[len(watcher.answers)-1]; len(last.ConfirmedMissing) > 0 {
		t.Errorf("the last answer is %+v, want no confirmed missing instances", last)
	}
	_, before := agent.Queries()
	agent.Update(func(all []standin.Instance) []standin.Instance { // the half in the health API stays the same
		return append(all[:3:3], all[5])
	})
	watcher.waitFor("the confirmation that two instances are gone", func() bool { return slices.Equal(watcher.confirmed(), []string{"d@n", "e@n"}) })
	if _, after := agent.Queries(); after > before+4 {
		t.Errorf("got %d queries of the catalogue, want at most 4: the watcher polls instead of blocking", after-before)
	}
}

// A critical check in an answer that requires a confirmation is published even if the catalogue does not answer.
func TestCriticalInstanceInDoubtfulAnswer(t *testing.T) {
	agent := startAgent(t, "a", "b", "c", "d", "e", "f", "g", "h")
	watcher := startWatcher(t, nil, agent)
	watcher.awaitReady("a", "b", "c", "d", "e", "f", "g", "h")
	agent.SetFault(standin.Fault{FirstHalf: true, CatalogHangs: true})
	began := time.Now()
	agent.SetStatus("b", "critical")
	watcher.awaitReady("a", "c", "d")
	if took := time.Since(began); took > requestTimeout/2 {
		t.Errorf("publishing the critical check took %v, want at most %v", took, requestTimeout/2)
	}
}
