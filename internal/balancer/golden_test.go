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

// The golden files of this package hold what a balancer commanded over random but reproducible events. The same seed has to give
// the same commands in the same order: replayed simulations depend on it. A changed order of random draws, of a walk over a map
// or of a sum of floating-point numbers shows as another digest.

// call is an attempt that is in flight.
type call struct {
	id      balancer.RequestID
	to      balancer.EndpointID
	attempt int
	sentAt  time.Duration
	timeout time.Duration // 0 for none
	endsAt  time.Duration
	status  balancer.Status
}

// trace is a Host that writes each command into a digest, and keeps the calls that are in flight.
type trace struct {
	now      time.Duration
	digest   hash.Hash
	counts   map[string]int
	first    []string // the first commands, for people
	open     []call
	rng      *rand.Rand // of the fleet, not of the balancer
	attempts map[balancer.RequestID]int
	timers   map[uint64]time.Duration
	final    map[balancer.RequestID]bool
}

// firstCommands is how many commands of a scenario the golden file shows in full.
const firstCommands = 12

func newTrace(seed uint64) *trace {
	return &trace{
		rng: rand.New(rand.NewPCG(seed, 11)), now: 100 * time.Second, digest: sha256.New(), counts: map[string]int{}, attempts: map[balancer.RequestID]int{},
		timers: map[uint64]time.Duration{}, final: map[balancer.RequestID]bool{},
	}
}

func (t *trace) note(name string, values ...any) {
	line := fmt.Sprintln(append([]any{int64(t.now), name}, values...)...)
	t.counts[name]++
	if len(t.first) < firstCommands {
		t.first = append(t.first, line)
	}
	t.digest.Write([]byte(line))
}

func (t *trace) Send(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	t.note("send", id, to, int64(timeout))
	t.open = append(t.open, t.outcome(call{id: id, to: to, attempt: t.attempts[id], sentAt: t.now, timeout: timeout}))
	t.attempts[id]++
}

// outcome draws when and how a call ends. Some endpoints are slower than others, some fail more often, all are slow at times.
func (t *trace) outcome(c call) call {
	took := time.Duration((0.2 + t.rng.ExpFloat64()) * float64(1+c.to%3) * float64(5*time.Millisecond))
	if t.now/time.Second%4 == 2 {
		took *= 8
	}
	switch {
	case t.rng.IntN(40) == 0:
		c.status = balancer.Status(t.rng.IntN(int(balancer.StatusInvalidResponse) + 1))
	case c.to%17 == 3 && t.rng.IntN(3) == 0:
		c.status = balancer.StatusError
	case t.rng.IntN(200) == 0:
		took = time.Minute // the call is lost
	}
	if c.timeout > 0 && took > c.timeout {
		took, c.status = c.timeout, balancer.StatusTimeout
	}
	if most := 2 * time.Second; took > most {
		took, c.status = most, balancer.StatusTimeout
	}
	c.endsAt = t.now + max(took, time.Millisecond)
	return c
}

func (t *trace) Reject(id balancer.RequestID, retryAfter time.Duration) {
	t.note("refuse", id, int64(retryAfter))
	t.final[id] = true
}

func (t *trace) Fail(id balancer.RequestID) {
	t.note("fail", id)
	t.final[id] = true
}

func (t *trace) Cancel(id balancer.RequestID, attempt int) {
	t.note("cancel", id, attempt)
	for i := range t.open {
		if c := &t.open[i]; c.id == id && c.attempt == attempt {
			c.endsAt, c.status = t.now+2*time.Millisecond, balancer.StatusCancelled
		}
	}
}

func (t *trace) SetTimer(token uint64, after time.Duration) {
	t.note("timer", token, int64(after))
	t.timers[token] = t.now + after
}

func (t *trace) HealthCheck(to balancer.EndpointID)          { t.note("probe", to) }
func (t *trace) SendToPeer(peer int, data []byte)            { t.note("tell", peer, data) }
func (t *trace) WatchEndpoints(on bool)                      { t.note("watch", on) }
func (t *trace) FetchEndpoints()                             { t.note("fetch") }
func (t *trace) CloseIdleConnections(to balancer.EndpointID) { t.note("closeIdle", to) }
func (t *trace) Log(text string)                             { t.note("log", text) }

// scenario is a fleet and what happens in it.
type scenario struct {
	name      string
	endpoints int
	perSecond int // requests
	change    func(*balancer.Settings)
	weighted  bool // the listed weights differ
	reports   bool // endpoints report their load
	regroups  bool
	leaves    bool // the instance ends near the end of the events
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

func goldenSettings(change func(*balancer.Settings)) balancer.Settings {
	class := func(name string, effect balancer.Idempotency, scope balancer.KeyScope, worth float64) balancer.Class {
		return balancer.Class{
			Name: name, LatencyTarget: 400 * time.Millisecond, Deadline: 2 * time.Second, Value: worth, LateValueShare: 0.2 * worth,
			Idempotency: effect, KeyScope: scope, KeyWindow: 3 * time.Second,
		}
	}
	read, zoned := class("read", balancer.Idempotent, "", 1), class("zoned", balancer.IdempotentWithKey, balancer.KeyScopeZone, 2)
	read.LateValueShare, read.Streaming = 0, true
	s := balancer.Settings{
		Instances: 1, Quantum: 2 * time.Millisecond, MayCancel: true, MaxAttempts: 4, ConnectTimeout: 100 * time.Millisecond,
		MaxRetryAfter: 3 * time.Second, SlowStartMinShare: 0.2, SlowStartWindow: 4 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second, ResubscribeInterval: 5 * time.Second,
		TotalValueWeight: 1,
		Classes: []balancer.Class{
			read, class("pay", balancer.NonIdempotent, "", 5), class("book", balancer.IdempotentWithKey, balancer.KeyScopeCell, 2),
			zoned, class("anywhere", balancer.IdempotentWithKey, balancer.KeyScopeAll, 1),
		},
	}
	change(&s)
	return s
}

// player brings random events to a balancer.
type player struct {
	*trace
	scenario
	t   *testing.T
	b   *balancer.Balancer
	set balancer.Settings
	n   int // requests so far
}

func (p *player) entry(id int) balancer.ListEntry {
	e := balancer.ListEntry{Endpoint: balancer.EndpointID(id), Zone: id % 3, MachineKind: id % 4, Cell: id / 2, Weight: 1}
	if p.weighted {
		e.Weight = float64(1 + id%5)
	}
	return e
}

func (p *player) list(kind balancer.ListKind) {
	l := balancer.EndpointList{Kind: kind, Version: uint64(p.n)}
	for id := 1; id <= p.endpoints; id++ {
		l.Entries = append(l.Entries, p.entry(id))
	}
	p.b.HandleEndpoints(p.now, l)
}

func (p *player) delta() {
	l := balancer.EndpointList{Kind: balancer.ListDelta, Version: uint64(p.n)}
	for range 1 + p.rng.IntN(4) {
		e := p.entry(1 + p.rng.IntN(p.endpoints))
		e.State = []balancer.EndpointState{balancer.EndpointReady, balancer.EndpointReady, balancer.EndpointReady, balancer.EndpointDraining, balancer.EndpointRemoved}[p.rng.IntN(5)]
		if p.rng.IntN(2) == 0 {
			e.StartedAt = p.now - time.Duration(p.rng.IntN(5000))*time.Millisecond
		}
		l.Entries = append(l.Entries, e)
	}
	p.b.HandleEndpoints(p.now, l)
}

func (p *player) request() {
	p.n++
	q := balancer.Request{
		ID: balancer.RequestID(fmt.Sprint("r", p.n)), Class: p.rng.IntN(len(p.set.Classes)), TimeLeft: 2 * time.Second,
		IdleConnections: p.rng.IntN(6), ValueFactor: float64(p.rng.IntN(3)),
	}
	if len(p.set.Tenants) > 0 {
		q.Tenant = p.rng.IntN(len(p.set.Tenants))
	}
	switch p.rng.IntN(12) {
	case 0:
		q.Retry, q.TimeLeft = true, time.Duration(1+p.rng.IntN(2000))*time.Millisecond
	case 1:
		other := balancer.EndpointID(1 + p.rng.IntN(p.endpoints))
		q.Exclude, q.MaxAttempts, q.AttemptTimeout = &other, 2, 300*time.Millisecond
	case 2:
		id := 1 + p.rng.IntN(p.endpoints)
		q.Prior = balancer.PriorAttempt{MayHaveRun: true, Zone: id % 3, Cell: id / 2, SentAt: p.now - time.Second}
	}
	p.b.HandleRequest(p.now, q)
}

// end brings the outcomes of the calls that have ended by now, in the order in which they were sent.
func (p *player) end() {
	for i := 0; i < len(p.open); {
		if p.open[i].endsAt > p.now {
			i++
			continue
		}
		c := p.open[i]
		p.open = slices.Delete(p.open, i, i+1)
		o := balancer.Outcome{
			ID: c.id, Endpoint: c.to, Attempt: c.attempt, Elapsed: p.now - c.sentAt, Status: c.status,
			Final: c.status == balancer.StatusOK || p.final[c.id], NoRetry: p.rng.IntN(40) == 0,
		}
		if p.rng.IntN(20) == 0 {
			o.Backoff = time.Duration(p.rng.IntN(100)) * time.Millisecond
		}
		if p.reports && p.rng.IntN(2) == 0 {
			o.Load = &balancer.Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceTime: time.Duration(1+p.rng.IntN(8)*int(1+c.to%4)) * time.Millisecond}
		}
		p.b.HandleOutcome(p.now, o)
	}
}

func (p *player) rare() {
	switch p.rng.IntN(8) {
	case 0, 1, 2:
		p.delta()
	case 3:
		p.list([]balancer.ListKind{balancer.ListFull, balancer.ListCached}[p.rng.IntN(2)])
	case 4:
		p.b.HandleEndpoints(p.now, balancer.EndpointList{Kind: balancer.ListFailed})
		p.b.HandleHealthCheck(p.now, balancer.HealthCheckResult{Endpoint: 1})
		p.b.HandlePeerMessage(p.now, 0, []byte("x"))
	case 5:
		if len(p.open) > 0 {
			c := p.open[p.rng.IntN(len(p.open))]
			p.b.HandleResponseStart(p.now, c.id, c.attempt, c.to)
		}
	case 6:
		if len(p.open) > 0 {
			p.b.HandleClientGone(p.now, p.open[p.rng.IntN(len(p.open))].id)
		}
	case 7:
		if p.regroups {
			p.regroup()
		}
	}
}

func (p *player) regroup() {
	g := balancer.InstanceGroup{Instances: max(2, p.set.Instances-2+p.rng.IntN(5))}
	g.Ordinal, g.MaxInstances = p.rng.IntN(g.Instances), p.rng.IntN(2*g.Instances)
	if p.rng.IntN(2) == 0 {
		for i := range g.Instances {
			g.Members = append(g.Members, uint64(1000*i))
		}
		g.Self = g.Members[g.Ordinal]
	}
	if err := p.b.UpdateGroup(p.now, g); err != nil {
		p.t.Fatal(err)
	}
}

// fire brings the timers that are due, lowest token first.
func (p *player) fire() {
	for token := range uint64(2) {
		if at, ok := p.timers[token]; ok && at <= p.now {
			delete(p.timers, token)
			p.b.HandleTimer(p.now, token)
		}
	}
}

// play runs the scenario over some milliseconds.
func (p *player) play(steps int) {
	owed := 0.0 // requests
	for step := range steps {
		for owed += p.rng.ExpFloat64() * float64(p.perSecond) / 1000; owed >= 1; owed-- {
			p.request()
		}
		p.end()
		if p.rng.IntN(60) == 0 {
			p.rare()
		}
		if step == steps/3 {
			if _, err := p.b.AddClass(p.set.Classes[0]); err != nil {
				p.t.Fatal(err)
			}
			p.set.Classes = append(slices.Clone(p.set.Classes), p.set.Classes[0])
		}
		if p.leaves && step == steps*4/5 {
			p.b.ShutDownAt(p.now, p.now+time.Duration(steps/6)*time.Millisecond)
		}
		p.now += time.Millisecond
		p.fire()
	}
	for id, part := range p.b.Subset() {
		p.note("subset", id, part, p.b.Ejected(id))
	}
}

func TestGoldenDecisions(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var text strings.Builder
			for seed := range uint64(3) {
				p := &player{trace: newTrace(seed), scenario: s, t: t, set: goldenSettings(s.change)}
				b, err := balancer.New(p.set, seed, p.trace)
				if err != nil {
					t.Fatal(err)
				}
				p.b = b
				p.list(balancer.ListCached)
				p.play(8000)
				fmt.Fprintf(&text, "seed %d: %d requests, %v\n%x\n", seed, p.n, p.counts, p.digest.Sum(nil))
				text.WriteString(strings.Join(p.first, ""))
			}
			golden.Text(t, "decisions-"+s.name+".txt", []byte(text.String()))
		})
	}
}

// lastSend is a Host that keeps the endpoint of the last send alone, without an allocation.
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

// A decision, from a request to its outcome, allocates no more than it did when these bounds were measured.
func TestDecisionAllocations(t *testing.T) {
	for _, c := range []struct {
		endpoints int
		most      float64 // allocations a decision
	}{{10, 1}, {100, 1}, {1000, 1}} {
		t.Run(fmt.Sprint(c.endpoints), func(t *testing.T) {
			host := &lastSend{}
			b, err := balancer.New(goldenSettings(func(*balancer.Settings) {}), 7, host)
			if err != nil {
				t.Fatal(err)
			}
			l := balancer.EndpointList{Kind: balancer.ListFull, Version: 1}
			for id := range c.endpoints {
				l.Entries = append(l.Entries, balancer.ListEntry{Endpoint: balancer.EndpointID(id + 1), Cell: id / 2, Weight: 1})
			}
			now := time.Second
			b.HandleEndpoints(now, l)
			decide := func() {
				b.HandleRequest(now, balancer.Request{ID: "r", TimeLeft: 2 * time.Second})
				b.HandleOutcome(now+time.Millisecond, balancer.Outcome{ID: "r", Endpoint: host.to, Final: true, Elapsed: 20 * time.Millisecond})
				now += time.Millisecond
				b.HandleTimer(now, 0)
			}
			for range 1000 {
				decide() // buffers grow
			}
			if got := testing.AllocsPerRun(2000, decide); got > c.most {
				t.Errorf("%v allocations a decision, at most %v", got, c.most)
			} else {
				t.Logf("%v allocations a decision", got)
			}
		})
	}
}

// Values that settings files, the simulator's wire and people's tools go by.
func TestValuesAreData(t *testing.T) {
	for got, want := range map[any]any{
		balancer.Idempotent: balancer.Idempotency("safe"), balancer.IdempotentWithKey: balancer.Idempotency("keyed"), balancer.NonIdempotent: balancer.Idempotency("unsafe"),
		balancer.KeyScopeAll: balancer.KeyScope("all"), balancer.KeyScopeZone: balancer.KeyScope("zone"), balancer.KeyScopeCell: balancer.KeyScope("cell"),
		balancer.StatusOK: balancer.Status(0), balancer.StatusError: balancer.Status(1), balancer.StatusRejected: balancer.Status(2),
		balancer.StatusTimeout: balancer.Status(3), balancer.StatusConnectFailed: balancer.Status(4), balancer.StatusReset: balancer.Status(5),
		balancer.StatusCancelled: balancer.Status(6), balancer.StatusNotSent: balancer.Status(7), balancer.StatusInvalidResponse: balancer.Status(8),
		balancer.EndpointReady: balancer.EndpointState(0), balancer.EndpointDraining: balancer.EndpointState(1), balancer.EndpointRemoved: balancer.EndpointState(2),
		balancer.ListDelta: balancer.ListKind(0), balancer.ListFull: balancer.ListKind(1),
		balancer.ListCached: balancer.ListKind(2), balancer.ListFailed: balancer.ListKind(3),
	} {
		if got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
}
