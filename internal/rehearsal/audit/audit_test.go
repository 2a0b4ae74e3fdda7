package audit

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// rulesOf is a small installation: boxes 0 and 1 share a cell, 2 is in another; classes 0 keyed, 1 unsafe, 2 safe.
func rulesOf() Rules {
	return Rules{
		Length: 20 * time.Second, Slack: 50 * ms, Drain: 250 * ms, NotifyWithin: 6 * time.Second, MaxAttempts: 3,
		Classes: []Class{
			{Name: "book", Idempotency: "keyed", Scope: "cell", Window: 4 * time.Second, LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Value: 2},
			{Name: "once", Idempotency: "unsafe", LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Value: 1},
			{Name: "find", Idempotency: "safe", LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Value: 1},
		},
		Servers:  []Server{{Name: "box 1", Tier: 0, Cell: 0}, {Name: "box 2", Tier: 0, Cell: 0}, {Name: "box 3", Tier: 0, Cell: 1}},
		Sidecars: []string{"n1", "n2"},
		Arrivals: []Arrival{{At: time.Second, Class: 0}, {At: time.Second, Class: 1}, {At: time.Second, Class: 2}},
	}
}

// script writes events by hand; times are milliseconds.
type script struct {
	events []Event
	serial uint64
}

func (s *script) add(e Event) *script {
	s.events = append(s.events, e)
	return s
}

// ask is a request of the arrival with the class's number.
func (s *script) ask(at int, id string, class, left int) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: RequestSent, Request: id, Class: class, Origin: class, CallerAttempt: 1, Duration: time.Duration(left) * ms})
}

func (s *script) sent(at int, id string, box int) *script {
	s.serial++
	return s.add(Event{At: time.Duration(at) * ms, FirstByteAt: time.Duration(at) * ms, Kind: AttemptReceived, Request: id, Server: box, AttemptID: s.serial})
}

// end ends the attempt that was sent last.
func (s *script) end(at int, how AttemptResult) *script { return s.endOf(at, s.serial, how) }

func (s *script) endOf(at int, attempt uint64, how AttemptResult) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: AttemptEnded, AttemptID: attempt, Result: how, Work: 100 * ms})
}

func (s *script) answer(at int, id string, status int) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: AnswerReceived, Request: id, Status: status, Authentic: status == 200})
}

func (s *script) notified(at int, state string) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: SidecarNotified, Text: state})
}

func (s *script) of(at int, k Kind) *script {
	return s.add(Event{At: time.Duration(at) * ms, Kind: k, Server: -1, Origin: -1})
}

func begin() *script { return &script{} }

const none = ""

// breachCases are scripts of one request, by name.
var breachCases = map[string]struct {
	s    *script
	rule Rule
	want string // in the one breach; none if there is to be none
}{
	"served":                        {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200), 0, none},
	"no answer":                     {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).of(1000, SidecarUp), FinalAnswer, "no answer in 3s"},
	"the caller gave up in the end": {begin().ask(1000, "a", 0, 3000).add(Event{At: 4100 * ms, Kind: CallerTimedOut, Request: "a"}), FinalAnswer, "no answer in 3s"},
	"the caller went away early":    {begin().ask(1000, "a", 0, 3000).add(Event{At: 2000 * ms, Kind: CallerTimedOut, Request: "a"}), 0, none},
	"the sidecar was killed":        {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).of(2000, SidecarKilled).add(Event{At: 2001 * ms, Kind: ConnectionClosed, Request: "a"}), 0, none},
	"it was killed long before":     {begin().of(200, SidecarKilled).of(500, SidecarUp).ask(1000, "a", 0, 3000).sent(1001, "a", 0).add(Event{At: 2001 * ms, Kind: ConnectionClosed, Request: "a"}), FinalAnswer, "closed without an answer"},
	"it died by itself":             {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).of(2000, SidecarDied).add(Event{At: 2001 * ms, Kind: ConnectionClosed, Request: "a"}), FinalAnswer, "closed without an answer"},
	"it was told to end":            {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).of(1500, SidecarStopping).add(Event{At: 2001 * ms, Kind: ConnectionClosed, Request: "a"}), FinalAnswer, "closed without an answer"},
	"closed between requests":       {begin().ask(1000, "a", 0, 3000).add(Event{At: 1001 * ms, Kind: ConnectionClosed, Request: "a"}).ask(1002, "a", 0, 2998).sent(1003, "a", 0).end(1100, Served).answer(1101, "a", 200), 0, none},
	"asked again of another after a kill": {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).of(1100, SidecarKilled).end(1100, Canceled).add(Event{At: 1100 * ms, Kind: ConnectionClosed, Request: "a"}).
		add(Event{At: 1101 * ms, Kind: RequestSent, Request: "a", Class: 1, Sidecar: 1, CallerAttempt: 1, Duration: time.Second}).sent(1102, "a", 2).end(1200, Served).answer(1201, "a", 200), 0, none},
	"closed with an attempt out, and asked again": {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Canceled).add(Event{At: 1100 * ms, Kind: ConnectionClosed, Request: "a"}).
		ask(1101, "a", 0, 2900).sent(1102, "a", 0).end(1200, Served).answer(1201, "a", 200), FinalAnswer, "closed without an answer"},
	"closed with nothing sent on":     {begin().ask(1000, "a", 0, 3000).add(Event{At: 1001 * ms, Kind: ConnectionClosed, Request: "a"}), 0, none},
	"late":                            {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(4051, Served).answer(4060, "a", 200), FinalAnswer, "60ms after the request's time"},
	"late within the slack":           {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(4000, Served).answer(4049, "a", 200), 0, none},
	"two answers":                     {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200).answer(1102, "a", 200), FinalAnswer, "two answers"},
	"an answer of nobody":             {begin().ask(1000, "a", 0, 3000).add(Event{At: 1100 * ms, Kind: AnswerReceived, Request: "a", Status: 200}), FinalAnswer, "no box made"},
	"what nobody asked for":           {begin().add(Event{At: 1100 * ms, Kind: UnsolicitedBytes, Text: "HTTP/1.1", Origin: -1}), FinalAnswer, "nobody had asked for"},
	"again after the answer":          {begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).end(1100, Failed).answer(1101, "a", 502).sent(1200, "a", 1).end(1300, Served), FinalAnswer, "after its final answer"},
	"two at once":                     {begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).sent(1100, "a", 1).end(1200, Served).endOf(1300, 1, Canceled).answer(1201, "a", 200), AtMostOnce, "while another attempt was out, at box 1"},
	"two that cross":                  {begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).sent(1100, "a", 1).end(1200, Served).endOf(1140, 1, Canceled).answer(1201, "a", 200), 0, none},
	"one that never ended":            {begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).sent(1100, "a", 1).end(1200, Served).answer(1201, "a", 200), AtMostOnce, "while another attempt was out"},
	"unsafe again":                    {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Failed).sent(1110, "a", 1).end(1200, Served).answer(1201, "a", 200), AtMostOnce, "after an attempt that may have run"},
	"unsafe again, turned away":       {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Rejected).sent(1110, "a", 1).end(1200, Served).answer(1201, "a", 200), 0, none},
	"unsafe again, cut off":           {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Truncated).sent(1110, "a", 1).end(1200, Served).answer(1201, "a", 200), 0, none},
	"unsafe again, reset":             {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Dropped).sent(1110, "a", 1).end(1200, Served).answer(1201, "a", 200), AtMostOnce, "may have run"},
	"unsafe again, spoilt":            {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Garbled).sent(1110, "a", 1).end(1200, Served).answer(1201, "a", 200), AtMostOnce, "may have run"},
	"unsafe again, withdrawn":         {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Canceled).sent(1110, "a", 1).end(1200, Served).answer(1201, "a", 200), AtMostOnce, "may have run"},
	"unsafe refused":                  {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Canceled).answer(1101, "a", 503), AtMostOnce, "trying again is harmless"},
	"unsafe refused, never ran":       {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Rejected).answer(1101, "a", 503), 0, none},
	"unsafe failed":                   {begin().ask(1000, "a", 1, 3000).sent(1001, "a", 0).end(1100, Canceled).answer(1101, "a", 502), 0, none},
	"keyed, same cell":                {begin().ask(1000, "a", 0, 5000).sent(1001, "a", 0).end(1100, Failed).sent(1110, "a", 1).end(1200, Served).answer(1201, "a", 200), 0, none},
	"keyed, another cell":             {begin().ask(1000, "a", 0, 5000).sent(1001, "a", 0).end(1100, Failed).sent(1110, "a", 2).end(1200, Served).answer(1201, "a", 200), AtMostOnce, "outside the group"},
	"keyed, another cell, never ran":  {begin().ask(1000, "a", 0, 5000).sent(1001, "a", 0).end(1100, Rejected).sent(1110, "a", 2).end(1200, Served).answer(1201, "a", 200), 0, none},
	"keyed, after the window":         {begin().ask(1000, "a", 0, 6000).sent(1001, "a", 0).end(1100, Failed).sent(5200, "a", 1).end(5300, Served).answer(5301, "a", 200), AtMostOnce, "its key is remembered for 4s"},
	"more attempts than allowed":      {begin().ask(1000, "a", 2, 3000).sent(1001, "a", 0).end(1010, Rejected).sent(1020, "a", 1).end(1030, Rejected).sent(1040, "a", 2).end(1050, Rejected).sent(1060, "a", 0).end(1070, Served).answer(1071, "a", 200), AtMostOnce, "attempt 4; 3 are allowed"},
	"a request of nobody":             {begin().sent(1001, "ghost", 0).end(1100, Served), AtMostOnce, "nobody asked for"},
	"to one that drains":              {begin().notified(100, "Ready").notified(500, "Terminating").ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200), DrainRespected, "501ms after the sidecar was told that it is Terminating"},
	"to one that has gone":            {begin().notified(100, "Ready").notified(500, "Gone").ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200), DrainRespected, "is Gone"},
	"within the grace":                {begin().notified(100, "Ready").notified(750, "Terminating").ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200), 0, none},
	"back since":                      {begin().notified(100, "Ready").notified(400, "Gone").notified(900, "Ready").ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200), 0, none},
	"another sidecar was told":        {begin().add(Event{At: 500 * ms, Kind: SidecarNotified, Sidecar: 1, Text: "Gone"}).ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Served).answer(1101, "a", 200), 0, none},
	"a cold box fell":                 {begin().add(Event{At: 2000 * ms, Kind: ServerCollapsed, Server: 1, Origin: -1}), SlowStartRespected, "fell over"},
	"the emulator was late":           {begin().add(Event{At: 3500 * ms, Kind: EmulatorLate, Duration: 200 * ms, Origin: -1}).ask(1000, "a", 0, 3000).sent(1001, "a", 0).of(900, SidecarUp), 0, none},
	"it was late long before":         {begin().add(Event{At: 500 * ms, Kind: EmulatorLate, Duration: 200 * ms, Origin: -1}).ask(3000, "a", 0, 3000).sent(3001, "a", 0), FinalAnswer, "no answer"},
	"refused, without an attempt":     {begin().ask(1000, "a", 0, 3000).answer(1001, "a", 503), 0, none},
	"an answer that crosses a cancel": {begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(2000, Served).add(Event{At: 2000 * ms, Kind: CallerTimedOut, Request: "a"}), 0, none},
}

// Each way to break a rule is found, with its words, and what looks like it but is right is not.
func TestBreaches(t *testing.T) {
	for name, c := range breachCases {
		v := Judge(rulesOf(), c.s.events, 0)
		if c.want == none {
			if len(v.Breaches) > 0 {
				t.Errorf("%s: %v", name, v.Breaches)
			}
			continue
		}
		if len(v.Breaches) != 1 || v.Breaches[0].Rule != c.rule || !strings.Contains(v.Breaches[0].Message, c.want) || v.BreachesByRule[c.rule] != 1 {
			t.Errorf("%s: %v, want one of %q with %q", name, v.Breaches, c.rule, c.want)
		}
	}
}

// What discovery had to tell counts as told 6 s later, whether or not it was written; for a sidecar that came
// since, and for a box that was said to be ready since, it does not.
func TestToldWithoutAWord(t *testing.T) {
	served := func(s *script, at int) *script {
		return s.ask(at, "a", 0, 3000).sent(at+1, "a", 0).end(at+100, Served).answer(at+101, "a", 200)
	}
	for name, c := range map[string]struct {
		s    *script
		want int
	}{
		"too early":    {served(begin().of(0, SidecarUp).notified(0, "Ready"), 7200), 0},
		"late":         {served(begin().of(0, SidecarUp).notified(0, "Ready"), 7400), 1},
		"started then": {served(begin().of(7100, SidecarUp), 7400), 0},
		"ready again":  {served(begin().of(0, SidecarUp).notified(0, "Ready").notified(3000, "Ready"), 7400), 0},
	} {
		r := rulesOf()
		r.StateUpdates = []StateUpdate{{At: time.Second, Server: 0, State: "Gone"}}
		if v := Judge(r, c.s.events, 0); v.BreachesByRule[DrainRespected] != c.want {
			t.Errorf("%s: %v", name, v.Breaches)
		}
	}
}

// Service counts worth in time by first try; a request that got nothing counts as asked.
func TestService(t *testing.T) {
	s := begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).end(1100, Failed).answer(1101, "a", 502).
		add(Event{At: 1500 * ms, Kind: RequestSent, Request: "a2", Class: 0, Origin: 0, CallerAttempt: 2, Duration: 3 * time.Second}).sent(1501, "a2", 0).end(1600, Served).answer(1601, "a2", 200).
		ask(1000, "b", 1, 6000).sent(1001, "b", 1).end(3900, Served).answer(3901, "b", 200).
		ask(1000, "c", 2, 3000).answer(1001, "c", 503)
	v := Judge(rulesOf(), s.events, 0)
	if v.Service != 0.5 || v.InTime != 1 || v.Late != 1 || v.Rejected != 1 || v.Failed != 0 || v.CallerAttempts != 4 || v.ServerAttempts != 3 {
		t.Errorf("%+v", v)
	}
	if v.P50 != 601*ms || v.P99 != 2901*ms {
		t.Errorf("P50 %v, P99 %v", v.P50, v.P99)
	}
	if want := 1.0 / 3; v.WastedShare < want-1e-9 || v.WastedShare > want+1e-9 {
		t.Errorf("waste %v", v.WastedShare)
	}
	if v.WorstService != 0.5 || v.WorstFrom != 0 || v.Seconds[1].Offered != 3 || v.Seconds[1].Attempts != 3 {
		t.Errorf("worst %v from %v, second %+v", v.WorstService, v.WorstFrom, v.Seconds[1])
	}
	if v = Judge(rulesOf(), nil, 0); v.Service != 0 || v.Failed != 3 {
		t.Errorf("nobody was answered: %v, %d failed", v.Service, v.Failed)
	}
}

// A run in which the emulator is late too often says nothing, and neither does one whose events were not all kept.
func TestVoid(t *testing.T) {
	late := func(seconds ...int) *script {
		s := begin()
		for _, at := range seconds {
			s.add(Event{At: time.Duration(at) * time.Second, Kind: EmulatorLate, Duration: 300 * ms, Origin: -1})
		}
		return s
	}
	if v := Judge(rulesOf(), late(3).events, 0); v.VoidReason != "" || v.MaxLateness != 300*ms {
		t.Errorf("one late second: %q", v.VoidReason)
	}
	if v := Judge(rulesOf(), late(3, 7).events, 0); !strings.Contains(v.VoidReason, "2 of 20 seconds, by up to 300ms") {
		t.Errorf("two late seconds: %q", v.VoidReason)
	}
	if v := Judge(rulesOf(), begin().add(Event{At: time.Second, Kind: EmulatorLate, Duration: 30 * ms}).add(Event{At: 4 * time.Second, Kind: EmulatorLate, Duration: 30 * ms}).events, 0); v.VoidReason != "" {
		t.Errorf("a little late: %q", v.VoidReason)
	}
	if v := Judge(rulesOf(), nil, 5); !strings.Contains(v.VoidReason, "5 events") {
		t.Errorf("lost events: %q", v.VoidReason)
	}
}

// A breach comes with the story of its request, calls of its boxes included, in order.
func TestStories(t *testing.T) {
	s := begin().ask(1000, "a", 0, 3000).sent(1001, "a", 0).
		add(Event{At: 1010 * ms, Kind: RequestSent, Request: "a.1", Class: 0, Origin: 0, Sidecar: 1, Duration: time.Second}).sent(1011, "a.1", 2).end(1050, Served).answer(1051, "a.1", 200).
		endOf(1100, 1, Failed).sent(1110, "a", 2).end(1200, Served).answer(1201, "a", 200)
	v := Judge(rulesOf(), s.events, 0)
	if len(v.Traces) != 3 || v.Traces[0].Origin != 0 || !strings.Contains(v.Traces[0].Reason, "outside the group") {
		t.Fatalf("%+v", v.Traces)
	}
	var got []string
	for _, l := range v.Traces[0].Lines {
		got = append(got, l.Text)
	}
	want := []string{
		"a asked of n1, 3.000 s left", "a: attempt 1 comes to box 1", "a.1 asked of n2, 1.000 s left", "a.1: attempt 1 comes to box 3",
		"a.1: attempt 1 at box 3 served", "a.1: answered 200", "a: attempt 1 at box 1 failed with 500", "a: attempt 2 comes to box 3",
		"a: attempt 2 at box 3 served", "a: answered 200",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s", strings.Join(got, "\n"))
	}
	if v.Traces[1].Reason != "no answer" {
		t.Errorf("%+v", v.Traces[1])
	}
}

func TestLogIsBounded(t *testing.T) {
	l := Log{MaxEvents: 2}
	for range 3 {
		l.Add(Event{})
	}
	if events, lost := l.Events(); len(events) != 2 || lost != 1 {
		t.Errorf("%d events, %d lost", len(events), lost)
	}
}
