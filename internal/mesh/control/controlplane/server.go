// Package controlplane is a core process's part in the agreement on the operator's word: a voter's record on disk, if it is a
// voter, proposals and reads, and the operator's calls over HTTP.
package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gingerlead/internal/mesh/control/configuration"
	"gingerlead/internal/mesh/control/consensus"
	"gingerlead/internal/mesh/transport/codec"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// Transport asks another core process; node is as in the voters' list. There, Serve answers.
type Transport interface {
	Ask(ctx context.Context, node string, request []byte) ([]byte, error)
}

// Options are what a Desk is opened with.
type Options struct {
	Self         string          // this process, as in the list of seeds
	Seeds        []string        // of the settings: at the first start of the whole system they become the voters
	Tolerated    int             // machines that may be lost at once: it tells how many voters there should be
	Cores        func() []string // the core processes that are there, by their control addresses; nil: voters stay as they are
	InitialStart bool
	Folder       string
	Transport    Transport
	Log          *logrus.Logger
	Seed         uint64
	OnCommit     func(w consensus.Value) // called by one goroutine, with newer words only

	open func(folder string) (disk, error) // a storage, except in tests
}

const (
	votersMax    = 3
	phaseMin     = 400 * time.Millisecond // how long one phase of a round waits for replies, at first
	phaseMax     = time.Second
	afterNack    = 20 * time.Millisecond
	pauseMin     = 10 * time.Millisecond
	pauseMax     = 500 * time.Millisecond
	askTimeout   = 2 * time.Second
	recoverDelay = 20 * time.Millisecond
)

// Desk takes part in the agreement.
type Server struct {
	o      Options
	ctx    context.Context
	end    context.CancelFunc
	wg     sync.WaitGroup
	jobs   chan *job
	node   string        // for ballots: this process in this life
	writer chan struct{} // held by the one round of this process that may have a ballot
	news   chan struct{} // a newer word is committed

	mu        sync.Mutex
	rng       *rand.Rand
	voters    consensus.Membership // without voters while not known
	kept      uint64               // epoch of the list on disk
	accepted  uint64               // epoch of the vote on disk
	ready     bool                 // knows what it promised
	seeds     []string             // by now
	highest   uint64               // of all ballots that were seen
	known     consensus.Vote       // newest whose ballot and word are known to be committed
	committed consensus.Value
}

// Open starts a Desk. The disk is opened in the background, however long it takes.
func Open(o Options) (*Server, error) {
	if o.Self == "" || o.Transport == nil || o.Log == nil {
		return nil, trace.BadParameter("a server needs its own name, a transport and a log")
	}
	if o.open == nil {
		o.open = openStorage
	}
	d := &Server{o: o, seeds: o.Seeds, jobs: make(chan *job, 64), writer: make(chan struct{}, 1), news: make(chan struct{}, 1)}
	d.ctx, d.end = context.WithCancel(context.Background())
	life := uint64(time.Now().UnixNano())
	d.rng = rand.New(rand.NewPCG(o.Seed, life))
	d.node = fmt.Sprintf("%s#%x", o.Self, d.rng.Uint64())
	k := &replica{d: d}
	for _, f := range []func(){k.run, d.announce, d.logNewest, d.reconfigureLoop} {
		d.wg.Go(f)
	}
	return d, nil
}

// Close ends the Desk's goroutines; it waits for the disk.
func (d *Server) Close() {
	d.end()
	d.wg.Wait()
}

// firstVoters are the voters at the first start.
func (d *Server) firstVoters() []string {
	seeds := slices.Clone(d.o.Seeds)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	return seeds[:min(len(seeds), votersMax)]
}

// Voters are the processes that vote, by their control addresses; none while this process does not know.
func (d *Server) Voters() []string { return d.Membership().Voters }

// Membership is the newest list of voters that this process knows as decided.
func (d *Server) Membership() consensus.Membership {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.voters
}

// Accepted is the epoch of the newest vote of this process; ready is false while its record isn't read from disk, or is lost.
func (d *Server) Accepted() (epoch uint64, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepted, d.ready
}

func (d *Server) adoptMembership(e consensus.Membership) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elect(e)
}

// elect notes a list that is decided. The lock is held.
func (d *Server) elect(e consensus.Membership) {
	if len(e.Voters) == 0 || len(d.voters.Voters) > 0 && e.Epoch <= d.voters.Epoch {
		return
	}
	d.voters = e
	if e.Epoch > 0 {
		d.o.Log.WithField("epoch", e.Epoch).WithField("voters", e.Voters).Info("voters")
	}
}

// see notes a ballot, so that the next one of this process is above it.
func (d *Server) observeBallot(b consensus.Ballot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highest = max(d.highest, b.N)
}

func (d *Server) nextBallot() consensus.Ballot {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highest++
	return consensus.Ballot{N: d.highest, Node: d.node}
}

func (d *Server) knownVote() consensus.Vote {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Committed is the newest word that this process knows is committed, if there is any.
func (d *Server) Committed() (consensus.Value, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.committed, d.committed.Version > 0
}

// Learn is told by another process that a word is committed.
func (d *Server) Learn(w consensus.Value) { d.learn(consensus.Vote{Value: w}) }

func (d *Server) learn(v consensus.Vote) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Ballot.Compare(d.known.Ballot) > 0 {
		v.Learned = false
		d.known = v
	}
	d.elect(v.Value.Membership)
	if v.Value.Version > d.committed.Version {
		d.committed = v.Value
		select {
		case d.news <- struct{}{}:
		default: // it is told already, and takes the newest
		}
	}
}

// announce calls OnCommit.
func (d *Server) announce() {
	var told configuration.Version
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.news:
		}
		w, _ := d.Committed()
		if w.Version > told && d.o.OnCommit != nil {
			told = w.Version
			d.o.OnCommit(w)
		}
	}
}

// Serve answers a request of a peer.
func (d *Server) Serve(ctx context.Context, request []byte) ([]byte, error) {
	var q consensus.Request
	if err := codec.Read(request, &q); err != nil {
		return nil, trace.BadParameter("request: %v", err)
	}
	reply, err := d.serve(ctx, &q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return codec.Write(nil, reply), nil
}

func (d *Server) serve(ctx context.Context, q *consensus.Request) (*consensus.Reply, error) {
	d.observeBallot(q.Ballot)
	if q.Kind == consensus.Describe {
		d.mu.Lock()
		defer d.mu.Unlock()
		return &consensus.Reply{Kind: consensus.Reported, Membership: d.voters, Ready: d.ready}, nil
	}
	return d.do(ctx, &job{request: q})
}

// ask asks a voter, which may be this process; raw is the request as it is sent.
func (d *Server) ask(ctx context.Context, node string, q consensus.Request, raw []byte) (*consensus.Reply, error) {
	if node == d.o.Self {
		return d.serve(ctx, &q)
	}
	raw, err := d.o.Transport.Ask(ctx, node, raw)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var reply consensus.Reply
	if err := codec.Read(raw, &reply); err != nil {
		return nil, trace.BadParameter("reply of %s: %v", node, err)
	}
	return &reply, nil
}

type answer struct {
	node  string
	reply *consensus.Reply // nil: none came
}

// broadcast asks all nodes; each of them answers once, sooner or later. What was sent stays on its way when the asker has
// enough answers, so that the others learn of it too.
func (d *Server) broadcast(nodes []string, q *consensus.Request) <-chan answer {
	answers := make(chan answer, len(nodes))
	raw, one := codec.Write(nil, q), *q
	for _, node := range nodes {
		go func() { // ends with the server
			ctx, cancel := context.WithTimeout(d.ctx, askTimeout)
			defer cancel()
			reply, err := d.ask(ctx, node, one, raw)
			if err != nil {
				d.o.Log.WithError(err).WithField("node", node).Debug("no answer")
			}
			answers <- answer{node, reply}
		}()
	}
	return answers
}

// drive plays a round until it is over. Each phase waits for patience, and less after a nack.
func (d *Server) drive(ctx context.Context, r *consensus.Round, q *consensus.Request, patience time.Duration) {
	for q != nil {
		nodes := r.Nodes()
		answers, left := d.broadcast(nodes, q), len(nodes)
		began := time.Now()
		timer := time.NewTimer(patience)
		hurried := false
		for q = nil; q == nil && left > 0 && !r.Over(); {
			select {
			case a := <-answers:
				left--
				if a.reply == nil {
					continue
				}
				q = r.Step(a.node, a.reply)
				if a.reply.Kind == consensus.Rejected && !hurried {
					hurried = true
					timer.Reset(min(patience, 2*time.Since(began)+afterNack))
				}
			case <-timer.C:
				left = 0
			case <-ctx.Done():
				left = 0
			}
		}
		timer.Stop()
	}
	r.GiveUp()
	d.observeBallot(r.Highest)
	if r.State == consensus.Done || r.State == consensus.Stale {
		d.learn(r.Vote())
		d.adoptMembership(r.NewerMembership)
	}
}

// rounds plays rounds until one is done or the context ends. A read asks first, and needs a ballot only if the answers
// differ.
func (d *Server) rounds(ctx context.Context, reading bool, change *consensus.Change) (*consensus.Round, error) {
	pause, patience := pauseMin, phaseMin
	asks := reading
	for ; ; patience = min(patience*3/2, phaseMax) {
		if e := d.Membership(); len(e.Voters) > 0 {
			r, err := d.round(ctx, e, asks, change, patience)
			switch {
			case err != nil:
				return nil, trace.Wrap(err)
			case r.State == consensus.Done:
				return r, nil
			case r.State == consensus.Inconclusive:
				asks = false
				continue
			case r.State == consensus.Stale && d.Membership().Epoch > e.Epoch:
				continue
			}
			asks = reading
		}
		if err := d.pause(ctx, &pause); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

func (d *Server) round(ctx context.Context, e consensus.Membership, asks bool, change *consensus.Change, patience time.Duration) (*consensus.Round, error) {
	known := d.knownVote()
	if asks {
		r, q := consensus.NewReadRound(e, known)
		d.drive(ctx, r, q, patience)
		return r, nil
	}
	select {
	case d.writer <- struct{}{}:
		defer func() { <-d.writer }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	r, q := consensus.NewRound(e, d.nextBallot(), change, known)
	d.drive(ctx, r, q, patience)
	if v := r.Vote(); r.State == consensus.Done || r.State == consensus.Stale {
		d.broadcast(r.Nodes(), &consensus.Request{Kind: consensus.Commit, Ballot: v.Ballot})
	}
	return r, nil
}

// pause waits for a random time, which grows.
func (d *Server) pause(ctx context.Context, pause *time.Duration) error {
	d.mu.Lock()
	wait := *pause/4 + time.Duration(d.rng.Int64N(int64(*pause)))
	d.mu.Unlock()
	*pause = min(2**pause, pauseMax)
	timer := time.NewTimer(min(wait, pauseMax))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-d.ctx.Done():
		return trace.Wrap(d.ctx.Err())
	}
}

// Newest is the newest word that was committed when it was called, or a newer one.
func (d *Server) Newest(ctx context.Context) (consensus.Value, error) {
	r, err := d.rounds(ctx, true, nil)
	if err != nil {
		return consensus.Value{}, trace.Wrap(err)
	}
	return r.Value, nil
}

// Outcome is what became of an operator's change.
type Outcome uint8

// Outcomes. What is Lost or Invalid never comes in force; what is Unclear may.
const (
	Unknown Outcome = iota
	Applied
	Conflict
	Invalid
)

func (o Outcome) String() string { return [...]string{"unclear", "taken", "lost", "invalid"}[o] }

// Verdict is an outcome, with the reason if it isn't Taken.
type Verdict struct {
	Outcome Outcome
	Reason  error
}

// Replace puts a configuration in place of version base.
func (d *Server) Replace(ctx context.Context, base configuration.Version, raw []byte) Verdict {
	config, err := configuration.Read(raw)
	if err != nil {
		return Verdict{Invalid, trace.Wrap(err)}
	}
	r, err := d.rounds(ctx, false, consensus.NewChange(base, config.Version, raw))
	switch {
	case err != nil:
		return Verdict{Unknown, trace.Wrap(err)}
	case r.Verdict == consensus.Applied:
		return Verdict{Outcome: Applied}
	}
	return Verdict{Conflict, trace.CompareFailed("%v on %v: %v is in place", config.Version, base, r.Value.Version)}
}

// settle finds out which word is committed when the process starts.
func (d *Server) logNewest() {
	w, err := d.Newest(d.ctx)
	if err == nil {
		d.o.Log.WithField("version", w.Version).Info("newest configuration known")
	}
}
