package consul

import (
	"slices"
	"testing"
	"time"

	standin "quincegap/internal/standin/consul"
)

// An answer that is empty or lists half of the instances is published at once with the missing ones, and the catalogue is followed until
// it confirms or refutes that they are gone.
func TestSuspiciousAnswers(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, test := range []struct {
		name      string
		fault     standin.Fault
		untrusted bool
		confirmed int // missing instances that the catalogue lacks too
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
			watcher.waitFor("fewer", func() bool { return len(watcher.known) < 7 })
			for _, a := range watcher.answers {
				if len(a.Missing) > 0 && (a.Untrusted != test.untrusted || a.KnownBefore != 7) {
					t.Errorf("%+v", a)
				}
			}
			watcher.waitFor("the catalogue's answer", func() bool {
				_, asked := agent.Queries()
				return asked > 0 && len(watcher.confirmed()) == test.confirmed
			})
			// Another answer of the health API comes after the catalogue's.
			agent.SetStatus("a", "passing")
			time.Sleep(50 * time.Millisecond)
			agent.SetFault(standin.Fault{})
			watcher.awaitReady(all...)
			if got := len(watcher.confirmed()); got != test.confirmed {
				t.Errorf("the catalogue confirmed %d, want %d", got, test.confirmed)
			}
			checkCatalogNotQueried(t, agent, watcher)
		})
	}
}

// checkCatalogNotQueried fails if the catalogue is queried though nothing is missing any more.
func checkCatalogNotQueried(t *testing.T, agent *standin.Server, watcher *testWatcher) {
	t.Helper()
	_, before := agent.Queries()
	for range 5 {
		seen := watcher.unchanged + len(watcher.answers)
		agent.SetStatus("a", "passing")
		watcher.waitFor("an answer", func() bool { return watcher.unchanged+len(watcher.answers) > seen })
	}
	if _, after := agent.Queries(); after > before+1 {
		t.Errorf("the catalogue was asked %d times more", after-before)
	}
}

// The catalogue is followed by blocking queries: an instance that disappears from it later is published then.
func TestCatalogueIsFollowed(t *testing.T) {
	agent := startAgent(t, "a", "b", "c", "d", "e", "f")
	watcher := startWatcher(t, nil, agent)
	watcher.awaitReady("a", "b", "c", "d", "e", "f")
	agent.SetFault(standin.Fault{FirstHalf: true, CatalogUnaffected: true})
	watcher.awaitReady("a", "b", "c")
	watcher.waitFor("a held question", func() bool { _, n := agent.Queries(); return n >= 2 })
	if last := watcher.answers[len(watcher.answers)-1]; len(last.ConfirmedMissing) > 0 {
		t.Errorf("%+v", last)
	}
	_, before := agent.Queries()
	agent.Update(func(all []standin.Instance) []standin.Instance { // the health API's half stays the same
		return append(all[:3:3], all[5])
	})
	watcher.waitFor("two are gone", func() bool { return slices.Equal(watcher.confirmed(), []string{"d@n", "e@n"}) })
	if _, after := agent.Queries(); after > before+4 {
		t.Errorf("%d questions: it polls", after-before)
	}
}

// A critical check in a doubtful answer is published though the catalogue hangs.
func TestCriticalInstanceInDoubtfulAnswer(t *testing.T) {
	agent := startAgent(t, "a", "b", "c", "d", "e", "f", "g", "h")
	watcher := startWatcher(t, nil, agent)
	watcher.awaitReady("a", "b", "c", "d", "e", "f", "g", "h")
	agent.SetFault(standin.Fault{FirstHalf: true, CatalogHangs: true})
	began := time.Now()
	agent.SetStatus("b", "critical")
	watcher.awaitReady("a", "c", "d")
	if took := time.Since(began); took > requestTimeout/2 {
		t.Errorf("it took %v", took)
	}
}
