// Package controlplane is a core process's part in the agreement on the configuration: a replica with its record on disk, rounds
// of proposals and reads, the recovery of a lost disk, changes of the voters, and the operators' calls over HTTP.
package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// Options are what a Server is opened with.
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
	OnCommit     func(w consensus.Value) // called by one goroutine, with newer values only

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

	recoverTimeout = 600 * time.Millisecond // for one attempt to read a record from others
)

// Server takes part in the agreement. Its replica's goroutine alone uses the disk; rounds run in the callers' goroutines.
type Server struct {
	o      Options
	ctx    context.Context
	end    context.CancelFunc
	wg     sync.WaitGroup
	jobs   chan *job
	node   string        // for ballots: this process since its start
	began  time.Time     // when this process started
	writer chan struct{} // held by the one round of this process that may have a ballot
	news   chan struct{} // a newer value is committed

	mu        sync.Mutex
	rng       *rand.Rand
	voters    consensus.VoterSet // without voters while not known
	kept      uint64             // epoch of the membership on disk
	accepted  uint64             // epoch of the vote on disk
	ready     bool               // knows what it promised
	seeds     []string           // as the settings are now
	highest   uint64             // of all ballots that were seen
	known     consensus.Vote     // newest whose ballot and value are known to be committed
	committed consensus.Value

	system     consensus.SystemID     // 0 while not known
	readySince time.Time              // since when this process may vote
	persisting bool                   // a newer list is being written
	silent     []string               // voters that don't answer this process
	presence   []consensus.PeerStatus // of the other processes of the core
}

// Open starts a Server. The disk is opened in the background, however long it takes.
func Open(o Options) (*Server, error) {
	if o.Self == "" || o.Transport == nil || o.Log == nil {
		return nil, trace.BadParameter("a server needs its own name, a transport and a log")
	}
	if o.open == nil {
		o.open = openStorage
	}
	d := &Server{o: o, seeds: o.Seeds, began: time.Now(), jobs: make(chan *job, 64), writer: make(chan struct{}, 1), news: make(chan struct{}, 1)}
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

// Close ends the server's goroutines; it waits for the disk.
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
func (d *Server) Membership() consensus.VoterSet {
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

func (d *Server) adoptMembership(e consensus.VoterSet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elect(e)
}

// elect notes a membership that is decided. The lock is held.
func (d *Server) elect(e consensus.VoterSet) {
	if len(e.Voters) == 0 || len(d.voters.Voters) > 0 && e.Epoch <= d.voters.Epoch {
		return
	}
	d.voters = e
	if e.Epoch > 0 {
		d.o.Log.WithField("epoch", e.Epoch).WithField("voters", e.Voters).Info("voters")
	}
}

// observeBallot notes a ballot, so that the next one of this process is above it.
func (d *Server) observeBallot(b consensus.Ballot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highest = max(d.highest, b.Number)
}

func (d *Server) nextBallot() consensus.Ballot {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highest++
	return consensus.Ballot{Number: d.highest, Proposer: d.node}
}

func (d *Server) knownVote() consensus.Vote {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Committed is the newest value that this process knows is committed, if there is any. Newer ones may be committed already.
func (d *Server) Committed() (consensus.Value, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.committed, d.committed.Version > 0
}

// Learn is told by another process that a value is committed.
func (d *Server) Learn(w consensus.Value) { d.learn(consensus.Vote{Value: w}) }

func (d *Server) learn(v consensus.Vote) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Ballot.Compare(d.known.Ballot) > 0 {
		v.Learned = false
		d.known = v
	}
	d.elect(v.Value.VoterSet)
	if v.Value.Version > d.committed.Version {
		d.committed = v.Value
		select {
		case d.news <- struct{}{}:
		default: // it is told already, and takes the newest
		}
	}
}

// announce calls OnCommit with newer versions only.
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
