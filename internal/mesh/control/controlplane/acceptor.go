package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
)

// maxQueuedJobs is the maximum number of jobs that wait for the disk; further jobs are rejected.
const maxQueuedJobs = 64

// errRecordExists is the error of install if the acceptor already has a record.
var errRecordExists = &trace.AlreadyExistsError{Message: "the acceptor has a record already"}

// acceptor owns this process's record: its promised ballot, its vote and the decided voter set. Only its goroutine (run) uses the record
// and the disk. Other goroutines submit jobs to it, and read a copy of its status.
//
// State and vote are written separately, because otherwise each promise would write the whole configuration. After a failed write the
// disk may hold the old part or the new one. The acceptor must not continue with the old part in memory: it could promise a higher
// ballot without reporting a vote that is on disk; if it found that vote at its next start, a reader could consider it committed.
// So both parts are read and written again before any other request is answered.
type acceptor struct {
	log            *logrus.Logger
	lifetime       *lifetime
	backoff        *backoff
	learner        *learner
	observeBallot  func(consensus.Ballot)
	startRecoverer func(diskIncarnation uint64, blankDisk bool) // starts a recovery in the background; it calls install
	self           string
	initialStart   bool     // whether the whole system starts for the first time
	initialVoters  []string // voters at the first start of the whole system
	jobs           chan *acceptorJob

	// Only the goroutine of run uses the following fields.
	disk            recordDisk
	record          consensus.Record
	loaded          bool   // whether the contents of the disk are known: record equals them, or needsRecord is true
	hadRecord       bool   // whether there was a record since the process started; an empty disk after that means a lost record
	needsRecord     bool   // whether the record is lost or was never created; the acceptor must not vote then
	blankDisk       bool   // whether the disk was completely empty; set only with needsRecord
	diskIncarnation uint64 // disk incarnation of the recovery in progress; set only with needsRecord

	mu        sync.Mutex
	published acceptorStatus
	health    diskHealth
}

// acceptorStatus is the part of an acceptor's state that other goroutines may read without waiting for the disk.
type acceptorStatus struct {
	decidedEpoch  uint64    // epoch of the newest voter set that is decided according to the record on disk
	acceptedEpoch uint64    // epoch of the voter set in the vote on disk
	complete      bool      // whether the record was ever complete on disk since the process started
	ready         bool      // whether the record is complete on disk, and the disk works
	readySince    time.Time // time since which ready is true; zero while it was never true
}

// acceptorJob is work for the acceptor. Exactly one of request, recovered, decided and verify is set.
type acceptorJob struct {
	ctx       context.Context
	request   *consensus.Request
	recovered *consensus.Record   // recovered record to install
	decided   *consensus.VoterSet // decided voter set to write to disk
	verify    bool                // whether to verify that the record is still there
	result    chan acceptorResult // channel of capacity one that receives the result
}

// acceptorResult is the result of an acceptorJob.
type acceptorResult struct {
	reply *consensus.Reply
	err   error
}

// handle submits a request and returns the acceptor's reply. It may wait for the disk, and fails as submit does.
func (a *acceptor) handle(ctx context.Context, request *consensus.Request) (*consensus.Reply, error) {
	return a.submit(ctx, &acceptorJob{request: request})
}

// learnDecided submits a decided voter set and waits until it is on disk. It fails as submit does.
func (a *acceptor) learnDecided(ctx context.Context, voters consensus.VoterSet) error {
	_, err := a.submit(ctx, &acceptorJob{decided: &voters})
	return trace.Wrap(err)
}

// install submits a recovered record and waits until it is on disk. The error is errRecordExists if the acceptor already has a record.
func (a *acceptor) install(ctx context.Context, record consensus.Record) error {
	_, err := a.submit(ctx, &acceptorJob{recovered: &record})
	return trace.Wrap(err)
}

// verify submits a check whether the record is still on disk, and waits for the result. It fails as submit does.
func (a *acceptor) verify(ctx context.Context) error {
	_, err := a.submit(ctx, &acceptorJob{verify: true})
	return trace.Wrap(err)
}

// submit passes a job to the acceptor's goroutine and waits for its result. The error is a trace.LimitExceeded if maxQueuedJobs jobs
// already wait, that of a context if ctx or the Server ends first, and otherwise that of the job.
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

// status returns the acceptor's status as of its last write. It is unready while the disk hangs or fails checks.
func (a *acceptor) status() acceptorStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.published
	status.ready = status.ready && a.health.works(time.Now())
	return status
}

// run loads the record, retrying until that succeeds, and then processes jobs until ctx ends.
func (a *acceptor) run(ctx context.Context) {
	defer a.disk.close()
	if !a.loadWithRetry(ctx) {
		return
	}
	probe := a.disk.store.Probe
	a.lifetime.start(func(ctx context.Context) { a.checkDisk(ctx, probe) })
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-a.jobs:
			if job.ctx.Err() != nil {
				continue // the caller has given up, for example because the disk was slow
			}
			reply, err := a.process(job)
			if err != nil && !job.verify {
				a.log.WithError(err).Warn("the acceptor failed to process a job")
			}
			job.result <- acceptorResult{reply, err}
		}
	}
}

// process executes a job. If the record is not loaded, as after a failed write, it first reads the record again.
func (a *acceptor) process(job *acceptorJob) (*consensus.Reply, error) {
	defer a.beginAccess()()
	if !a.loaded {
		if err := a.load(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	switch {
	case job.verify:
		return nil, trace.Wrap(a.verifyRecord())
	case job.recovered != nil:
		return nil, trace.Wrap(a.installRecovered(job.recovered))
	case a.needsRecord && job.decided != nil:
		return nil, nil // no write is needed: the recovery learns the newest voter set
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

// verifyRecord fails if the record was lost since it was written. The next job then reads the disk again.
func (a *acceptor) verifyRecord() error {
	if a.needsRecord {
		return nil
	}
	if err := a.disk.verify(); err != nil {
		return a.invalidateRecord(err)
	}
	return nil
}

// notReady returns the reply to a request while the acceptor has no record.
func (a *acceptor) notReady(request *consensus.Request) *consensus.Reply {
	return &consensus.Reply{Kind: consensus.NotReady, Ballot: request.Ballot, BlankDisk: a.blankDisk, DiskIncarnation: a.diskIncarnation}
}

// installRecovered writes a recovered record to disk and adopts it.
func (a *acceptor) installRecovered(record *consensus.Record) error {
	if !a.needsRecord {
		return trace.Wrap(errRecordExists)
	}
	if err := a.disk.replace(record); err != nil {
		return a.invalidateRecord(err)
	}
	a.needsRecord = false
	a.adopt(*record)
	return nil
}

// handleCommit learns the committed value if the acceptor's vote has the request's ballot, and learns the decided voter set.
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

// learnVoterSet writes a decided voter set to the record if it is newer than the one there.
func (a *acceptor) learnVoterSet(voters consensus.VoterSet) error {
	next, changed := a.record.LearnVoters(voters)
	return trace.Wrap(a.persist(next, changed))
}

// persist writes the changed parts of the next record to disk, and then makes it the current record.
func (a *acceptor) persist(next consensus.Record, changed consensus.Unsynced) error {
	if !changed.Any() {
		return nil
	}
	if err := a.disk.save(&next, changed); err != nil {
		return a.invalidateRecord(err)
	}
	a.setRecord(next)
	return nil
}

// invalidateRecord causes the record to be read again before the next job, and returns the error of the failed write: the disk may hold
// the old record, the new one, or parts of both. Until then the acceptor is not ready.
func (a *acceptor) invalidateRecord(err error) error {
	a.loaded = false
	a.publishUnready()
	return trace.Wrap(err)
}

// publishUnready publishes that the acceptor cannot vote.
func (a *acceptor) publishUnready() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.published.ready = false
}

// setRecord makes a record that is on disk the current one, and publishes the acceptor's new status.
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
	a.published.complete = a.published.complete || record.State.Ready
	a.published.decidedEpoch = record.DecidedVoters().Epoch
	a.published.acceptedEpoch = record.Vote.Value.VoterSet.Epoch
}

// adopt makes a record that was read, recovered or newly created the current one, and passes its contents to the learner and the
// proposer.
func (a *acceptor) adopt(record consensus.Record) {
	a.setRecord(record)
	a.learner.learnSystem(record.State.System)
	a.learner.learnVoterSet(record.DecidedVoters())
	a.observeBallot(record.State.Promised)
	a.observeBallot(record.Vote.Ballot)
}
