package audit

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testRules returns the rules of a small installation: servers 0 and 1 share a cell and server 2 is in another; class 0 is keyed,
// class 1 unsafe and class 2 safe. One request of each class arrives after a second.
func testRules() Rules {
	return Rules{
		Length: 20 * time.Second, Slack: 50 * ms, Drain: 250 * ms, NotifyWithin: 6 * time.Second, MaxAttempts: 3,
		Classes: []Class{
			{
				Name: "book", Idempotency: "keyed", Scope: "cell", Window: 4 * time.Second,
				LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Value: 2,
			},
			{Name: "once", Idempotency: "unsafe", LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Value: 1},
			{Name: "find", Idempotency: "safe", LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Value: 1},
		},
		Servers:  []Server{{Name: "box 1", Tier: 0, Cell: 0}, {Name: "box 2", Tier: 0, Cell: 0}, {Name: "box 3", Tier: 0, Cell: 1}},
		Sidecars: []string{"n1", "n2"},
		Arrivals: []Arrival{{At: time.Second, Class: 0}, {At: time.Second, Class: 1}, {At: time.Second, Class: 2}},
	}
}

// script is a list of events written by hand. Times are in milliseconds. Sidecar and server are 0 unless an event names another.
type script struct {
	events []Event
	serial uint64 // ID of the last attempt that was sent
}

func begin() *script { return &script{} }

func (s *script) add(e Event) *script {
	s.events = append(s.events, e)
	return s
}

// ask adds the first attempt of a caller, for the arrival whose index is the class's, with left milliseconds to the timeout.
func (s *script) ask(at int, id string, class, left int) *script {
	return s.add(Event{
		At: time.Duration(at) * ms, Kind: RequestSent, Request: id, Class: class, Origin: class, CallerAttempt: 1,
		Duration: time.Duration(left) * ms,
	})
}

// askSidecar adds a request for arrival 0 to the second sidecar: a caller's attempt, or a call by a server (callerAttempt 0).
func (s *script) askSidecar(at int, id string, class, callerAttempt int) *script {
	return s.add(Event{
		At: time.Duration(at) * ms, Kind: RequestSent, Request: id, Class: class, Sidecar: 1, CallerAttempt: callerAttempt,
		Duration: time.Second,
	})
}

// sent adds an attempt that a server received.
func (s *script) sent(at int, id string, server int) *script {
	s.serial++
	return s.add(Event{
		At: time.Duration(at) * ms, FirstByteAt: time.Duration(at) * ms, Kind: AttemptReceived, Request: id, Server: server,
		AttemptID: s.serial,
	})
}

// end adds the end of the attempt that was sent last.
func (s *script) end(at int, result AttemptResult) *script { return s.endOf(at, s.serial, result) }

// endOf adds the end of an attempt.
func (s *script) endOf(at int, attempt uint64, result AttemptResult) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: AttemptEnded, AttemptID: attempt, Result: result, Work: 100 * ms})
}

// answer adds an answer to a caller.
func (s *script) answer(at int, id string, status int) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: AnswerReceived, Request: id, Status: status, Authentic: status == 200})
}

// closed adds the end of a request's connection before its answer.
func (s *script) closed(at int, id string) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: ConnectionClosed, Request: id})
}

// timedOut adds the timeout of a request's caller.
func (s *script) timedOut(at int, id string) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: CallerTimedOut, Request: id})
}

// notified adds a notification of the sidecar about the server's state.
func (s *script) notified(at int, state string) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: SidecarNotified, Text: state})
}

// late adds a lateness of the emulator.
func (s *script) late(at, by int) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: EmulatorLate, Duration: time.Duration(by) * ms, Origin: -1})
}

// sidecarEvent adds an event of the given kind about the sidecar.
func (s *script) sidecarEvent(at int, kind Kind) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: kind, Server: -1, Origin: -1})
}

// breachCases are scripts that break one rule or none, by name.
var breachCases = map[string]struct {
	script *script
	rule   Rule
	want   string // text in the only breach; empty if no breach is expected
}{
	"served": {script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200)},
	"no answer": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).sidecarEvent(1000, SidecarUp),
		rule:   FinalAnswer, want: "no answer in 3s",
	},
	"the caller gave up in the end": {
		script: begin().ask(1000, "a", 0, 3000).timedOut(4100, "a"),
		rule:   FinalAnswer, want: "no answer in 3s",
	},
	"the caller went away early": {script: begin().ask(1000, "a", 0, 3000).timedOut(2000, "a")},
	"the sidecar was killed": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).sidecarEvent(2000, SidecarKilled).closed(2001, "a"),
	},
	"it was killed long before": {
		script: begin().sidecarEvent(200, SidecarKilled).sidecarEvent(500, SidecarUp).ask(1000, "a", 0, 3000).sent(1001, "a", 0).
			closed(2001, "a"),
		rule: FinalAnswer, want: "closed without an answer",
	},
	"it died by itself": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).sidecarEvent(2000, SidecarDied).closed(2001, "a"),
		rule:   FinalAnswer, want: "closed without an answer",
	},
	"it was told to end": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).sidecarEvent(1500, SidecarStopping).closed(2001, "a"),
		rule:   FinalAnswer, want: "closed without an answer",
	},
	"closed between requests": {
		script: begin().ask(1000, "a", 0, 3000).closed(1001, "a").ask(1002, "a", 0, 2998).sent(1003, "a", 0).end(1100, Served).
			answer(1101, "a", 200),
	},
	"asked again of another after a kill": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).sidecarEvent(1100, SidecarKilled).end(1100, Canceled).
			closed(1100, "a").
			askSidecar(1101, "a", 1, 1).
			sent(1102, "a", 2).end(1200, Served).answer(1201, "a", 200),
	},
	"closed with an attempt out, and asked again": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Canceled).closed(1100, "a").
			ask(1101, "a", 0, 2900).sent(1102, "a", 0).end(1200, Served).answer(1201, "a", 200),
		rule: FinalAnswer, want: "closed without an answer",
	},
	"closed with nothing sent on": {script: begin().ask(1000, "a", 0, 3000).closed(1001, "a")},
	"late": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(4051, Served).answer(4060, "a", 200),
		rule:   FinalAnswer, want: "60ms after the request's time",
	},
	"late within the slack": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(4000, Served).answer(4049, "a", 200),
	},
	"two answers": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200).
			answer(1102, "a", 200),
		rule: FinalAnswer, want: "two answers",
	},
	"an answer of nobody": {
		script: begin().ask(1000, "a", 0, 3000).add(Event{At: 1100 * ms, Kind: AnswerReceived, Request: "a", Status: 200}),
		rule:   FinalAnswer, want: "no box made",
	},
	"what nobody asked for": {
		script: begin().add(Event{At: 1100 * ms, Kind: UnsolicitedBytes, Text: "HTTP/1.1", Origin: -1}),
		rule:   FinalAnswer, want: "nobody had asked for",
	},
	"again after the answer": {
		script: begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).end(1100, Failed).answer(1101, "a", 502).sent(1200, "a", 1).
			end(1300, Served),
		rule: FinalAnswer, want: "after its final answer",
	},
	"two at once": {
		script: begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).sent(1100, "a", 1).end(1200, Served).
			endOf(1300, 1, Canceled).answer(1201, "a", 200),
		rule: AtMostOnce, want: "while another attempt was out, at box 1",
	},
	"two that cross": {
		script: begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).sent(1100, "a", 1).end(1200, Served).
			endOf(1140, 1, Canceled).answer(1201, "a", 200),
	},
	"one that never ended": {
		script: begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).sent(1100, "a", 1).end(1200, Served).answer(1201, "a", 200),
		rule:   AtMostOnce, want: "while another attempt was out",
	},
	"unsafe again": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Failed).sent(1110, "a", 1).end(1200, Served).
			answer(1201, "a", 200),
		rule: AtMostOnce, want: "after an attempt that may have run",
	},
	"unsafe again, turned away": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Rejected).sent(1110, "a", 1).end(1200, Served).
			answer(1201, "a", 200),
	},
	"unsafe again, cut off": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Truncated).sent(1110, "a", 1).end(1200, Served).
			answer(1201, "a", 200),
	},
	"unsafe again, reset": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Dropped).sent(1110, "a", 1).end(1200, Served).
			answer(1201, "a", 200),
		rule: AtMostOnce, want: "may have run",
	},
	"unsafe again, spoilt": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Garbled).sent(1110, "a", 1).end(1200, Served).
			answer(1201, "a", 200),
		rule: AtMostOnce, want: "may have run",
	},
	"unsafe again, withdrawn": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Canceled).sent(1110, "a", 1).end(1200, Served).
			answer(1201, "a", 200),
		rule: AtMostOnce, want: "may have run",
	},
	"unsafe refused": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Canceled).answer(1101, "a", 503),
		rule:   AtMostOnce, want: "trying again is harmless",
	},
	"unsafe refused, never ran": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Rejected).answer(1101, "a", 503),
	},
	"unsafe failed": {
		script: begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Canceled).answer(1101, "a", 502),
	},
	"keyed, same cell": {
		script: begin().ask(1000, "a", 0, 5000).sent(1001, "a", 0).end(1100, Failed).sent(1110, "a", 1).end(1200, Served).
			answer(1201, "a", 200),
	},
	"keyed, another cell": {
		script: begin().ask(1000, "a", 0, 5000).sent(1001, "a", 0).end(1100, Failed).sent(1110, "a", 2).end(1200, Served).
			answer(1201, "a", 200),
		rule: AtMostOnce, want: "outside the group",
	},
	"keyed, another cell, never ran": {
		script: begin().ask(1000, "a", 0, 5000).sent(1001, "a", 0).end(1100, Rejected).sent(1110, "a", 2).end(1200, Served).
			answer(1201, "a", 200),
	},
	"keyed, after the window": {
		script: begin().ask(1000, "a", 0, 6000).sent(1001, "a", 0).end(1100, Failed).sent(5200, "a", 1).end(5300, Served).
			answer(5301, "a", 200),
		rule: AtMostOnce, want: "its key is remembered for 4s",
	},
	"more attempts than allowed": {
		script: begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).end(1010, Rejected).sent(1020, "a", 1).end(1030, Rejected).
			sent(1040, "a", 2).end(1050, Rejected).sent(1060, "a", 0).end(1070, Served).answer(1071, "a", 200),
		rule: AtMostOnce, want: "attempt 4; 3 are allowed",
	},
	"a request of nobody": {
		script: begin().sent(1001, "ghost", 0).end(1100, Served),
		rule:   AtMostOnce, want: "nobody asked for",
	},
	"to one that drains": {
		script: begin().notified(100, "Ready").notified(500, "Terminating").ask(1000, "a", 0, 3000).sent(1001, "a", 0).
			end(1100, Served).answer(1101, "a", 200),
		rule: DrainRespected, want: "501ms after the sidecar was told that it is Terminating",
	},
	"to one that has gone": {
		script: begin().notified(100, "Ready").notified(500, "Gone").ask(1000, "a", 0, 3000).sent(1001, "a", 0).
			end(1100, Served).answer(1101, "a", 200),
		rule: DrainRespected, want: "is Gone",
	},
	"within the grace": {
		script: begin().notified(100, "Ready").notified(750, "Terminating").ask(1000, "a", 0, 3000).sent(1001, "a", 0).
			end(1100, Served).answer(1101, "a", 200),
	},
	"back since": {
		script: begin().notified(100, "Ready").notified(400, "Gone").notified(900, "Ready").ask(1000, "a", 0, 3000).
			sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200),
	},
	"another sidecar was told": {
		script: begin().add(Event{At: 500 * ms, Kind: SidecarNotified, Sidecar: 1, Text: "Gone"}).ask(1000, "a", 0, 3000).
			sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200),
	},
	"a cold box fell": {
		script: begin().add(Event{At: 2000 * ms, Kind: ServerCollapsed, Server: 1, Origin: -1}),
		rule:   SlowStartRespected, want: "fell over",
	},
	"the emulator was late": {
		script: begin().late(3500, 200).ask(1000, "a", 0, 3000).
			sent(1001, "a", 0).sidecarEvent(900, SidecarUp),
	},
	"it was late long before": {
		script: begin().late(500, 200).ask(3000, "a", 0, 3000).
			sent(3001, "a", 0),
		rule: FinalAnswer, want: "no answer",
	},
	"refused, without an attempt": {script: begin().ask(1000, "a", 0, 3000).answer(1001, "a", 503)},
	"an answer that crosses a cancel": {
		script: begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(2000, Served).timedOut(2000, "a"),
	},
}

// Judge must find each way to break a rule, with a message that names it, and must accept similar runs that are allowed.
func TestBreaches(t *testing.T) {
	for name, test := range breachCases {
		v := Judge(testRules(), test.script.events, 0)
		if test.want == "" {
			if len(v.Breaches) > 0 {
				t.Errorf("%s: got breaches %v, want none", name, v.Breaches)
			}
			continue
		}
		if len(v.Breaches) != 1 || v.Breaches[0].Rule != test.rule || !strings.Contains(v.Breaches[0].Message, test.want) ||
			v.BreachesByRule[test.rule] != 1 {
			t.Errorf("%s: got breaches %v, want one of rule %q with %q", name, v.Breaches, test.rule, test.want)
		}
	}
}

// An update of discovery counts as notified 6 s later, written or not, unless the sidecar started after that or has since been
// notified that the server is ready again.
func TestNotifiedUnwritten(t *testing.T) {
	served := func(s *script, at int) *script {
		return s.ask(at, "a", 0, 3000).sent(at+1, "a", 0).end(at+100, Served).answer(at+101, "a", 200)
	}
	for name, test := range map[string]struct {
		script *script
		want   int
	}{
		"too early":    {served(begin().sidecarEvent(0, SidecarUp).notified(0, "Ready"), 7200), 0},
		"late":         {served(begin().sidecarEvent(0, SidecarUp).notified(0, "Ready"), 7400), 1},
		"started then": {served(begin().sidecarEvent(7100, SidecarUp), 7400), 0},
		"ready again":  {served(begin().sidecarEvent(0, SidecarUp).notified(0, "Ready").notified(3000, "Ready"), 7400), 0},
	} {
		r := testRules()
		r.StateUpdates = []StateUpdate{{At: time.Second, Server: 0, State: "Gone"}}
		if v := Judge(r, test.script.events, 0); v.BreachesByRule[DrainRespected] != test.want {
			t.Errorf("%s: got %d breaches of the drain rule, want %d: %v", name, v.BreachesByRule[DrainRespected], test.want, v.Breaches)
		}
	}
}

// Service is the share of value answered within the latency target, measured from the first attempt. A request without an answer
// counts as wanted.
func TestService(t *testing.T) {
	s := begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Failed).answer(1101, "a", 502).
		add(Event{At: 1500 * ms, Kind: RequestSent, Request: "a2", CallerAttempt: 2, Duration: 3 * time.Second}).
		sent(1501, "a2", 0).end(1600, Served).answer(1601, "a2", 200).
		ask(1000, "b", 1, 6000).sent(1001, "b", 1).end(3900, Served).answer(3901, "b", 200).
		ask(1000, "c", 2, 3000).answer(1001, "c", 503)
	verdict := Judge(testRules(), s.events, 0)
	if verdict.Service != 0.5 || verdict.InTime != 1 || verdict.Late != 1 || verdict.Rejected != 1 || verdict.Failed != 0 ||
		verdict.CallerAttempts != 4 || verdict.ServerAttempts != 3 {
		t.Errorf("service and counts of one request in time, one late, one rejected: got %+v", verdict)
	}
	if verdict.P50 != 601*ms || verdict.P99 != 2901*ms {
		t.Errorf("latencies: got P50 %v and P99 %v, want 601ms and 2.901s", verdict.P50, verdict.P99)
	}
	if want := 1.0 / 3; verdict.WastedShare < want-1e-9 || verdict.WastedShare > want+1e-9 {
		t.Errorf("share of wasted work: got %v, want %v", verdict.WastedShare, want)
	}
	if verdict.WorstService != 0.5 || verdict.WorstFrom != 0 || verdict.Seconds[1].Offered != 3 || verdict.Seconds[1].Attempts != 3 {
		t.Errorf("worst service: got %v from %v with second 1 %+v, want 0.5 from 0s with 3 offered and 3 attempts",
			verdict.WorstService, verdict.WorstFrom, verdict.Seconds[1])
	}
	if verdict = Judge(testRules(), nil, 0); verdict.Service != 0 || verdict.Failed != 3 {
		t.Errorf("run without answers: got service %v and %d failed requests, want 0 and 3", verdict.Service, verdict.Failed)
	}
}

// A run is void if the emulator is late too often or if the log dropped events.
func TestVoid(t *testing.T) {
	if v := Judge(testRules(), begin().late(3000, 300).events, 0); v.VoidReason != "" || v.MaxLateness != 300*ms {
		t.Errorf("one late second: got void reason %q and lateness %v, want none and 300ms", v.VoidReason, v.MaxLateness)
	}
	v := Judge(testRules(), begin().late(3000, 300).late(7000, 300).events, 0)
	if !strings.Contains(v.VoidReason, "2 of 20 seconds, by up to 300ms") {
		t.Errorf("two late seconds: got void reason %q, want 2 of 20 seconds", v.VoidReason)
	}
	if v := Judge(testRules(), begin().late(1000, 30).late(4000, 30).events, 0); v.VoidReason != "" {
		t.Errorf("lateness below the threshold: got void reason %q, want none", v.VoidReason)
	}
	if v := Judge(testRules(), nil, 5); !strings.Contains(v.VoidReason, "5 events") {
		t.Errorf("5 lost events: got void reason %q, want one that names them", v.VoidReason)
	}
}

// The trace of a request with a breach lists its steps in order of time, including the calls that servers made for it.
func TestTraces(t *testing.T) {
	s := begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).
		askSidecar(1010, "a.1", 0, 0).sent(1011, "a.1", 2).end(1050, Served).answer(1051, "a.1", 200).
		endOf(1100, 1, Failed).sent(1110, "a", 2).end(1200, Served).answer(1201, "a", 200)
	verdict := Judge(testRules(), s.events, 0)
	if len(verdict.Traces) != 3 || verdict.Traces[0].Origin != 0 || !strings.Contains(verdict.Traces[0].Reason, "outside the group") {
		t.Fatalf("got traces %+v, want 3 with the breach of arrival 0 first", verdict.Traces)
	}
	var got []string
	for _, l := range verdict.Traces[0].Lines {
		got = append(got, l.Text)
	}
	want := []string{
		"a asked of n1, 3.000 s left", "a: attempt 1 comes to box 1", "a.1 asked of n2, 1.000 s left", "a.1: attempt 1 comes to box 3",
		"a.1: attempt 1 at box 3 served", "a.1: answered 200", "a: attempt 1 at box 1 failed with 500", "a: attempt 2 comes to box 3",
		"a: attempt 2 at box 3 served", "a: answered 200",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("trace lines: got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if verdict.Traces[1].Reason != "no answer" {
		t.Errorf("second trace: got %+v, want the reason \"no answer\"", verdict.Traces[1])
	}
}

func TestLogIsBounded(t *testing.T) {
	l := Log{MaxEvents: 2}
	for range 3 {
		l.Add(Event{})
	}
	if events, lost := l.Events(); len(events) != 2 || lost != 1 {
		t.Errorf("3 events in a log of 2: got %d events and %d lost, want 2 and 1", len(events), lost)
	}
}
