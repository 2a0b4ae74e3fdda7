package consul

import (
	"testing"
	"time"

	standin "quincegap/internal/standin/consul"
)

func TestWatcherFollowsChanges(t *testing.T) {
	agent := startAgent(t, "a", "b", "c")
	watcher := startWatcher(t, nil, agent)
	watcher.awaitReady("a", "b", "c")
	agent.SetStatus("b", "critical")
	watcher.awaitReady("a", "c")
	agent.SetStatus("b", "warning")
	watcher.awaitReady("a", "b", "c")
	agent.Update(func(all []standin.Instance) []standin.Instance { return all[1:] })
	watcher.awaitReady("b", "c")
	last := watcher.answers[len(watcher.answers)-1]
	if len(last.Changed) != 0 || len(last.Missing) != 1 || last.KnownBefore != 3 || len(last.ConfirmedMissing) > 0 {
		t.Errorf("the last answer is %+v, want 1 missing of 3 known instances, none of them confirmed", last)
	}
	watcher.waitFor("an answer without changes", func() bool { return watcher.unchanged > 0 })
	health, catalog := agent.Queries()
	if health > 20 || catalog != 0 {
		t.Errorf("got %d queries of the health API and %d of the catalogue, want at most 20 and 0", health, catalog)
	}
}

// No changes are published while answers are faulty; the changes of that time are published with the next valid answer.
func TestFaultyAnswers(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"refuse":   {Refuse: true},
		"reset":    {Reset: true},
		"truncate": {Truncate: true},
		"429":      {Status: 429},
		"500":      {Status: 500},
		"403":      {Status: 403},
		"junk":     {Body: "<html>"},
		"object":   {Body: "{}"},
		"words":    {Body: `["a","b"]`},
		"types":    {Body: `[{"Service":{"ID":5}}]`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := startAgent(t, "a", "b", "c", "d")
			watcher := startWatcher(t, nil, agent)
			watcher.awaitReady("a", "b", "c", "d")
			published := len(watcher.answers)
			before, _ := agent.Queries()
			agent.SetFault(fault)
			agent.SetStatus("a", "critical")
			watcher.waitFor("four more queries", func() bool {
				now, _ := agent.Queries()
				return now >= before+4
			})
			if len(watcher.answers) != published {
				t.Errorf("published %+v while answers were faulty, want nothing", watcher.answers[published:])
			}
			agent.SetFault(standin.Fault{})
			watcher.awaitReady("b", "c", "d")
		})
	}
}

// After an answer of a server that has not heard from the leader for too long, the next query goes to the leader.
func TestStaleServer(t *testing.T) {
	agent := startAgent(t, "a")
	watcher := startWatcher(t, nil, agent)
	watcher.awaitReady("a")
	agent.SetFault(standin.Fault{LastContact: time.Minute})
	agent.SetStatus("a", "critical")
	watcher.awaitReady()
	agent.SetStatus("a", "passing")
	watcher.awaitReady("a")
	watcher.waitFor("the leader's answer", func() bool {
		if watcher.answers[len(watcher.answers)-1].Untrusted {
			agent.Update(func(all []standin.Instance) []standin.Instance { all[0].PassingWeight++; return all })
			time.Sleep(20 * time.Millisecond)
			return false
		}
		return true
	})
}

func TestIndexRules(t *testing.T) {
	agent := startAgent(t, "a", "b")
	watcher := startWatcher(t, nil, agent)
	watcher.awaitReady("a", "b")
	agent.SetFault(standin.Fault{IndexBack: 8})
	agent.SetStatus("b", "critical")
	watcher.awaitReady("a")
	agent.SetFault(standin.Fault{NoIndex: true}) // the watcher polls then
	agent.SetStatus("b", "passing")
	watcher.awaitReady("a", "b")
	agent.SetStatus("a", "critical")
	watcher.awaitReady("b")
	agent.SetFault(standin.Fault{Lag: 50 * time.Millisecond})
	agent.SetStatus("a", "passing")
	watcher.awaitReady("a", "b")
}

// If an agent returns a content hash but no index, queries block on the hash.
func TestHashBlocking(t *testing.T) {
	agent := startAgent(t, "a", "b")
	agent.SetFault(standin.Fault{ContentHash: true})
	watcher := startWatcher(t, nil, agent)
	watcher.awaitReady("a", "b")
	for _, status := range []string{"critical", "passing", "critical"} {
		agent.SetStatus("b", status)
		if status == "critical" {
			watcher.awaitReady("a")
		} else {
			watcher.awaitReady("a", "b")
		}
	}
	if health, _ := agent.Queries(); health > 12 {
		t.Errorf("got %d queries, want at most 12: the watcher polls instead of blocking", health)
	}
}

// If an agent fails, the next one is queried. An agent that does not answer fails by the timeout of the query.
func TestFailover(t *testing.T) {
	first := startAgent(t, "a")
	second := startAgent(t, "a", "b")
	watcher := startWatcher(t, nil, first, second)
	watcher.awaitReady("a")
	first.SetFault(standin.Fault{Hang: true})
	watcher.awaitReady("a", "b")
	first.SetFault(standin.Fault{})
	watcher.awaitReady("a") // the watcher returns to the first agent, although the second one answers
	before, _ := second.Queries()
	first.SetStatus("a", "critical")
	watcher.awaitReady()
	if after, _ := second.Queries(); after > before+1 {
		t.Errorf("the second agent got %d more queries after the return to the first one, want at most 1", after-before)
	}
	second.Close()
	first.SetStatus("a", "passing")
	watcher.awaitReady("a")
}

// However fast changes occur, the time between two answers is at least the setting pace.
func TestPace(t *testing.T) {
	agent := startAgent(t, "a", "b")
	watcher := startWatcher(t, func(s *Settings) { s.MinInterval = 100 * time.Millisecond }, agent)
	watcher.awaitReady("a", "b")
	before, _ := agent.Queries()
	began := time.Now()
	for i := range 400 {
		agent.SetStatus("a", []string{"critical", "passing"}[i%2])
		time.Sleep(time.Millisecond)
	}
	took := time.Since(began)
	after, _ := agent.Queries()
	if limit := int(took/(100*time.Millisecond)) + 2; after-before > limit {
		t.Errorf("got %d queries in %v, want at most %d", after-before, took, limit)
	}
}
