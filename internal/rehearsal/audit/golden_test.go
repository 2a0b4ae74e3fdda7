package audit

import (
	"testing"
	"time"

	"quincegap/internal/golden"
)

// A run with a breach of each kind gets the verdict that it always got: texts, figures and stories.
func TestGoldenVerdict(t *testing.T) {
	s := begin().of(0, Up).told(100, 0, "Ready").told(500, 0, "Terminating").
		add(Event{At: 510 * ms, Kind: Told, Sidecar: 1, Box: 2, Text: "Gone"}).
		ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Erred).sent(1110, "a", 2).end(1200, Served).answer(1201, "a", 200).
		answer(1300, "a", 200).
		ask(1400, "b", 1, 3000).sent(1401, "b", 1).sent(1500, "b", 1).end(1600, Dropped).
		add(Event{At: 1700 * ms, Kind: Answered, Request: "b", Status: 503, Left: 2 * time.Second}).
		ask(2000, "c", 2, 1000).sent(2001, "c", 1).end(3300, Spoilt).answer(3400, "c", 200).sent(3500, "c", 1).
		add(Event{At: 4000 * ms, Kind: Asked, Request: "c.1", Class: 9, Origin: 2, Sidecar: 1, Left: time.Second}).
		sent(4001, "c.1", 2).end(4100, Cut).sent(4102, "c.1", 2).end(4200, TurnedAway).
		add(Event{At: 5100 * ms, Kind: GaveUp, Request: "c.1"}).
		ask(5000, "d", 0, 6000).sent(5001, "d", 1).sent(10500, "d", 1).end(10600, Withdrawn).
		add(Event{At: 10700 * ms, Kind: Closed, Request: "d"}).
		sent(10800, "ghost", 7).end(10900, Served).
		add(Event{At: 11 * time.Second, Kind: Stray, Text: "HTTP/1.1 200 OK", Origin: -1, Sidecar: 1}).
		add(Event{At: 12 * time.Second, Kind: Fell, Box: 1, Origin: -1}).
		add(Event{At: 13 * time.Second, Kind: Died, Box: -1, Origin: -1, Text: "ended by itself"}).
		of(14000, Killed).
		add(Event{At: 15 * time.Second, Kind: Late, Left: 120 * ms, Origin: -1}).
		add(Event{At: 15500 * ms, Kind: Fell, Box: 2, Origin: -1}).
		add(Event{At: 16 * time.Second, Kind: Began, Box: 2, Origin: -1}).
		ask(16100, "e", 0, 1000).sent(16101, "e", 2).end(16200, TurnedAway).
		add(Event{At: 16300 * ms, Kind: Knocked, Box: 1}).add(Event{At: 16310 * ms, Kind: Opened, Box: 1}).
		add(Event{At: 16320 * ms, Kind: Listed}).add(Event{At: 16330 * ms, Kind: Tried, Box: 1})
	rules := rulesOf()
	rules.TipBy = 3
	rules.TipWindow = time.Second
	rules.Boxes[2].Capacity = 10
	rules.Boxes[2].ColdFrom = 0.1
	rules.Boxes[2].Warm = 5 * time.Second
	rules.Boxes[2].Work = 50 * ms
	rules.News = []News{{At: time.Second, Box: 1, State: "Gone"}}
	text := golden.Values(Judge(rules, s.events, 0))
	text = append(text, golden.Values(Judge(rules, s.events, 3).Void)...)
	text = append(text, golden.Values(Sum(rules, s.events))...)
	for _, e := range s.events {
		text = append(text, e.String()...)
		text = append(text, '\n')
	}
	for r := FinalAnswer; r <= ColdBoxes; r++ {
		text = append(text, r.String()...)
		text = append(text, '\n')
	}
	golden.Text(t, "verdict.txt", text)
}
