package balancer_test

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/golden"
)

// The golden files of this package contain a digest of the actions of a Balancer for random events. The same seed has to give the
// same actions in the same order, as replayed simulations depend on it. A different order of random draws, of the elements of a map
// or of floating-point additions changes the digest.

// call is an attempt that is in flight.
type call struct {
	id      balancer.RequestID
	to      balancer.EndpointID
	attempt int
	sentAt  time.Duration
	timeout time.Duration // 0 for none
	endsAt  time.Duration
	status  balancer.Status // status with which the call will end
}

// recordingHost is a Host that adds each action to a digest, and keeps the calls in flight. The names of the actions are part of the
// digest and must not change.
type recordingHost struct {
	now      time.Duration
	digest   hash.Hash
	counts   map[string]int // number of actions, by name
	first    []string       // first actions, which a golden file shows as text
	inFlight []call
	rng      *rand.Rand // random generator of the events, not of the Balancer
	attempts map[balancer.RequestID]int
	timers   map[uint64]time.Duration
	final    map[balancer.RequestID]bool // requests that have got their final answer
}

// firstActions is the number of actions that a golden file shows in full.
const firstActions = 12

func newRecordingHost(seed uint64) *recordingHost {
	return &recordingHost{
		now:      100 * time.Second,
		digest:   sha256.New(),
		counts:   map[string]int{},
		rng:      rand.New(rand.NewPCG(seed, 11)),
		attempts: map[balancer.RequestID]int{},
		timers:   map[uint64]time.Duration{},
		final:    map[balancer.RequestID]bool{},
	}
}

// record adds an action to the digest.
func (r *recordingHost) record(name string, values ...any) {
	line := fmt.Sprintln(append([]any{int64(r.now), name}, values...)...)
	r.counts[name]++
	if len(r.first) < firstActions {
		r.first = append(r.first, line)
	}
	r.digest.Write([]byte(line))
}

func (r *recordingHost) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	r.record("send", id, to, int64(timeout))
	sent := call{id: id, to: to, attempt: r.attempts[id], sentAt: r.now, timeout: timeout}
	r.inFlight = append(r.inFlight, r.drawOutcome(sent))
	r.attempts[id]++
}

// drawOutcome draws the end time and the status of a call. Some endpoints are slower than others, some fail more often, and all are
// slow in one second of four.
func (r *recordingHost) drawOutcome(sent call) call {
	latency := time.Duration((0.2 + r.rng.ExpFloat64()) * float64(1+sent.to%3) * float64(5*time.Millisecond))
	if r.now/time.Second%4 == 2 {
		latency *= 8
	}
	switch {
	case r.rng.IntN(40) == 0:
		sent.status = balancer.Status(r.rng.IntN(int(balancer.StatusInvalidResponse) + 1))
	case sent.to%17 == 3 && r.rng.IntN(3) == 0:
		sent.status = balancer.StatusError
	case r.rng.IntN(200) == 0:
		latency = time.Minute // the call is lost
	}
	if sent.timeout > 0 && latency > sent.timeout {
		latency, sent.status = sent.timeout, balancer.StatusTimeout
	}
	if maxLatency := 2 * time.Second; latency > maxLatency {
		latency, sent.status = maxLatency, balancer.StatusTimeout
	}
	sent.endsAt = r.now + max(latency, time.Millisecond)
	return sent
}

func (r *recordingHost) Reject(id balancer.RequestID, retryAfter time.Duration) {
	r.record("refuse", id, int64(retryAfter))
	r.final[id] = true
}

func (r *recordingHost) Fail(id balancer.RequestID) {
	r.record("fail", id)
	r.final[id] = true
}

func (r *recordingHost) Cancel(id balancer.RequestID, attempt int) {
	r.record("cancel", id, attempt)
	for i := range r.inFlight {
		if c := &r.inFlight[i]; c.id == id && c.attempt == attempt {
			c.endsAt, c.status = r.now+2*time.Millisecond, balancer.StatusCancelled
		}
	}
}

func (r *recordingHost) SetTimer(token uint64, after time.Duration) {
	r.record("timer", token, int64(after))
	r.timers[token] = r.now + after
}

func (r *recordingHost) HealthCheck(to balancer.EndpointID)          { r.record("probe", to) }
func (r *recordingHost) SendToPeer(peer int, data []byte)            { r.record("tell", peer, data) }
func (r *recordingHost) WatchEndpoints(on bool)                      { r.record("watch", on) }
func (r *recordingHost) FetchEndpoints()                             { r.record("fetch") }
func (r *recordingHost) CloseIdleConnections(to balancer.EndpointID) { r.record("closeIdle", to) }
func (r *recordingHost) Log(text string)                             { r.record("log", text) }

// scenario describes a fleet and the events in it.
type scenario struct {
	name      string // name of the scenario, which is also part of its golden file's name
	endpoints int
	perSecond int                      // requests per second
	change    func(*balancer.Settings) // changes goldenSettings for the scenario
	weighted  bool                     // the listed weights differ
	reports   bool                     // endpoints report their load
	regroups  bool                     // the group of instances changes at times
	leaves    bool                     // the instance shuts down near the end
}

var scenarios = []scenario{
	{name: "small", endpoints: 8, perSecond: 900, change: func(*balancer.Settings) {}},
	{name: "one-by-one", endpoints: 24, perSecond: 1500, weighted: true, reports: true, change: func(s *balancer.Settings) {
		s.MustSubscribe, s.ClientsMarkRetries, s.WorstClassWeight = true, true, 0.3
	}},
	{name: "tiles", endpoints: 40, perSecond: 500, weighted: true, regroups: true, change: func(s *balancer.Settings) {
		s.Instances, s.Ordinal = 20, 3
		s.Tenants = []balancer.Tenant{{Name: "a", QuotaPerSecond: 4000}, {Name: "b", QuotaPerSecond: 1000}}
	}},
	{name: "pools", endpoints: 300, perSecond: 3000, reports: true, change: func(s *balancer.Settings) {
		s.ValuePerWorkUnit = true
	}},
	{name: "ids", endpoints: 400, perSecond: 1500, weighted: true, regroups: true, change: func(s *balancer.Settings) {
		s.Instances, s.Ordinal = 15, 4
	}},
	{name: "bounded", endpoints: 500, perSecond: 2000, regroups: true, change: func(s *balancer.Settings) {
		s.Instances, s.Ordinal, s.MaxSubsetSize = 5, 1, 80
	}},
	{name: "strained", endpoints: 3, perSecond: 60, change: func(s *balancer.Settings) {
		s.Instances, s.Ordinal = 30, 29
	}},
	{name: "inner-tier", endpoints: 12, perSecond: 1200, reports: true, change: func(s *balancer.Settings) {
		s.Tier, s.Tiers, s.MayCancel, s.HedgedRequests, s.MaxAttempts = 1, 3, false, true, 0
	}},
	{name: "leaving", endpoints: 6, perSecond: 500, leaves: true, change: func(s *balancer.Settings) {
		s.MaxRetryAfter = 5 * time.Second
	}},
}

// goldenSettings returns settings with classes of every idempotency and key scope, as changed by a scenario.
func goldenSettings(change func(*balancer.Settings)) balancer.Settings {
	class := func(name string, idempotency balancer.Idempotency, scope balancer.KeyScope, value float64) balancer.Class {
		return balancer.Class{
			Name:           name,
			LatencyTarget:  400 * time.Millisecond,
			Deadline:       2 * time.Second,
			Value:          value,
			LateValueShare: 0.2 * value,
			Idempotency:    idempotency,
			KeyScope:       scope,
			KeyWindow:      3 * time.Second,
		}
	}
	read := class("read", balancer.Idempotent, "", 1)
	read.LateValueShare, read.Streaming = 0, true
	config := balancer.Settings{
		Instances:           1,
		Quantum:             2 * time.Millisecond,
		MayCancel:           true,
		MaxAttempts:         4,
		ConnectTimeout:      100 * time.Millisecond,
		MaxRetryAfter:       3 * time.Second,
		SlowStartMinShare:   0.2,
		SlowStartWindow:     4 * time.Second,
		OverloadMultiple:    3,
		OverloadDuration:    time.Second,
		ResubscribeInterval: 5 * time.Second,
		TotalValueWeight:    1,
		Classes: []balancer.Class{
			read,
			class("pay", balancer.NonIdempotent, "", 5),
			class("book", balancer.IdempotentWithKey, balancer.KeyScopeCell, 2),
			class("zoned", balancer.IdempotentWithKey, balancer.KeyScopeZone, 2),
			class("anywhere", balancer.IdempotentWithKey, balancer.KeyScopeAll, 1),
		},
	}
	change(&config)
	return config
}

// player delivers random events to a Balancer.
type player struct {
	*recordingHost
	scenario
	t            *testing.T
	b            *balancer.Balancer
	settings     balancer.Settings
	requestCount int // number of requests so far
}

// entry returns the list entry of an endpoint that is ready.
func (p *player) entry(id int) balancer.ListEntry {
	entry := balancer.ListEntry{Endpoint: balancer.EndpointID(id), Zone: id % 3, MachineKind: id % 4, Cell: id / 2, Weight: 1}
	if p.weighted {
		entry.Weight = float64(1 + id%5)
	}
	return entry
}

// listAll delivers a list of all endpoints.
func (p *player) listAll(kind balancer.ListKind) {
	list := balancer.EndpointList{Kind: kind, Version: uint64(p.requestCount)}
	for id := 1; id <= p.endpoints; id++ {
		list.Entries = append(list.Entries, p.entry(id))
	}
	p.b.HandleEndpoints(p.now, list)
}

// updateSome delivers an update of a few endpoints.
func (p *player) updateSome() {
	states := []balancer.EndpointState{
		balancer.EndpointReady, balancer.EndpointReady, balancer.EndpointReady,
		balancer.EndpointDraining, balancer.EndpointRemoved,
	}
	list := balancer.EndpointList{Kind: balancer.ListDelta, Version: uint64(p.requestCount)}
	for range 1 + p.rng.IntN(4) {
		entry := p.entry(1 + p.rng.IntN(p.endpoints))
		entry.State = states[p.rng.IntN(len(states))]
		if p.rng.IntN(2) == 0 {
			entry.StartedAt = p.now - time.Duration(p.rng.IntN(5000))*time.Millisecond
		}
		list.Entries = append(list.Entries, entry)
	}
	p.b.HandleEndpoints(p.now, list)
}

// request delivers a request.
func (p *player) request() {
	p.requestCount++
	request := balancer.Request{
		ID:              balancer.RequestID(fmt.Sprint("r", p.requestCount)),
		Class:           p.rng.IntN(len(p.settings.Classes)),
		TimeLeft:        2 * time.Second,
		IdleConnections: p.rng.IntN(6),
		ValueFactor:     float64(p.rng.IntN(3)),
	}
	if len(p.settings.Tenants) > 0 {
		request.Tenant = p.rng.IntN(len(p.settings.Tenants))
	}
	switch p.rng.IntN(12) {
	case 0:
		request.Retry, request.TimeLeft = true, time.Duration(1+p.rng.IntN(2000))*time.Millisecond
	case 1:
		excluded := balancer.EndpointID(1 + p.rng.IntN(p.endpoints))
		request.Exclude, request.MaxAttempts, request.AttemptTimeout = &excluded, 2, 300*time.Millisecond
	case 2:
		id := 1 + p.rng.IntN(p.endpoints)
		request.Prior = balancer.PriorAttempt{MayHaveRun: true, Zone: id % 3, Cell: id / 2, SentAt: p.now - time.Second}
	}
	p.b.HandleRequest(p.now, request)
}

// finishCalls delivers the outcomes of the calls that have ended by now, in the order in which they were sent.
func (p *player) finishCalls() {
	for i := 0; i < len(p.inFlight); {
		if p.inFlight[i].endsAt > p.now {
			i++
			continue
		}
		ended := p.inFlight[i]
		p.inFlight = slices.Delete(p.inFlight, i, i+1)
		p.b.HandleOutcome(p.now, p.outcome(ended))
	}
}

// outcome returns the outcome of a call that ends now.
func (p *player) outcome(ended call) balancer.Outcome {
	outcome := balancer.Outcome{
		ID:       ended.id,
		Endpoint: ended.to,
		Attempt:  ended.attempt,
		Elapsed:  p.now - ended.sentAt,
		Status:   ended.status,
		Final:    ended.status == balancer.StatusOK || p.final[ended.id],
		NoRetry:  p.rng.IntN(40) == 0,
	}
	if p.rng.IntN(20) == 0 {
		outcome.Backoff = time.Duration(p.rng.IntN(100)) * time.Millisecond
	}
	if p.reports && p.rng.IntN(2) == 0 {
		serviceTime := time.Duration(1+p.rng.IntN(8)*int(1+ended.to%4)) * time.Millisecond
		outcome.Load = &balancer.Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceTime: serviceTime}
	}
	return outcome
}

// rareEvent delivers an event other than a request, an outcome or a timer.
func (p *player) rareEvent() {
	switch p.rng.IntN(8) {
	case 0, 1, 2:
		p.updateSome()
	case 3:
		p.listAll([]balancer.ListKind{balancer.ListFull, balancer.ListCached}[p.rng.IntN(2)])
	case 4:
		p.b.HandleEndpoints(p.now, balancer.EndpointList{Kind: balancer.ListFailed})
		p.b.HandleHealthCheck(p.now, balancer.HealthCheckResult{Endpoint: 1})
		p.b.HandlePeerMessage(p.now, 0, []byte("x"))
	case 5:
		if len(p.inFlight) > 0 {
			begun := p.inFlight[p.rng.IntN(len(p.inFlight))]
			p.b.HandleResponseStart(p.now, begun.id, begun.attempt, begun.to)
		}
	case 6:
		if len(p.inFlight) > 0 {
			p.b.HandleClientGone(p.now, p.inFlight[p.rng.IntN(len(p.inFlight))].id)
		}
	case 7:
		if p.regroups {
			p.regroup()
		}
	}
}

// regroup delivers another group of instances.
func (p *player) regroup() {
	group := balancer.InstanceGroup{Instances: max(2, p.settings.Instances-2+p.rng.IntN(5))}
	group.Ordinal, group.MaxInstances = p.rng.IntN(group.Instances), p.rng.IntN(2*group.Instances)
	if p.rng.IntN(2) == 0 {
		for i := range group.Instances {
			group.Members = append(group.Members, uint64(1000*i))
		}
		group.Self = group.Members[group.Ordinal]
	}
	if err := p.b.UpdateGroup(p.now, group); err != nil {
		p.t.Fatal(err)
	}
}

// fireTimers fires the timers that are due, the lowest token first.
func (p *player) fireTimers() {
	for token := range uint64(2) {
		if fireAt, ok := p.timers[token]; ok && fireAt <= p.now {
			delete(p.timers, token)
			p.b.HandleTimer(p.now, token)
		}
	}
}

// play runs the scenario in steps of a millisecond.
func (p *player) play(steps int) {
	dueRequests := 0.0
	for step := range steps {
		for dueRequests += p.rng.ExpFloat64() * float64(p.perSecond) / 1000; dueRequests >= 1; dueRequests-- {
			p.request()
		}
		p.finishCalls()
		if p.rng.IntN(60) == 0 {
			p.rareEvent()
		}
		if step == steps/3 {
			p.addClass()
		}
		if p.leaves && step == steps*4/5 {
			p.b.ShutDownAt(p.now, p.now+time.Duration(steps/6)*time.Millisecond)
		}
		p.now += time.Millisecond
		p.fireTimers()
	}
	for id, weight := range p.b.Subset() {
		p.record("subset", id, weight, p.b.Ejected(id))
	}
}

// addClass adds a copy of the first class.
func (p *player) addClass() {
	if _, err := p.b.AddClass(p.settings.Classes[0]); err != nil {
		p.t.Fatal(err)
	}
	p.settings.Classes = append(slices.Clone(p.settings.Classes), p.settings.Classes[0])
}

func TestGoldenDecisions(t *testing.T) {
	for _, played := range scenarios {
		t.Run(played.name, func(t *testing.T) {
			t.Parallel()
			var text strings.Builder
			for seed := range uint64(3) {
				p := &player{recordingHost: newRecordingHost(seed), scenario: played, t: t, settings: goldenSettings(played.change)}
				b, err := balancer.New(p.settings, seed, p.recordingHost)
				if err != nil {
					t.Fatal(err)
				}
				p.b = b
				p.listAll(balancer.ListCached)
				p.play(8000)
				fmt.Fprintf(&text, "seed %d: %d requests, %v\n%x\n", seed, p.requestCount, p.counts, p.digest.Sum(nil))
				text.WriteString(strings.Join(p.first, ""))
			}
			golden.Text(t, "decisions-"+played.name+".txt", []byte(text.String()))
		})
	}
}

// lastSend is a Host that records only the endpoint of the last attempt, without an allocation.
type lastSend struct{ to balancer.EndpointID }

func (l *lastSend) Send(_ balancer.RequestID, to balancer.EndpointID, _ time.Duration) { l.to = to }
func (l *lastSend) Reject(balancer.RequestID, time.Duration)                           {}
func (l *lastSend) Fail(balancer.RequestID)                                            {}
func (l *lastSend) Cancel(balancer.RequestID, int)                                     {}
func (l *lastSend) SetTimer(uint64, time.Duration)                                     {}
func (l *lastSend) HealthCheck(balancer.EndpointID)                                    {}
func (l *lastSend) SendToPeer(int, []byte)                                             {}
func (l *lastSend) WatchEndpoints(bool)                                                {}
func (l *lastSend) FetchEndpoints()                                                    {}
func (l *lastSend) CloseIdleConnections(balancer.EndpointID)                           {}
func (l *lastSend) Log(string)                                                         {}

// The handling of a request and its outcome allocates no more than these limits.
func TestDecisionAllocations(t *testing.T) {
	for _, test := range []struct {
		endpoints      int
		maxAllocations float64 // maximum for each decision
	}{{10, 1}, {100, 1}, {1000, 1}} {
		t.Run(fmt.Sprint(test.endpoints), func(t *testing.T) {
			host := &lastSend{}
			b, err := balancer.New(goldenSettings(func(*balancer.Settings) {}), 7, host)
			if err != nil {
				t.Fatal(err)
			}
			list := balancer.EndpointList{Kind: balancer.ListFull, Version: 1}
			for id := range test.endpoints {
				list.Entries = append(list.Entries, balancer.ListEntry{Endpoint: balancer.EndpointID(id + 1), Cell: id / 2, Weight: 1})
			}
			now := time.Second
			b.HandleEndpoints(now, list)
			decide := func() {
				b.HandleRequest(now, balancer.Request{ID: "r", TimeLeft: 2 * time.Second})
				outcome := balancer.Outcome{ID: "r", Endpoint: host.to, Final: true, Elapsed: 20 * time.Millisecond}
				b.HandleOutcome(now+time.Millisecond, outcome)
				now += time.Millisecond
				b.HandleTimer(now, 0)
			}
			for range 1000 {
				decide() // lets buffers grow before the measurement
			}
			if got := testing.AllocsPerRun(2000, decide); got > test.maxAllocations {
				t.Errorf("%v allocations per decision, want at most %v", got, test.maxAllocations)
			} else {
				t.Logf("%v allocations per decision", got)
			}
		})
	}
}

// Settings files, the simulator's protocol and operators' tools depend on these values, so they must not change.
func TestEnumValuesAreStable(t *testing.T) {
	for got, want := range map[any]any{
		balancer.Idempotent:            balancer.Idempotency("safe"),
		balancer.IdempotentWithKey:     balancer.Idempotency("keyed"),
		balancer.NonIdempotent:         balancer.Idempotency("unsafe"),
		balancer.KeyScopeAll:           balancer.KeyScope("all"),
		balancer.KeyScopeZone:          balancer.KeyScope("zone"),
		balancer.KeyScopeCell:          balancer.KeyScope("cell"),
		balancer.StatusOK:              balancer.Status(0),
		balancer.StatusError:           balancer.Status(1),
		balancer.StatusRejected:        balancer.Status(2),
		balancer.StatusTimeout:         balancer.Status(3),
		balancer.StatusConnectFailed:   balancer.Status(4),
		balancer.StatusReset:           balancer.Status(5),
		balancer.StatusCancelled:       balancer.Status(6),
		balancer.StatusNotSent:         balancer.Status(7),
		balancer.StatusInvalidResponse: balancer.Status(8),
		balancer.EndpointReady:         balancer.EndpointState(0),
		balancer.EndpointDraining:      balancer.EndpointState(1),
		balancer.EndpointRemoved:       balancer.EndpointState(2),
		balancer.ListDelta:             balancer.ListKind(0),
		balancer.ListFull:              balancer.ListKind(1),
		balancer.ListCached:            balancer.ListKind(2),
		balancer.ListFailed:            balancer.ListKind(3),
	} {
		if got != want {
			t.Errorf("the value of an exported constant is %v, want %v", got, want)
		}
	}
}
