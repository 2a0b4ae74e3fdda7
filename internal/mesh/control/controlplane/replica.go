package controlplane

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/transport/codec"
)

// store is where a voter's record is.
type recordStore interface {
	Get(key string) ([]byte, error)
	Put(key string, data []byte) error
	Close() error
}

func openStorage(folder string) (recordStore, error) {
	t, err := storage.Open(folder)
	return t, trace.Wrap(err)
}

// The records on disk.
const (
	stateKey = "standing" // consensus.ReplicaState
	voteKey  = "vote"     // consensus.Vote
	ownerKey = "owner"    // the process whose records these are
)

// acceptorJob is something for the replica: one of request, record and decided.
type acceptorJob struct {
	ctx       context.Context
	request   *consensus.Request
	recovered *consensus.Record   // that was made anew by a recovery
	decided   *consensus.VoterSet // is known as decided
	result    chan acceptorResult
}

type acceptorResult struct {
	reply *consensus.Reply
	err   error
}

// submit hands a job to the replica and waits for it.
func (d *Server) submit(ctx context.Context, j *acceptorJob) (*consensus.Reply, error) {
	j.ctx, j.result = ctx, make(chan acceptorResult, 1)
	select {
	case d.jobs <- j:
	default:
		return nil, trace.LimitExceeded("the disk is behind")
	}
	select {
	case r := <-j.result:
		return r.reply, trace.Wrap(r.err)
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case <-d.ctx.Done():
		return nil, trace.Wrap(d.ctx.Err())
	}
}

// acceptor has the record, and alone uses the disk. One goroutine runs it.
//
// State and vote are written on their own, as a promise would otherwise write the whole configuration. After a write that
// failed the disk may hold the old part or the new one. To go on with the old one in memory would be wrong: if the replica
// promised a higher ballot without telling of a vote that is on disk, and found that vote at its next start, a reader
// could take it for committed. So both parts are read again, and written again, before anything else is answered.
type acceptor struct {
	server          *Server
	store           recordStore
	hadRecord       bool // the record was there once, so that an empty disk is a lost one
	loaded          bool // record is what is on disk
	record          consensus.Record
	lost            bool   // it must not vote: its record is gone, or was never made
	blankDisk       bool   // when it was lost there was nothing on the disk
	diskIncarnation uint64 // of the attempt to recover
}

func (a *acceptor) run() {
	defer func() {
		if a.store != nil {
			_ = a.store.Close() // all that counts was written through
		}
	}()
	if !a.loadUntilDone() {
		return
	}
	for {
		select {
		case <-a.server.ctx.Done():
			return
		case j := <-a.server.jobs:
			if j.ctx.Err() != nil {
				continue // who asked has gone while the disk was slow
			}
			reply, err := a.handle(j)
			if err != nil {
				a.server.options.Log.WithError(err).Warn("the voter's record can't be kept")
			}
			j.result <- acceptorResult{reply, err}
		}
	}
}

// loadUntilDone loads the record for the first time, however long it takes. It logs why it can't, once for each reason. It returns false
// if the server ends before.
func (a *acceptor) loadUntilDone() bool {
	pause, logged := minBackoff, ""
	for {
		err := a.load()
		if err == nil {
			return true
		}
		if reason := err.Error(); reason != logged {
			a.server.options.Log.WithError(err).Warn("the replica's record can't be read")
			logged = reason
		}
		if a.server.backOff(a.server.ctx, &pause) != nil {
			return false
		}
	}
}

func (a *acceptor) handle(j *acceptorJob) (*consensus.Reply, error) {
	if !a.loaded {
		if err := a.load(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	switch {
	case j.recovered != nil:
		return nil, trace.Wrap(a.installRecovered(j.recovered))
	case a.lost && j.decided != nil:
		return nil, nil
	case a.lost:
		return &consensus.Reply{Kind: consensus.NotReady, Ballot: j.request.Ballot, BlankDisk: a.blankDisk, DiskIncarnation: a.diskIncarnation}, nil
	case j.decided != nil:
		return nil, trace.Wrap(a.learnVoterSet(*j.decided))
	case j.request.Kind == consensus.Commit:
		return a.handleCommit(j.request)
	}
	reply, next, changed := a.record.Handle(j.request)
	if err := a.persist(next, changed); err != nil {
		return nil, trace.Wrap(err)
	}
	return &reply, nil
}

// installRecovered goes on with a record that was made anew.
func (a *acceptor) installRecovered(r *consensus.Record) error {
	if !a.lost {
		return trace.AlreadyExists("the record is here")
	}
	if err := a.replace(r); err != nil {
		return trace.Wrap(err)
	}
	a.lost = false
	a.adopt(*r)
	return nil
}

// handleCommit takes the news that a value is committed, and which membership is decided.
func (a *acceptor) handleCommit(q *consensus.Request) (*consensus.Reply, error) {
	if v := a.record.Vote; v.Ballot == q.Ballot {
		a.server.learn(v)
		if err := a.learnVoterSet(v.Value.VoterSet); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := a.learnVoterSet(q.VoterSet); err != nil {
		return nil, trace.Wrap(err)
	}
	return &consensus.Reply{Kind: consensus.Reported}, nil
}

func (a *acceptor) learnVoterSet(e consensus.VoterSet) error {
	next, changed := a.record.LearnVoters(e)
	return trace.Wrap(a.persist(next, changed))
}

// persist writes what changed of a record, and goes on with it.
func (a *acceptor) persist(next consensus.Record, changed consensus.Unsynced) error {
	if !changed.Any() {
		return nil
	}
	if err := a.save(&next, changed); err != nil {
		return trace.Wrap(err)
	}
	a.setRecord(next)
	return nil
}

// setRecord goes on with a record that is on disk.
func (a *acceptor) setRecord(r consensus.Record) {
	a.record, a.loaded, a.hadRecord = r, true, true
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	if r.State.Ready && !a.server.ready {
		a.server.readySince = time.Now()
	}
	a.server.persistedEpoch, a.server.acceptedEpoch, a.server.ready = r.DecidedVoters().Epoch, r.Vote.Value.VoterSet.Epoch, r.State.Ready
}

// adopt takes a record that is on disk.
func (a *acceptor) adopt(r consensus.Record) {
	a.setRecord(r)
	a.server.adoptSystemID(r.State.System)
	a.server.adoptVoterSet(r.DecidedVoters())
	a.server.observeBallot(r.State.Promised)
	a.server.observeBallot(r.Vote.Ballot)
}

func (a *acceptor) put(key string, m codec.Message) error {
	if err := a.store.Put(key, codec.MarshalAppend(nil, m)); err != nil {
		a.loaded = false // and what is on disk may be either
		return trace.Wrap(err)
	}
	return nil
}

func (a *acceptor) save(r *consensus.Record, changed consensus.Unsynced) error {
	if changed.Vote {
		if err := a.put(voteKey, &r.Vote); err != nil {
			return trace.Wrap(err)
		}
	}
	if changed.State {
		return trace.Wrap(a.put(stateKey, &r.State))
	}
	return nil
}

// replace writes a whole record over whatever is left of an old one. Until it is whole it isn't ready.
func (a *acceptor) replace(r *consensus.Record) error {
	unready := r.State
	unready.Ready = false
	if err := a.put(stateKey, &unready); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.save(r, consensus.Unsynced{Vote: true, State: true}))
}

func (a *acceptor) get(key string, m codec.Message) error {
	data, err := a.store.Get(key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := codec.Unmarshal(data, m); err != nil {
		return trace.CompareFailed("folder %s, record %q: %v", a.server.options.Folder, key, err)
	}
	return nil
}

// load reads the record, and writes it again: after a failed write what is read need not be on the disk itself. A record that is
// missing or spoilt makes a replica that lost its disk, except at the first start. A record of a later format, and a folder of
// another process, are errors: nothing is written there.
func (a *acceptor) load() error {
	if a.store == nil {
		disk, err := a.server.options.openStore(a.server.options.Folder)
		if err != nil {
			return trace.Wrap(err)
		}
		a.store = disk
	}
	if err := a.claimFolder(); err != nil {
		return trace.Wrap(err)
	}
	var r consensus.Record
	standing, vote := a.get(stateKey, &r.State), a.get(voteKey, &r.Vote)
	for _, err := range []error{standing, vote} {
		if err != nil && !trace.IsNotFound(err) && !trace.IsCompareFailed(err) {
			return trace.Wrap(err)
		}
	}
	fresh := trace.IsNotFound(standing) && trace.IsNotFound(vote)
	switch {
	case fresh && a.server.options.InitialStart && !a.hadRecord && !a.lost:
		first := consensus.InitialRecord(a.server.options.Self, a.server.firstVoters())
		if !first.State.Ready {
			a.server.adoptSystemID(first.State.System)
			a.server.adoptVoterSet(first.State.VoterSet)
			a.startRecovery(false)
			return nil
		}
		if err := a.save(&first, consensus.Unsynced{State: true}); err != nil {
			return trace.Wrap(err)
		}
		a.adopt(first)
	case standing != nil || trace.IsCompareFailed(vote) || !r.State.Ready:
		if !a.lost {
			a.server.options.Log.WithField("standing", standing).WithField("vote", vote).Warn("there is no voter's record")
		}
		a.server.adoptVoterSet(r.DecidedVoters())
		a.startRecovery(fresh)
	default:
		if r.State.System == 0 && r.DecidedVoters().Epoch == 0 { // written by a version that had none
			r.State.System = consensus.NewSystemID(r.State.Voters)
		}
		if err := a.save(&r, consensus.Unsynced{Vote: true, State: true}); err != nil {
			return trace.Wrap(err)
		}
		a.adopt(r)
	}
	return nil
}

// claimFolder notes on the disk which process its records belong to. A folder of another process is an error, and stays as it is: to vote
// with its records would count that process's votes twice.
func (a *acceptor) claimFolder() error {
	owner, err := a.store.Get(ownerKey)
	switch {
	case trace.IsNotFound(err) || trace.IsCompareFailed(err):
		return trace.Wrap(a.store.Put(ownerKey, []byte(a.server.options.Self)))
	case err != nil:
		return trace.Wrap(err)
	case string(owner) != a.server.options.Self:
		return trace.BadParameter("folder %s, record %q: the folder belongs to %s, this process is %s", a.server.options.Folder, ownerKey, owner, a.server.options.Self)
	}
	return nil
}

// startRecovery has the record made anew, or, for a process that never voted, made for the first time.
func (a *acceptor) startRecovery(blank bool) {
	a.loaded = true // as far as there is anything
	if a.lost {
		return
	}
	a.lost, a.blankDisk = true, blank
	a.diskIncarnation = uint64(time.Now().UnixNano())
	incarnation := a.diskIncarnation
	a.server.wg.Go(func() { a.server.recoverRecord(incarnation, blank) })
}
