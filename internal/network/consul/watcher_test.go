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
		t.Errorf("%+v", last)
	}
	watcher.waitFor("an answer with nothing new", func() bool { return watcher.unchanged > 0 })
	health, catalog := agent.Queries()
	if health > 20 || catalog != 0 {
		t.Errorf("%d questions, %d to the catalogue", health, catalog)
	}
}

// While answers are faulty nothing is published; the changes of that time are published with the next good answer.
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
			watcher.waitFor("some questions", func() bool {
				now, _ := agent.Queries()
				return now >= before+4
			})
			if len(watcher.answers) != published {
				t.Errorf("it published %+v", watcher.answers[published:])
			}
			agent.SetFault(standin.Fault{})
			watcher.awaitReady("b", "c", "d")
		})
	}
}

// After an answer of a server that has been without contact to the leader for too long, the leader is queried.
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
	agent.SetFault(standin.Fault{NoIndex: true}) // polled then
	agent.SetStatus("b", "passing")
	watcher.awaitReady("a", "b")
	agent.SetStatus("a", "critical")
	watcher.awaitReady("b")
	agent.SetFault(standin.Fault{Lag: 50 * time.Millisecond})
	agent.SetStatus("a", "passing")
	watcher.awaitReady("a", "b")
}

// Queries also block on the content hash of an agent that returns no index.
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
		t.Errorf("%d questions: it polls", health)
	}
}

// If an agent fails the next one is queried; an agent that hangs fails by its timeout.
func TestFailover(t *testing.T) {
	first := startAgent(t, "a")
	second := startAgent(t, "a", "b")
	watcher := startWatcher(t, nil, first, second)
	watcher.awaitReady("a")
	first.SetFault(standin.Fault{Hang: true})
	watcher.awaitReady("a", "b")
	first.SetFault(standin.Fault{})
	watcher.awaitReady("a") // it goes back to the first agent though the other one answers
	before, _ := second.Queries()
	first.SetStatus("a", "critical")
	watcher.awaitReady()
	if after, _ := second.Queries(); after > before+1 {
		t.Error("the other agent is still asked")
	}
	second.Close()
	first.SetStatus("a", "passing")
	watcher.awaitReady("a")
}

// However fast changes come, the time between two answers is at least the setting pace.
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
		t.Errorf("%d questions in %v, want %d at most", after-before, took, limit)
	}
}
