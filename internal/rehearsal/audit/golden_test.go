package audit

import (
	"testing"
	"time"

	"quincegap/internal/golden"
)

// The verdict on a run with a breach of each kind must not change: its texts, figures, traces and event lines are in a golden file.
func TestGoldenVerdict(t *testing.T) {
	script := begin().sidecarEvent(0, SidecarUp).notified(100, "Ready").notified(500, "Terminating").
		add(Event{At: 510 * ms, Kind: SidecarNotified, Sidecar: 1, Server: 2, Text: "Gone"}).
		ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Failed).sent(1110, "a", 2).end(1200, Served).answer(1201, "a", 200).
		answer(1300, "a", 200).
		ask(1400, "b", 1, 3000).sent(1401, "b", 1).sent(1500, "b", 1).end(1600, Dropped).
		add(Event{At: 1700 * ms, Kind: AnswerReceived, Request: "b", Status: 503, Duration: 2 * time.Second}).
		ask(2000, "c", 2, 1000).sent(2001, "c", 1).end(3300, Garbled).answer(3400, "c", 200).sent(3500, "c", 1).
		add(Event{At: 4000 * ms, Kind: RequestSent, Request: "c.1", Class: 9, Origin: 2, Sidecar: 1, Duration: time.Second}).
		sent(4001, "c.1", 2).end(4100, Truncated).sent(4102, "c.1", 2).end(4200, Rejected).
		timedOut(5100, "c.1").
		ask(5000, "d", 0, 6000).sent(5001, "d", 1).sent(10500, "d", 1).end(10600, Canceled).
		closed(10700, "d").
		sent(10800, "ghost", 7).end(10900, Served).
		add(Event{At: 11 * time.Second, Kind: UnsolicitedBytes, Text: "HTTP/1.1 200 OK", Origin: -1, Sidecar: 1}).
		add(Event{At: 12 * time.Second, Kind: ServerCollapsed, Server: 1, Origin: -1}).
		add(Event{At: 13 * time.Second, Kind: SidecarDied, Server: -1, Origin: -1, Text: "ended by itself"}).
		sidecarEvent(14000, SidecarKilled).
		late(15000, 120).
		add(Event{At: 15500 * ms, Kind: ServerCollapsed, Server: 2, Origin: -1}).
		add(Event{At: 16 * time.Second, Kind: ServerStarted, Server: 2, Origin: -1}).
		ask(16100, "e", 0, 1000).sent(16101, "e", 2).end(16200, Rejected).
		add(Event{At: 16300 * ms, Kind: AttemptUnreachable, Server: 1}).add(Event{At: 16310 * ms, Kind: ConnectionOpened, Server: 1}).
		add(Event{At: 16320 * ms, Kind: ListRequested}).add(Event{At: 16330 * ms, Kind: EjectedAttempted, Server: 1})
	rules := testRules()
	rules.OverloadFactor = 3
	rules.OverloadWindow = time.Second
	rules.Servers[2].Capacity = 10
	rules.Servers[2].ColdShare = 0.1
	rules.Servers[2].WarmUp = 5 * time.Second
	rules.Servers[2].Work = 50 * ms
	rules.StateUpdates = []StateUpdate{{At: time.Second, Server: 1, State: "Gone"}}
	text := golden.Values(Judge(rules, script.events, 0))
	text = append(text, golden.Values(Judge(rules, script.events, 3).VoidReason)...)
	text = append(text, golden.Values(Totals(rules, script.events))...)
	for _, e := range script.events {
		text = append(text, e.String()...)
		text = append(text, '\n')
	}
	for r := FinalAnswer; r <= SlowStartRespected; r++ {
		text = append(text, r.String()...)
		text = append(text, '\n')
	}
	golden.Text(t, "verdict.txt", text)
}
