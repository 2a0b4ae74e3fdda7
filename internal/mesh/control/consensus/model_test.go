package consensus

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/transport/codec"
)

// The model is a core of several processes, as package controlplane runs them, without time: one step after the other is
// drawn by chance. Requests and replies are lost, late and doubled; processes are killed, alone or all at once, also between
// a write and its sync; disks are lost, one at a time until its replica has recovered; voters are added, removed and
// exchanged; operators send orders, and send them again, to any process. specification says what has to hold of it.
type model struct {
	rng      *rand.Rand
	replicas []*modelReplica
	wire     []*parcel
	orders   []*Change
	spec     specification
	steps    int
	healed   bool // no more faults
	encoded  bool // all that is sent or synced goes through the codec
	slow     int  // of 100 parcels
	losses   int  // of disks, in 1000 steps at most
	counts   map[string]int
	digest   hash.Hash // of all replies, unless nil
}

// modelReplica is one process, a voter or not.
type modelReplica struct {
	name  string
	disk  Record // as of the last sync
	wiped bool   // the disk was lost, and the record isn't made again yet

	up          bool
	boot        int // how often it started
	record      Record
	lost        bool // the record has to be made
	incarnation uint64
	recovery    *Recovery
	membership  VoterSet // without voters while not known
	known       Vote
	highest     uint64
	calls       []*modelCall
	writer      *modelCall // has a ballot
}

// modelCall is a read or a change: rounds until one is done.
type modelCall struct {
	round    *Round // nil: it waits for the next one
	phase    int
	attempts int
	reading  bool // without a change, and by asking at first
	asks     bool // the next round has no ballot
	change   *Change
	version  configuration.Version // committed when the call began
	epoch    uint64
}

// parcel is a request, or the reply to it, on its way.
type parcel struct {
	from, to *modelReplica // of the request
	boot     int           // of from
	call     *modelCall    // nil: for from's recovery, or no reply is needed
	phase    int
	recovery *Recovery
	request  *Request
	reply    *Reply
	due      int // the step before which it doesn't arrive
}

const (
	modelSteps     = 2000
	modelAttempts  = 8    // rounds of a call
	modelSlow      = 300  // steps that a slow parcel is under way, at most
	modelExchanges = true // one voter is exchanged for another in one step
	modelPrefilled = maxHistory + 40
)

// prefilled are the orders that a register has seen which has forgotten some of them, and the value that they left.
var prefilled = sync.OnceValues(func() ([]*Change, Value) {
	var orders []*Change
	var value Value
	for n := 1; n <= modelPrefilled; n++ {
		change := NewChange(configuration.Version(n-1), configuration.Version(n), fmt.Appendf(nil, "prefilled %d", n))
		_, next := change.evaluate(&value)
		orders, value = append(orders, change), *next
	}
	return orders, value
})

// newModel makes a core of so many voters and spares; old tells that its register is prefilled.
func newModel(seed uint64, voters, spares int, old bool) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 3)), counts: map[string]int{}, encoded: seed%8 == 0}
	m.slow, m.losses = pick(m.rng, []int{3, 10, 25}), pick(m.rng, []int{2, 4, 12})
	m.spec = specification{refused: map[VersionDigest]bool{}, voters: map[uint64][]string{}}
	first := list(voters)
	var value Value
	if old {
		orders, newest := prefilled()
		m.orders, value = slices.Clone(orders), newest
		for _, change := range orders {
			m.spec.chain = append(m.spec.chain, change.entry())
		}
	}
	m.spec.version = value.Version
	for i := range voters + spares {
		p := &modelReplica{name: fmt.Sprint("v", i)}
		p.disk = InitialRecord(p.name, first.Voters)
		if value.Version > 0 && p.disk.State.Ready {
			p.disk.Vote = Vote{Ballot: Ballot{1, "prefilled"}, Value: value}
		}
		m.replicas = append(m.replicas, p)
		m.start(p)
	}
	return m
}

func (m *model) chance(percent int) bool { return m.rng.IntN(100) < percent }

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func (m *model) replica(name string) *modelReplica {
	return m.replicas[slices.IndexFunc(m.replicas, func(p *modelReplica) bool { return p.name == name })]
}

// start starts a process with what its disk holds (controlplane's replica.load).
func (m *model) start(p *modelReplica) {
	*p = modelReplica{name: p.name, disk: p.disk, wiped: p.wiped, up: true, boot: p.boot + 1, record: p.disk}
	p.adopt(p.record.DecidedVoters())
	if p.lost = !p.disk.State.Ready; p.lost {
		p.incarnation = 1 + m.rng.Uint64N(1000) // by a clock that may have been set back
		return
	}
	p.observe(p.record.State.Promised)
	p.observe(p.record.Vote.Ballot)
}

// stop kills a process: what is synced stays.
func (m *model) stop(p *modelReplica) { p.up, p.calls, p.writer, p.recovery = false, nil, nil, nil }

func (m *modelReplica) observe(b Ballot) { m.highest = max(m.highest, b.Number) }

func (m *modelReplica) adopt(e VoterSet) {
	if len(e.Voters) > 0 && (len(m.membership.Voters) == 0 || e.Epoch > m.membership.Epoch) {
		m.membership = e
	}
}

// learn notes a vote that is said to be committed.
func (m *model) learn(p *modelReplica, v Vote) {
	if v.Ballot.Compare(p.known.Ballot) > 0 {
		v.Learned = false
		p.known = v
		m.spec.observe(&v.Value)
	}
	p.adopt(v.Value.VoterSet)
}

// persist syncs what changed of a record, the vote first; if the power goes, a part may be there or nothing, and the process
// is gone.
func (m *model) persist(p *modelReplica, next Record, changed Unsynced) bool {
	if !changed.Any() {
		return true
	}
	written := 2
	power := !m.healed && m.rng.IntN(150) == 0
	if power {
		written = m.rng.IntN(3)
	}
	if changed.Vote && written >= 1 {
		p.disk.Vote = copied(m, &next.Vote)
	}
	if changed.State && written == 2 {
		p.disk.State = copied(m, &next.State)
	}
	if power {
		m.counts["power lost in a write"]++
		m.stop(p)
		return false
	}
	p.record = next
	return true
}

// replace syncs a whole record that was made anew, in its steps (controlplane's replica.replace).
func (m *model) replace(p *modelReplica, r Record) {
	written := 3
	if !m.healed && m.chance(10) {
		written = m.rng.IntN(3)
	}
	if written >= 1 {
		p.disk.State = r.State
		p.disk.State.Ready = written == 3
	}
	if written >= 2 {
		p.disk.Vote = r.Vote
	}
	if written < 3 {
		m.stop(p)
		return
	}
	p.record, p.lost, p.wiped, p.recovery = r, false, false, nil
	p.adopt(r.DecidedVoters())
	p.observe(r.State.Promised)
	p.observe(r.Vote.Ballot)
	m.counts["records made"]++
}

// copied is a message as it is read again, if this model encodes.
func copied[T any, P interface {
	*T
	codec.Message
}](m *model, t *T) T {
	var again T
	if !m.encoded {
		return *t
	}
	if err := codec.Unmarshal(codec.MarshalAppend(nil, P(t)), P(&again)); err != nil {
		panic(err)
	}
	return again
}

// serve answers a request, if the process survives it.
func (m *model) serve(p *modelReplica, q *Request) (Reply, bool) {
	p.observe(q.Ballot)
	if p.lost {
		return Reply{Kind: NotReady, Ballot: q.Ballot, DiskIncarnation: p.incarnation}, true
	}
	if q.Kind == Commit {
		vote := p.record.Vote
		if vote.Ballot != q.Ballot {
			return Reply{Kind: Reported}, true
		}
		m.learn(p, vote)
		next, changed := p.record.LearnVoters(vote.Value.VoterSet)
		return Reply{Kind: Reported}, m.persist(p, next, changed)
	}
	reply, next, changed := p.record.Handle(q)
	if m.digest != nil {
		m.digest.Write(codec.MarshalAppend(codec.MarshalAppend(nil, q), &reply))
	}
	return reply, m.persist(p, next, changed)
}

func (m *model) send(from *modelReplica, nodes []string, q *Request, call *modelCall, recovery *Recovery) {
	request := copied(m, q)
	for _, node := range nodes {
		x := &parcel{from: from, to: m.replica(node), boot: from.boot, call: call, recovery: recovery, request: &request}
		if call != nil {
			x.phase = call.phase
		}
		m.post(x)
	}
}

// post puts a parcel on the wire; some are slow, so that a process may be killed and recover before they arrive.
func (m *model) post(x *parcel) {
	if x.due = m.steps; m.chance(m.slow) {
		x.due += m.rng.IntN(modelSlow)
	}
	m.wire = append(m.wire, x)
}

// arrive delivers one of the parcels that are due.
func (m *model) arrive() {
	for range min(20, len(m.wire)) {
		if i := m.rng.IntN(len(m.wire)); m.wire[i].due <= m.steps {
			m.deliver(i)
			return
		}
	}
}

// deliver takes a parcel from the wire. It may be lost, and it may come again.
func (m *model) deliver(i int) {
	x := m.wire[i]
	if m.healed || !m.chance(4) {
		m.wire = slices.Delete(m.wire, i, i+1)
	}
	if !m.healed && m.chance(4) {
		return
	}
	if x.reply == nil {
		if x.to.up {
			if reply, ok := m.serve(x.to, x.request); ok && (x.call != nil || x.recovery != nil) {
				answer := *x
				reply = copied(m, &reply)
				answer.reply = &reply
				m.post(&answer)
			}
		}
		return
	}
	p := x.from
	switch {
	case !p.up || p.boot != x.boot:
	case x.recovery != nil && x.recovery == p.recovery:
		m.recovered(p, x)
	case x.call != nil && x.call.round != nil && x.phase == x.call.phase && slices.Contains(p.calls, x.call):
		if q := x.call.round.Step(x.to.name, x.reply); q != nil {
			x.call.phase++
			m.send(p, x.call.round.Recipients(), q, x.call, nil)
		}
		if x.call.round.Finished() {
			m.over(p, x.call)
		}
	}
}

// begin starts a call's next round (controlplane's Server.rounds).
func (m *model) begin(p *modelReplica, c *modelCall) {
	if len(p.membership.Voters) == 0 || !c.asks && p.writer != nil {
		return
	}
	if c.attempts++; c.attempts > modelAttempts && !m.healed {
		m.drop(p, c) // the caller hears nothing
		return
	}
	var q *Request
	if c.asks {
		c.round, q = NewReadRound(p.membership, p.known)
	} else {
		p.writer = c
		p.highest++
		c.round, q = NewRound(p.membership, Ballot{p.highest, fmt.Sprint(p.name, "#", p.boot)}, c.change, p.known)
	}
	c.phase++
	m.send(p, c.round.Recipients(), q, c, nil)
}

func (m *model) drop(p *modelReplica, c *modelCall) {
	if p.writer == c {
		p.writer = nil
	}
	p.calls = slices.DeleteFunc(p.calls, func(o *modelCall) bool { return o == c })
}

// over goes on after a round.
func (m *model) over(p *modelReplica, c *modelCall) {
	r := c.round
	p.observe(r.HighestBallot)
	if r.State == Done || r.State == Stale {
		m.learn(p, r.CommittedVote())
		p.adopt(r.NewerVoters)
		if p.writer == c {
			m.send(p, r.Recipients(), &Request{Kind: Commit, Ballot: r.CommittedVote().Ballot}, nil, nil)
		}
	}
	if p.writer == c {
		p.writer = nil
	}
	c.round = nil
	switch {
	case r.State == Done:
		m.drop(p, c)
		m.conclude(c, r)
	case r.State == Inconclusive:
		c.asks = false
		m.begin(p, c)
	case r.State == Stale && p.membership.Epoch > r.VoterSet().Epoch:
		m.begin(p, c)
	default:
		c.asks = c.reading
	}
}

// conclude hands a call's end to the specification.
func (m *model) conclude(c *modelCall, r *Round) {
	switch {
	case c.change == nil:
		m.counts["reads"]++
	case c.change.nextVoters == nil:
		m.counts[r.Verdict.String()]++
	}
	m.spec.done(c, r)
}

func (m *model) call(p *modelReplica, c *modelCall) {
	c.version, c.epoch = m.spec.version, m.spec.epoch
	p.calls = append(p.calls, c)
	m.begin(p, c)
}

// makeRecord goes on with a record that has to be made (controlplane's Server.recover).
func (m *model) makeRecord(p *modelReplica) {
	if len(p.membership.Voters) == 0 {
		p.adopt(pick(m.rng, m.replicas).membership)
		return
	}
	if p.recovery != nil {
		p.incarnation = p.recovery.NextDiskIncarnation()
	}
	var q *Request
	p.recovery, q = NewRecovery(p.name, p.membership, p.incarnation, false)
	m.send(p, p.recovery.Recipients(), q, nil, p.recovery)
}

// recovered takes a reply to a recovery.
func (m *model) recovered(p *modelReplica, x *parcel) {
	before := p.recovery.Recipients()
	if r, ok := p.recovery.Step(x.to.name, x.reply); ok {
		m.replace(p, r)
		return
	}
	for _, node := range p.recovery.Recipients() {
		if !slices.Contains(before, node) {
			m.send(p, []string{node}, x.request, nil, p.recovery)
		}
	}
}

// order has an operator send an order, or one of those before again.
func (m *model) order(p *modelReplica) {
	if len(m.orders) > 0 && m.chance(50) {
		recent := m.orders[max(0, len(m.orders)-8):]
		if m.chance(20) { // may be older than what is remembered
			recent = m.orders[:min(len(m.orders), 2*(modelPrefilled-maxHistory))]
		}
		m.call(p, &modelCall{change: pick(m.rng, recent)})
		return
	}
	base := m.spec.version
	switch n := m.rng.IntN(10); {
	case n == 0:
		base += configuration.Version(1 + m.rng.IntN(3))
	case n == 1:
		base -= min(base, configuration.Version(1+m.rng.IntN(3)))
	}
	change := NewChange(base, base+configuration.Version(m.rng.IntN(4)), fmt.Appendf(nil, "order %d", len(m.orders)))
	m.orders = append(m.orders, change)
	m.call(p, &modelCall{change: change})
}

// reconfigure has a process change the voters.
func (m *model) reconfigure(p *modelReplica) {
	e := p.membership
	if len(e.Voters) == 0 || e.Epoch == 0 && m.chance(50) {
		return
	}
	var spares []string
	for _, o := range m.replicas {
		if o.up && !o.lost && o.record.State.Ready && !e.Contains(o.name) {
			spares = append(spares, o.name)
		}
	}
	var change *Change
	switch voters := len(e.Voters); {
	case modelExchanges && len(spares) > 0 && m.chance(60):
		change = NewVoterChange(e, VoterChange{Add: pick(m.rng, spares), Remove: pick(m.rng, e.Voters)})
	case len(spares) > 0 && (voters <= 3 || voters < 5 && m.chance(50)):
		change = NewVoterChange(e, VoterChange{Add: pick(m.rng, spares)})
	case voters > 3:
		change = NewVoterChange(e, VoterChange{Remove: pick(m.rng, e.Voters)})
	}
	if change != nil {
		m.call(p, &modelCall{change: change})
	}
}

// gossip has a process hear of the newest membership that another knows, and write it down.
func (m *model) gossip(p *modelReplica) {
	if o := pick(m.rng, m.replicas); o.up {
		p.adopt(o.membership)
	}
	if next, changed := p.record.LearnVoters(p.membership); !p.lost {
		m.persist(p, next, changed)
	}
}

// revive starts a process again, and has one that needs a record try to make it.
func (m *model) revive() {
	p := pick(m.rng, m.replicas)
	if !p.up {
		m.start(p)
	}
	for _, o := range m.replicas {
		if o.up && o.lost {
			m.makeRecord(o)
		}
	}
}

// wipe loses a disk, if no other one is lost.
func (m *model) wipe(p *modelReplica) {
	if slices.ContainsFunc(m.replicas, func(o *modelReplica) bool { return o.wiped }) {
		return
	}
	m.counts["disks lost"]++
	m.stop(p)
	p.disk, p.wiped = Record{}, true
}

// step does one thing by chance.
func (m *model) step() {
	m.steps++
	p := pick(m.rng, m.replicas)
	switch n := m.rng.IntN(1000); {
	case n < 880:
		m.arrive()
	case n < 900:
		m.revive()
	case n < 902:
		m.stop(p)
	case n < 903:
		for _, o := range m.replicas {
			m.stop(o)
		}
	case n < 903+m.losses:
		m.wipe(p)
	case !p.up:
	case n < 940:
		if len(p.calls) > 0 {
			m.hurry(p, pick(m.rng, p.calls))
		}
	case n < 946:
		m.reconfigure(p)
	case n < 954:
		m.gossip(p)
	case n < 975:
		m.order(p)
		if o := pick(m.rng, m.replicas); o.up { // a race
			m.order(o)
		}
	default:
		m.call(p, &modelCall{reading: true, asks: true})
	}
}

// hurry ends a call's wait for further replies, or for its next round.
func (m *model) hurry(p *modelReplica, c *modelCall) {
	if c.round == nil {
		m.begin(p, c)
		return
	}
	c.round.StopWaiting()
	m.over(p, c)
}

// settle ends all faults, has every process make its record, read, and have an order taken.
func (m *model) settle() {
	m.healed, m.wire = true, nil
	for _, p := range m.replicas {
		m.stop(p)
		m.start(p)
	}
	for range 40 {
		for _, p := range m.replicas {
			if p.lost {
				m.makeRecord(p)
				m.drain()
			}
		}
	}
	for _, p := range m.replicas {
		if p.lost {
			m.spec.fail("%s has no record after all faults have ended", p.name)
		}
	}
	for _, p := range m.replicas {
		m.finish(p, &modelCall{reading: true, asks: true})
	}
	change := NewChange(m.spec.version, m.spec.version+1, []byte("the last"))
	for range 2 { // and again, maybe elsewhere
		m.finish(pick(m.rng, m.replicas), &modelCall{change: change})
		if m.spec.fault == "" && !m.spec.holds(change.entry()) {
			m.spec.fail("an order on the newest version is not in force")
		}
	}
}

// finish plays a call to its end.
func (m *model) finish(p *modelReplica, c *modelCall) {
	m.call(p, c)
	for range 40 {
		if m.drain(); !slices.Contains(p.calls, c) {
			return
		}
		m.hurry(p, c)
	}
	m.spec.fail("a call at %s doesn't end after all faults have ended", p.name)
}

// drain delivers all that is on its way.
func (m *model) drain() {
	for len(m.wire) > 0 {
		m.deliver(0)
	}
}

// specification is what has to hold, whatever happens: committed values are one history; what was acknowledged stays in it,
// what was refused is never in it; and who reads sees at least what was committed before the read began.
type specification struct {
	chain   []VersionDigest // all versions that were in force, oldest first
	refused map[VersionDigest]bool
	version configuration.Version // newest that a call was told of
	epoch   uint64
	voters  map[uint64][]string // by epoch
	seen    [][2]uint64         // versions and epochs of committed values
	fault   string              // the first one
}

func (s *specification) fail(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

func (s *specification) holds(entry VersionDigest) bool { return slices.Contains(s.chain, entry) }

// observe takes a value that somebody holds for committed.
func (s *specification) observe(w *Value) {
	if w.Version > 0 {
		s.extend(w.History)
		at := slices.Index(s.chain, w.History[0])
		if at > 0 && w.TruncatedVersion != s.chain[at-1].Version || at == 0 && w.TruncatedVersion != 0 {
			s.fail("%v forgot up to %d, and starts with %v", w.Version, w.TruncatedVersion, w.History[0])
		}
	}
	e := &w.VoterSet
	if voters, ok := s.voters[e.Epoch]; ok && !slices.Equal(voters, e.Voters) {
		s.fail("two lists of voters for epoch %d: %v and %v", e.Epoch, voters, e.Voters)
	}
	s.voters[e.Epoch] = e.Voters
	now := [2]uint64{uint64(w.Version), e.Epoch}
	for _, o := range s.seen {
		if (o[0] < now[0]) != (o[1] < now[1]) && o[0] != now[0] && o[1] != now[1] {
			s.fail("neither of two values was made from the other: version and epoch %v, %v", o, now)
		}
	}
	if !slices.Contains(s.seen, now) {
		s.seen = append(s.seen, now)
	}
}

// extend holds a history against the chain, and adds what is new in it.
func (s *specification) extend(history []VersionDigest) {
	at := 0
	if len(s.chain) > 0 {
		if at = slices.Index(s.chain, history[0]); at < 0 {
			s.fail("a history that starts with %v doesn't belong to the chain", history[0])
			return
		}
	}
	both := min(len(s.chain)-at, len(history))
	if !slices.Equal(s.chain[at:at+both], history[:both]) {
		s.fail("two histories")
		return
	}
	for _, entry := range history[both:] {
		if s.refused[entry] {
			s.fail("%d is in force after it was refused", entry.Version)
		}
		s.chain = append(s.chain, entry)
	}
}

// becomeDone takes the end of a call.
func (s *specification) done(c *modelCall, r *Round) {
	w := &r.Value
	s.observe(w)
	if w.Version < c.version || w.VoterSet.Epoch < c.epoch {
		s.fail("a call that began at version %v, epoch %d ended at %v, epoch %d", c.version, c.epoch, w.Version, w.VoterSet.Epoch)
	}
	s.version, s.epoch = max(s.version, w.Version), max(s.epoch, w.VoterSet.Epoch)
	if c.change != nil && c.change.nextVoters == nil {
		s.judged(c.change, r.Verdict, w)
	}
}

// judged holds a verdict against what the chain tells.
func (s *specification) judged(c *Change, verdict Verdict, w *Value) {
	entry := c.entry()
	at := slices.Index(s.chain, entry)
	switch verdict {
	case Applied:
		if at < 0 {
			s.fail("%v was acknowledged, and is not in force", c.Version)
		} else if at > 0 && s.chain[at-1].Version != uint64(c.Base) {
			s.fail("%v on %v was acknowledged, and is on %d", c.Version, c.Base, s.chain[at-1].Version)
		}
	case Conflict:
		if at >= 0 {
			s.fail("%v was in force, and is refused", c.Version)
		}
		if c.Base == w.Version && c.Version > c.Base && !slices.Contains(w.Refused, entry) {
			s.fail("%v on the newest version, %v, was refused", c.Version, c.Base) // and not before its base was there
		}
		s.refused[entry] = true
	default:
		if entry.Version > w.TruncatedVersion && (c.Base <= w.Version || len(w.Refused) < maxRefused) {
			s.fail("%v on %v has no clear answer at %v", c.Version, c.Base, w.Version)
		}
	}
}

// TestModel plays the model with many seeds; a fault names its seed.
func TestModel(t *testing.T) {
	seeds := uint64(400)
	if os.Getenv("SOAK") != "" {
		seeds = 5000
	}
	counts := map[string]int{}
	for seed := range seeds {
		m := newModel(seed, []int{3, 3, 3, 4, 5}[seed%5], 1+int(seed/5%2), seed%4 == 3)
		for n := 0; n < modelSteps && m.spec.fault == ""; n++ {
			m.step()
		}
		if m.settle(); m.spec.fault != "" {
			t.Fatalf("seed %d: %s", seed, m.spec.fault)
		}
		for what, n := range m.counts {
			counts[what] += n
		}
		counts["versions"] += len(m.spec.chain)
		counts["epochs"] += int(m.spec.epoch)
	}
	t.Logf("%d seeds: %v", seeds, counts)
	for _, what := range []string{"applied", "conflict", "unknown", "disks lost", "power lost in a write", "records made", "epochs"} {
		qt.Assert(t, counts[what] > int(seeds)/10, qt.IsTrue, qt.Commentf(what))
	}
}
