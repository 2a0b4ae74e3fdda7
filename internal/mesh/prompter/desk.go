// Package prompter is a core process's part in the agreement on the operator's word: a voter's record on disk, if it is a
// voter, proposals and reads, and the operator's calls over HTTP.
package prompter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gingerlead/internal/mesh/playbill"
	"gingerlead/internal/mesh/promptbook"
	"gingerlead/internal/mesh/script"

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
	OnCommit     func(w promptbook.Word) // called by one goroutine, with newer words only

	open func(folder string) (disk, error) // a trunk, except in tests
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
type Desk struct {
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
	voters    promptbook.Electorate // without voters while not known
	kept      uint64                // epoch of the list on disk
	accepted  uint64                // epoch of the vote on disk
	fit       bool                  // knows what it promised
	seeds     []string              // by now
	highest   uint64                // of all ballots that were seen
	known     promptbook.Vote       // newest whose ballot and word are known to be committed
	committed promptbook.Word
}

// Open starts a Desk. The disk is opened in the background, however long it takes.
func Open(o Options) (*Desk, error) {
	if o.Self == "" || o.Transport == nil || o.Log == nil {
		return nil, trace.BadParameter("a desk needs its own name, a transport and a log")
	}
	if o.open == nil {
		o.open = openTrunk
	}
	d := &Desk{o: o, seeds: o.Seeds, jobs: make(chan *job, 64), writer: make(chan struct{}, 1), news: make(chan struct{}, 1)}
	d.ctx, d.end = context.WithCancel(context.Background())
	life := uint64(time.Now().UnixNano())
	d.rng = rand.New(rand.NewPCG(o.Seed, life))
	d.node = fmt.Sprintf("%s#%x", o.Self, d.rng.Uint64())
	k := &keeper{d: d}
	for _, f := range []func(){k.run, d.announce, d.settle, d.attend} {
		d.wg.Go(f)
	}
	return d, nil
}

// Close ends the Desk's goroutines; it waits for the disk.
func (d *Desk) Close() {
	d.end()
	d.wg.Wait()
}

// firstVoters are the voters at the first start.
func (d *Desk) firstVoters() []string {
	seeds := slices.Clone(d.o.Seeds)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	return seeds[:min(len(seeds), votersMax)]
}

// Voters are the processes that vote, by their control addresses; none while this process does not know.
func (d *Desk) Voters() []string { return d.Electorate().Voters }

// Electorate is the newest list of voters that this process knows as decided.
func (d *Desk) Electorate() promptbook.Electorate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.voters
}

// Accepted is the epoch of the newest vote of this process.
func (d *Desk) Accepted() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepted
}

func (d *Desk) setVoters(e promptbook.Electorate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elect(e)
}

// elect notes a list that is decided. The lock is held.
func (d *Desk) elect(e promptbook.Electorate) {
	if len(e.Voters) == 0 || len(d.voters.Voters) > 0 && e.Epoch <= d.voters.Epoch {
		return
	}
	d.voters = e
	if e.Epoch > 0 {
		d.o.Log.WithField("epoch", e.Epoch).WithField("voters", e.Voters).Info("voters")
	}
}

// see notes a ballot, so that the next one of this process is above it.
func (d *Desk) see(b promptbook.Ballot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highest = max(d.highest, b.N)
}

func (d *Desk) nextBallot() promptbook.Ballot {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highest++
	return promptbook.Ballot{N: d.highest, Node: d.node}
}

func (d *Desk) knownVote() promptbook.Vote {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Committed is the newest word that this process knows is committed, if there is any.
func (d *Desk) Committed() (promptbook.Word, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.committed, d.committed.Version > 0
}

// Learn is told by another process that a word is committed.
func (d *Desk) Learn(w promptbook.Word) { d.learn(promptbook.Vote{Word: w}) }

func (d *Desk) learn(v promptbook.Vote) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Ballot.Compare(d.known.Ballot) > 0 {
		v.Hearsay = false
		d.known = v
	}
	d.elect(v.Word.Electorate)
	if v.Word.Version > d.committed.Version {
		d.committed = v.Word
		select {
		case d.news <- struct{}{}:
		default: // it is told already, and takes the newest
		}
	}
}

// announce calls OnCommit.
func (d *Desk) announce() {
	var told playbill.Version
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
func (d *Desk) Serve(ctx context.Context, request []byte) ([]byte, error) {
	var q promptbook.Request
	if err := script.Read(request, &q); err != nil {
		return nil, trace.BadParameter("request: %v", err)
	}
	reply, err := d.serve(ctx, &q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return script.Write(nil, reply), nil
}

func (d *Desk) serve(ctx context.Context, q *promptbook.Request) (*promptbook.Reply, error) {
	d.see(q.Ballot)
	if q.Kind == promptbook.Introduce {
		d.mu.Lock()
		defer d.mu.Unlock()
		return &promptbook.Reply{Outcome: promptbook.Told, Electorate: d.voters, Fit: d.fit}, nil
	}
	return d.do(ctx, &job{request: q})
}

// ask asks a voter, which may be this process; raw is the request as it is sent.
func (d *Desk) ask(ctx context.Context, node string, q promptbook.Request, raw []byte) (*promptbook.Reply, error) {
	if node == d.o.Self {
		return d.serve(ctx, &q)
	}
	raw, err := d.o.Transport.Ask(ctx, node, raw)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var reply promptbook.Reply
	if err := script.Read(raw, &reply); err != nil {
		return nil, trace.BadParameter("reply of %s: %v", node, err)
	}
	return &reply, nil
}

type answer struct {
	node  string
	reply *promptbook.Reply // nil: none came
}

// broadcast asks all nodes; each of them answers once, sooner or later. What was sent stays on its way when the asker has
// enough answers, so that the others learn of it too.
func (d *Desk) broadcast(nodes []string, q *promptbook.Request) <-chan answer {
	answers := make(chan answer, len(nodes))
	raw, one := script.Write(nil, q), *q
	for _, node := range nodes {
		go func() { // ends with the desk
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
func (d *Desk) drive(ctx context.Context, r *promptbook.Round, q *promptbook.Request, patience time.Duration) {
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
				if a.reply.Outcome == promptbook.Nack && !hurried {
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
	d.see(r.Highest)
	if r.State == promptbook.Done || r.State == promptbook.Stale {
		d.learn(r.Vote())
		d.setVoters(r.Newer)
	}
}

// rounds plays rounds until one is done or the context ends. A read asks first, and needs a ballot only if the answers
// differ.
func (d *Desk) rounds(ctx context.Context, reading bool, change *promptbook.Change) (*promptbook.Round, error) {
	pause, patience := pauseMin, phaseMin
	asks := reading
	for ; ; patience = min(patience*3/2, phaseMax) {
		if e := d.Electorate(); len(e.Voters) > 0 {
			r, err := d.round(ctx, e, asks, change, patience)
			switch {
			case err != nil:
				return nil, trace.Wrap(err)
			case r.State == promptbook.Done:
				return r, nil
			case r.State == promptbook.Divided:
				asks = false
				continue
			case r.State == promptbook.Stale && d.Electorate().Epoch > e.Epoch:
				continue
			}
			asks = reading
		}
		if err := d.pause(ctx, &pause); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

func (d *Desk) round(ctx context.Context, e promptbook.Electorate, asks bool, change *promptbook.Change, patience time.Duration) (*promptbook.Round, error) {
	known := d.knownVote()
	if asks {
		r, q := promptbook.NewReading(e, known)
		d.drive(ctx, r, q, patience)
		return r, nil
	}
	select {
	case d.writer <- struct{}{}:
		defer func() { <-d.writer }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	r, q := promptbook.NewRound(e, d.nextBallot(), change, known)
	d.drive(ctx, r, q, patience)
	if v := r.Vote(); r.State == promptbook.Done || r.State == promptbook.Stale {
		d.broadcast(r.Nodes(), &promptbook.Request{Kind: promptbook.Commit, Ballot: v.Ballot})
	}
	return r, nil
}

// pause waits for a random time, which grows.
func (d *Desk) pause(ctx context.Context, pause *time.Duration) error {
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
func (d *Desk) Newest(ctx context.Context) (promptbook.Word, error) {
	r, err := d.rounds(ctx, true, nil)
	if err != nil {
		return promptbook.Word{}, trace.Wrap(err)
	}
	return r.Word, nil
}

// Outcome is what became of an operator's change.
type Outcome uint8

// Outcomes. What is Lost or Invalid never comes in force; what is Unclear may.
const (
	Unclear Outcome = iota
	Taken
	Lost
	Invalid
)

func (o Outcome) String() string { return [...]string{"unclear", "taken", "lost", "invalid"}[o] }

// Verdict is an outcome, with the reason if it isn't Taken.
type Verdict struct {
	Outcome Outcome
	Reason  error
}

// Replace puts a configuration in place of version base.
func (d *Desk) Replace(ctx context.Context, base playbill.Version, raw []byte) Verdict {
	config, err := playbill.Read(raw)
	if err != nil {
		return Verdict{Invalid, trace.Wrap(err)}
	}
	r, err := d.rounds(ctx, false, promptbook.NewChange(base, config.Version, raw))
	switch {
	case err != nil:
		return Verdict{Unclear, trace.Wrap(err)}
	case r.Verdict == promptbook.Taken:
		return Verdict{Outcome: Taken}
	}
	return Verdict{Lost, trace.CompareFailed("%v on %v: %v is in place", config.Version, base, r.Word.Version)}
}

// settle finds out which word is committed when the process starts.
func (d *Desk) settle() {
	w, err := d.Newest(d.ctx)
	if err == nil {
		d.o.Log.WithField("version", w.Version).Info("newest configuration known")
	}
}
