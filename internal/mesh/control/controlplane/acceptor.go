package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
)

// maxQueuedJobs is how many jobs wait for the disk, at most; further ones are rejected.
const maxQueuedJobs = 64

// errRecordExists is the error of install if the acceptor has a record already.
var errRecordExists = &trace.AlreadyExistsError{Message: "the acceptor has a record already"}

// acceptor owns this process's record: what it promised and accepted. Only its goroutine (run) uses the record and the disk. Other
// goroutines submit jobs to it, and read a copy of its status.
//
// State and vote are written separately, as a promise would otherwise write the whole configuration. After a failed write the disk
// may hold the old part or the new one. The acceptor must not continue with the old part in memory: it could promise a higher
// ballot without reporting a vote that is on disk; if it found that vote at its next start, a reader could consider it committed.
// So both parts are read and written again before any other request is answered.
type acceptor struct {
	log            *logrus.Logger
	lifetime       *lifetime
	backoff        *backoff
	learner        *learner
	observeBallot  func(consensus.Ballot)
	startRecoverer func(diskIncarnation uint64, blankDisk bool) // starts a recovery, which installs a record later
	self           string
	initialStart   bool     // the whole system starts for the first time
	initialVoters  []string // of that start
	jobs           chan *acceptorJob

	// Only run uses these.
	disk            recordDisk
	record          consensus.Record
	loaded          bool   // what is on disk is known: record equals it, or needsRecord is set
	hadRecord       bool   // since the start of the process; if the disk is empty after that, it was lost
	needsRecord     bool   // the record is lost, or was never made: it must not vote
	blankDisk       bool   // with needsRecord: the disk was completely empty
	diskIncarnation uint64 // with needsRecord: of the recovery in progress

	mu        sync.Mutex
	published acceptorStatus
}

// acceptorStatus is the part of an acceptor's state that others may read without waiting for its disk.
type acceptorStatus struct {
	decidedEpoch  uint64    // of the voter set that the record on disk shows to be decided
	acceptedEpoch uint64    // of the voter set in the vote on disk
	ready         bool      // the record was complete at the last write
	readySince    time.Time // zero while it was never ready
}

// acceptorJob is work for the acceptor. Exactly one of request, recovered and decided is set.
type acceptorJob struct {
	ctx       context.Context
	request   *consensus.Request
	recovered *consensus.Record   // made by a recovery, to be installed
	decided   *consensus.VoterSet // decided, to be written to disk
	result    chan acceptorResult // has room for one result
}

type acceptorResult struct {
	reply *consensus.Reply
	err   error
}

// handle submits a request and returns the acceptor's reply, which may have to wait for the disk.
func (a *acceptor) handle(ctx context.Context, request *consensus.Request) (*consensus.Reply, error) {
	return a.submit(ctx, &acceptorJob{request: request})
}

// learnDecided submits a decided voter set and waits until it is on disk.
func (a *acceptor) learnDecided(ctx context.Context, voters consensus.VoterSet) error {
	_, err := a.submit(ctx, &acceptorJob{decided: &voters})
	return trace.Wrap(err)
}

// install submits the record that a recovery made and waits until it is on disk. The error is errRecordExists if the acceptor has
// one already.
func (a *acceptor) install(ctx context.Context, record consensus.Record) error {
	_, err := a.submit(ctx, &acceptorJob{recovered: &record})
	return trace.Wrap(err)
}

// submit hands a job to the acceptor's goroutine and waits for its result. The error is a trace.LimitExceeded if too many jobs wait.
func (a *acceptor) submit(ctx context.Context, job *acceptorJob) (*consensus.Reply, error) {
	job.ctx = ctx
	job.result = make(chan acceptorResult, 1)
	select {
	case a.jobs <- job:
	default:
		return nil, trace.LimitExceeded("the voter's disk: %d jobs wait already", maxQueuedJobs)
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

// status returns the acceptor's status as of its last write.
func (a *acceptor) status() acceptorStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.published
}

// run loads the record and processes jobs until ctx ends.
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

// do processes a job. After an error the record is read again before the next one.
func (a *acceptor) do(job *acceptorJob) (*consensus.Reply, error) {
	if !a.loaded {
		if err := a.load(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	switch {
	case job.recovered != nil:
		return nil, trace.Wrap(a.installRecovered(job.recovered))
	case a.needsRecord && job.decided != nil:
		return nil, nil // the recovery learns the newest voter set itself
	case a.needsRecord:
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

// notReady returns the reply of an acceptor without a record.
func (a *acceptor) notReady(request *consensus.Request) *consensus.Reply {
	return &consensus.Reply{Kind: consensus.NotReady, Ballot: request.Ballot, BlankDisk: a.blankDisk, DiskIncarnation: a.diskIncarnation}
}

// installRecovered writes a recovered record to disk and adopts it.
func (a *acceptor) installRecovered(record *consensus.Record) error {
	if !a.needsRecord {
		return trace.Wrap(errRecordExists)
	}
	if err := a.disk.replace(record); err != nil {
		return a.failedWrite(err)
	}
	a.needsRecord = false
	a.adopt(*record)
	return nil
}

// handleCommit learns the committed value, if it is that of the acceptor's vote, and the decided voter set.
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

// learnVoterSet writes a decided voter set to the record, if it is newer.
func (a *acceptor) learnVoterSet(voters consensus.VoterSet) error {
	next, changed := a.record.LearnVoters(voters)
	return trace.Wrap(a.persist(next, changed))
}

// persist writes the changed parts of the next record, and then makes it the current one.
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

// failedWrite has the record read again before the next job: the disk may hold the old record, the new one, or parts of both.
func (a *acceptor) failedWrite(err error) error {
	a.loaded = false
	return trace.Wrap(err)
}

// setRecord makes a record that is on disk the current one, and publishes its status.
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

// adopt makes a record that was read or recovered the current one, and passes its contents to the learner and the proposer.
func (a *acceptor) adopt(record consensus.Record) {
	a.setRecord(record)
	a.learner.learnSystem(record.State.System)
	a.learner.learnVoterSet(record.DecidedVoters())
	a.observeBallot(record.State.Promised)
	a.observeBallot(record.Vote.Ballot)
}
