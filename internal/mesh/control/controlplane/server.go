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

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/control/consensus"
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

	openStore func(folder string) (recordStore, error) // a storage, except in tests
}

const (
	maxInitialVoters   = 3
	minPhaseTimeout    = 400 * time.Millisecond // how long one phase of a round waits for replies, at first
	maxPhaseTimeout    = time.Second
	rejectionMargin    = 20 * time.Millisecond
	minBackoff         = 10 * time.Millisecond
	maxBackoff         = 500 * time.Millisecond
	requestTimeout     = 2 * time.Second
	minRecoveryBackoff = 20 * time.Millisecond

	recoveryTimeout = 600 * time.Millisecond // for one attempt to read a record from others
)

// Server takes part in the agreement. Its replica's goroutine alone uses the disk; rounds run in the callers' goroutines.
type Server struct {
	options       Options
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	jobs          chan *acceptorJob
	proposerID    string        // for ballots: this process since its start
	startedAt     time.Time     // when this process started
	ballotSlot    chan struct{} // held by the one round of this process that may have a ballot
	commitUpdated chan struct{} // a newer value is committed

	mu             sync.Mutex
	rng            *rand.Rand
	voterSet       consensus.VoterSet // without voters while not known
	persistedEpoch uint64             // epoch of the membership on disk
	acceptedEpoch  uint64             // epoch of the vote on disk
	ready          bool               // knows what it promised
	seeds          []string           // as the settings are now
	highestBallot  uint64             // of all ballots that were seen
	committedVote  consensus.Vote     // newest whose ballot and value are known to be committed
	committed      consensus.Value

	systemID     consensus.SystemID     // 0 while not known
	readySince   time.Time              // since when this process may vote
	persisting   bool                   // a newer list is being written
	unresponsive []string               // voters that don't answer this process
	peers        []consensus.PeerStatus // of the other processes of the core
}

// Open starts a Server. The disk is opened in the background, however long it takes.
func Open(o Options) (*Server, error) {
	if o.Self == "" || o.Transport == nil || o.Log == nil {
		return nil, trace.BadParameter("a server needs its own name, a transport and a log")
	}
	if o.openStore == nil {
		o.openStore = openStorage
	}
	d := &Server{options: o, seeds: o.Seeds, startedAt: time.Now(), jobs: make(chan *acceptorJob, 64), ballotSlot: make(chan struct{}, 1), commitUpdated: make(chan struct{}, 1)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	life := uint64(time.Now().UnixNano())
	d.rng = rand.New(rand.NewPCG(o.Seed, life))
	d.proposerID = fmt.Sprintf("%s#%x", o.Self, d.rng.Uint64())
	k := &acceptor{server: d}
	for _, f := range []func(){k.run, d.notifyCommitted, d.logLatest, d.runVoterManager} {
		d.wg.Go(f)
	}
	return d, nil
}

// Close ends the server's goroutines; it waits for the disk.
func (d *Server) Close() {
	d.cancel()
	d.wg.Wait()
}

// firstVoters are the voters at the first start.
func (d *Server) firstVoters() []string {
	seeds := slices.Clone(d.options.Seeds)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	return seeds[:min(len(seeds), maxInitialVoters)]
}

// Voters are the processes that vote, by their control addresses; none while this process does not know.
func (d *Server) Voters() []string { return d.VoterSet().Voters }

// VoterSet is the newest list of voters that this process knows as decided.
func (d *Server) VoterSet() consensus.VoterSet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.voterSet
}

// Accepted is the epoch of the newest vote of this process; ready is false while its record isn't read from disk, or is lost.
func (d *Server) Accepted() (epoch uint64, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acceptedEpoch, d.ready
}

func (d *Server) adoptVoterSet(e consensus.VoterSet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setVoterSet(e)
}

// setVoterSet notes a membership that is decided. The lock is held.
func (d *Server) setVoterSet(e consensus.VoterSet) {
	if len(e.Voters) == 0 || len(d.voterSet.Voters) > 0 && e.Epoch <= d.voterSet.Epoch {
		return
	}
	d.voterSet = e
	if e.Epoch > 0 {
		d.options.Log.WithField("epoch", e.Epoch).WithField("voters", e.Voters).Info("voters")
	}
}

// observeBallot notes a ballot, so that the next one of this process is above it.
func (d *Server) observeBallot(b consensus.Ballot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highestBallot = max(d.highestBallot, b.Number)
}

func (d *Server) nextBallot() consensus.Ballot {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highestBallot++
	return consensus.Ballot{Number: d.highestBallot, Proposer: d.proposerID}
}

func (d *Server) newestCommittedVote() consensus.Vote {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.committedVote
}

// Committed is the newest value that this process knows is committed, if there is any. Newer ones may be committed already.
func (d *Server) Committed() (consensus.Value, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.committed, d.committed.Version > 0
}

// LearnCommitted is told by another process that a value is committed.
func (d *Server) LearnCommitted(w consensus.Value) { d.learn(consensus.Vote{Value: w}) }

func (d *Server) learn(v consensus.Vote) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Ballot.Compare(d.committedVote.Ballot) > 0 {
		v.Learned = false
		d.committedVote = v
	}
	d.setVoterSet(v.Value.VoterSet)
	if v.Value.Version > d.committed.Version {
		d.committed = v.Value
		select {
		case d.commitUpdated <- struct{}{}:
		default: // it is told already, and takes the newest
		}
	}
}

// notifyCommitted calls OnCommit with newer versions only.
func (d *Server) notifyCommitted() {
	var told configuration.Version
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.commitUpdated:
		}
		w, _ := d.Committed()
		if w.Version > told && d.options.OnCommit != nil {
			told = w.Version
			d.options.OnCommit(w)
		}
	}
}
