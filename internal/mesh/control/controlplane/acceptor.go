package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
)

// maxQueuedJobs is how many requests wait for the disk at most; further ones are rejected.
const maxQueuedJobs = 64

// errRecordExists is the error of a recovery whose record is not needed any more.
var errRecordExists = &trace.AlreadyExistsError{Message: "the record is here"}

// acceptor is this process's vote. Its goroutine (run) alone has the record and uses the disk; others hand jobs to it and read a
// copy of its status.
//
// State and vote are written on their own, as a promise would otherwise write the whole configuration. After a write that failed
// the disk may hold the old part or the new one. To go on with the old one in memory would be wrong: if the acceptor promised a
// higher ballot without reporting a vote that is on disk, and found that vote at its next start, a reader could take it for
// committed. So both parts are read again, and written again, before anything else is answered.
type acceptor struct {
	log           *logrus.Logger
	lifetime      *lifetime
	backoff       *backoff
	learner       *learner
	observeBallot func(consensus.Ballot)
	makeRecord    func(diskIncarnation uint64, blankDisk bool) // a recovery: it returns at once and installs a record later
	self          string
	initialStart  bool     // of the whole system
	initialVoters []string // of the whole system
	jobs          chan *acceptorJob

	// Only run uses these.
	disk            recordDisk
	record          consensus.Record
	loaded          bool   // record is what is on disk
	hadRecord       bool   // since the start of the process: an empty disk is a lost one from then on
	lost            bool   // it must not vote: its record is gone, or was never made
	blankDisk       bool   // there was nothing on the disk when it was lost
	diskIncarnation uint64 // of the recovery that is under way

	mu        sync.Mutex
	published acceptorStatus
}

// acceptorStatus is what others may know of an acceptor without waiting for its disk.
type acceptorStatus struct {
	decidedEpoch  uint64    // of the voter set that the record on disk shows to be decided
	acceptedEpoch uint64    // of the voter set in the vote on disk
	ready         bool      // it knows what it promised, and may vote
	readySince    time.Time // zero while it was never ready
}

// acceptorJob is work for the acceptor: one of request, recovered and decided.
type acceptorJob struct {
	ctx       context.Context
	request   *consensus.Request
	recovered *consensus.Record   // was made by a recovery
	decided   *consensus.VoterSet // is known to be decided
	result    chan acceptorResult // has room for the result
}

type acceptorResult struct {
	reply *consensus.Reply
	err   error
}

// handle has the acceptor answer a request, which may have to be written to disk first.
func (a *acceptor) handle(ctx context.Context, request *consensus.Request) (*consensus.Reply, error) {
	return a.submit(ctx, &acceptorJob{request: request})
}

// learnDecided has the acceptor write down a voter set that is decided.
func (a *acceptor) learnDecided(ctx context.Context, voters consensus.VoterSet) error {
	_, err := a.submit(ctx, &acceptorJob{decided: &voters})
	return trace.Wrap(err)
}

// install has the acceptor go on with a record that a recovery made. errRecordExists says that it has one already.
func (a *acceptor) install(ctx context.Context, record consensus.Record) error {
	_, err := a.submit(ctx, &acceptorJob{recovered: &record})
	return trace.Wrap(err)
}

// submit hands a job to the acceptor and waits for its result. The error is a trace.LimitExceeded while too many jobs wait.
func (a *acceptor) submit(ctx context.Context, job *acceptorJob) (*consensus.Reply, error) {
	job.ctx = ctx
	job.result = make(chan acceptorResult, 1)
	select {
	case a.jobs <- job:
	default:
		return nil, trace.LimitExceeded("the disk is behind")
	}
	select {
	case result := <-job.result:
		return result.reply, trace.Wrap(result.err)
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case <-a.lifetime.ctx.Done():
		return nil, trace.Wrap(a.lifetime.ctx.Err())
	}
}

// status is the acceptor's state as of its last write.
func (a *acceptor) status() acceptorStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.published
}

// run loads the record and does jobs until ctx ends.
func (a *acceptor) run(ctx context.Context) {
	defer a.disk.close()
	if !a.loadUntilDone(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-a.jobs:
			if job.ctx.Err() != nil {
				continue // the caller gave up while the disk was slow
			}
			reply, err := a.do(job)
			if err != nil {
				a.log.WithError(err).Warn("the voter's record can't be kept")
			}
			job.result <- acceptorResult{reply, err}
		}
	}
}

// do does a job. After an error the record is read again before the next one.
func (a *acceptor) do(job *acceptorJob) (*consensus.Reply, error) {
	if !a.loaded {
		if err := a.load(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	switch {
	case job.recovered != nil:
		return nil, trace.Wrap(a.installRecovered(job.recovered))
	case a.lost && job.decided != nil:
		return nil, nil
	case a.lost:
		return a.notReady(job.request), nil
	case job.decided != nil:
		return nil, trace.Wrap(a.learnVoterSet(*job.decided))
	case job.request.Kind == consensus.Commit:
		return a.handleCommit(job.request)
	}
	reply, next, changed := a.record.Handle(job.request)
	if err := a.persist(next, changed); err != nil {
		return nil, trace.Wrap(err)
	}
	return &reply, nil
}

// notReady is the answer of an acceptor without a record.
func (a *acceptor) notReady(request *consensus.Request) *consensus.Reply {
	return &consensus.Reply{Kind: consensus.NotReady, Ballot: request.Ballot, BlankDisk: a.blankDisk, DiskIncarnation: a.diskIncarnation}
}

// installRecovered goes on with a record that was made anew, once it is on disk.
func (a *acceptor) installRecovered(record *consensus.Record) error {
	if !a.lost {
		return trace.Wrap(errRecordExists)
	}
	if err := a.disk.replace(record); err != nil {
		return a.failedWrite(err)
	}
	a.lost = false
	a.adopt(*record)
	return nil
}

// handleCommit learns that a value is committed and which voter set is decided.
func (a *acceptor) handleCommit(request *consensus.Request) (*consensus.Reply, error) {
	if vote := a.record.Vote; vote.Ballot == request.Ballot {
		a.learner.learnVote(vote)
		if err := a.learnVoterSet(vote.Value.VoterSet); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := a.learnVoterSet(request.VoterSet); err != nil {
		return nil, trace.Wrap(err)
	}
	return &consensus.Reply{Kind: consensus.Reported}, nil
}

// learnVoterSet notes in the record that a voter set is decided.
func (a *acceptor) learnVoterSet(voters consensus.VoterSet) error {
	next, changed := a.record.LearnVoters(voters)
	return trace.Wrap(a.persist(next, changed))
}

// persist writes what changed of the record, and goes on with it.
func (a *acceptor) persist(next consensus.Record, changed consensus.Unsynced) error {
	if !changed.Any() {
		return nil
	}
	if err := a.disk.save(&next, changed); err != nil {
		return a.failedWrite(err)
	}
	a.setRecord(next)
	return nil
}

// failedWrite notes that the disk may hold the record before the write, the one after, or parts of both.
func (a *acceptor) failedWrite(err error) error {
	a.loaded = false
	return trace.Wrap(err)
}

// setRecord goes on with a record that is on disk.
func (a *acceptor) setRecord(record consensus.Record) {
	a.record = record
	a.loaded = true
	a.hadRecord = true
	a.mu.Lock()
	defer a.mu.Unlock()
	if record.State.Ready && !a.published.ready {
		a.published.readySince = time.Now()
	}
	a.published.ready = record.State.Ready
	a.published.decidedEpoch = record.DecidedVoters().Epoch
	a.published.acceptedEpoch = record.Vote.Value.VoterSet.Epoch
}

// adopt goes on with a record that was read or made anew, and makes known what it says.
func (a *acceptor) adopt(record consensus.Record) {
	a.setRecord(record)
	a.learner.learnSystem(record.State.System)
	a.learner.learnVoterSet(record.DecidedVoters())
	a.observeBallot(record.State.Promised)
	a.observeBallot(record.Vote.Ballot)
}
