package controlplane

import (
	"context"
	"time"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/transport/codec"

	"github.com/gravitational/trace"
)

// disk is where a voter's record is.
type disk interface {
	Get(key string) ([]byte, error)
	Put(key string, data []byte) error
	Close() error
}

func openStorage(folder string) (disk, error) {
	t, err := storage.Open(folder)
	return t, trace.Wrap(err)
}

// The records on disk.
const (
	standingKey = "standing" // consensus.ReplicaState
	voteKey     = "vote"     // consensus.Vote
	ownerKey    = "owner"    // the process whose records these are
)

// job is something for the replica: one of request, record and decided.
type job struct {
	ctx     context.Context
	request *consensus.Request
	record  *consensus.Record   // that was made anew by a recovery
	decided *consensus.VoterSet // is known as decided
	done    chan result
}

type result struct {
	reply *consensus.Reply
	err   error
}

// do hands a job to the replica and waits for it.
func (d *Server) do(ctx context.Context, j *job) (*consensus.Reply, error) {
	j.ctx, j.done = ctx, make(chan result, 1)
	select {
	case d.jobs <- j:
	default:
		return nil, trace.LimitExceeded("the disk is behind")
	}
	select {
	case r := <-j.done:
		return r.reply, trace.Wrap(r.err)
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case <-d.ctx.Done():
		return nil, trace.Wrap(d.ctx.Err())
	}
}

// replica has the record, and alone uses the disk. One goroutine runs it.
//
// State and vote are written on their own, as a promise would otherwise write the whole configuration. After a write that
// failed the disk may hold the old part or the new one. To go on with the old one in memory would be wrong: if the replica
// promised a higher ballot without telling of a vote that is on disk, and found that vote at its next start, a reader
// could take it for committed. So both parts are read again, and written again, before anything else is answered.
type replica struct {
	d           *Server
	disk        disk
	started     bool // the record was there once, so that an empty disk is a lost one
	loaded      bool // record is what is on disk
	record      consensus.Record
	lost        bool   // it must not vote: its record is gone, or was never made
	blank       bool   // when it was lost there was nothing on the disk
	incarnation uint64 // of the attempt to recover
}

func (k *replica) run() {
	defer func() {
		if k.disk != nil {
			_ = k.disk.Close() // all that counts was written through
		}
	}()
	if !k.begin() {
		return
	}
	for {
		select {
		case <-k.d.ctx.Done():
			return
		case j := <-k.d.jobs:
			if j.ctx.Err() != nil {
				continue // who asked has gone while the disk was slow
			}
			reply, err := k.handle(j)
			if err != nil {
				k.d.o.Log.WithError(err).Warn("the voter's record can't be kept")
			}
			j.done <- result{reply, err}
		}
	}
}

// begin loads the record for the first time, however long it takes. It logs why it can't, once for each reason. It returns false
// if the server ends before.
func (k *replica) begin() bool {
	pause, logged := pauseMin, ""
	for {
		err := k.load()
		if err == nil {
			return true
		}
		if reason := err.Error(); reason != logged {
			k.d.o.Log.WithError(err).Warn("the replica's record can't be read")
			logged = reason
		}
		if k.d.pause(k.d.ctx, &pause) != nil {
			return false
		}
	}
}

func (k *replica) handle(j *job) (*consensus.Reply, error) {
	if !k.loaded {
		if err := k.load(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	switch {
	case j.record != nil:
		return nil, trace.Wrap(k.recovered(j.record))
	case k.lost && j.decided != nil:
		return nil, nil
	case k.lost:
		return &consensus.Reply{Kind: consensus.NotReady, Ballot: j.request.Ballot, BlankDisk: k.blank, DiskIncarnation: k.incarnation}, nil
	case j.decided != nil:
		return nil, trace.Wrap(k.learnMembership(*j.decided))
	case j.request.Kind == consensus.Commit:
		return k.committed(j.request)
	}
	reply, next, changed := k.record.Handle(j.request)
	if err := k.persist(next, changed); err != nil {
		return nil, trace.Wrap(err)
	}
	return &reply, nil
}

// recovered goes on with a record that was made anew.
func (k *replica) recovered(r *consensus.Record) error {
	if !k.lost {
		return trace.AlreadyExists("the record is here")
	}
	if err := k.replace(r); err != nil {
		return trace.Wrap(err)
	}
	k.lost = false
	k.adopt(*r)
	return nil
}

// committed takes the news that a value is committed, and which membership is decided.
func (k *replica) committed(q *consensus.Request) (*consensus.Reply, error) {
	if v := k.record.Vote; v.Ballot == q.Ballot {
		k.d.learn(v)
		if err := k.learnMembership(v.Value.VoterSet); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := k.learnMembership(q.VoterSet); err != nil {
		return nil, trace.Wrap(err)
	}
	return &consensus.Reply{Kind: consensus.Reported}, nil
}

func (k *replica) learnMembership(e consensus.VoterSet) error {
	next, changed := k.record.LearnVoters(e)
	return trace.Wrap(k.persist(next, changed))
}

// persist writes what changed of a record, and goes on with it.
func (k *replica) persist(next consensus.Record, changed consensus.Unsynced) error {
	if !changed.Any() {
		return nil
	}
	if err := k.save(&next, changed); err != nil {
		return trace.Wrap(err)
	}
	k.setRecord(next)
	return nil
}

// setRecord goes on with a record that is on disk.
func (k *replica) setRecord(r consensus.Record) {
	k.record, k.loaded, k.started = r, true, true
	k.d.mu.Lock()
	defer k.d.mu.Unlock()
	if r.State.Ready && !k.d.ready {
		k.d.readySince = time.Now()
	}
	k.d.kept, k.d.accepted, k.d.ready = r.DecidedVoters().Epoch, r.Vote.Value.VoterSet.Epoch, r.State.Ready
}

// adopt takes a record that is on disk.
func (k *replica) adopt(r consensus.Record) {
	k.setRecord(r)
	k.d.adoptSystem(r.State.System)
	k.d.adoptMembership(r.DecidedVoters())
	k.d.observeBallot(r.State.Promised)
	k.d.observeBallot(r.Vote.Ballot)
}

func (k *replica) put(key string, m codec.Message) error {
	if err := k.disk.Put(key, codec.Write(nil, m)); err != nil {
		k.loaded = false // and what is on disk may be either
		return trace.Wrap(err)
	}
	return nil
}

func (k *replica) save(r *consensus.Record, changed consensus.Unsynced) error {
	if changed.Vote {
		if err := k.put(voteKey, &r.Vote); err != nil {
			return trace.Wrap(err)
		}
	}
	if changed.State {
		return trace.Wrap(k.put(standingKey, &r.State))
	}
	return nil
}

// replace writes a whole record over whatever is left of an old one. Until it is whole it isn't ready.
func (k *replica) replace(r *consensus.Record) error {
	unready := r.State
	unready.Ready = false
	if err := k.put(standingKey, &unready); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(k.save(r, consensus.Unsynced{Vote: true, State: true}))
}

func (k *replica) get(key string, m codec.Message) error {
	data, err := k.disk.Get(key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := codec.Read(data, m); err != nil {
		return trace.CompareFailed("folder %s, record %q: %v", k.d.o.Folder, key, err)
	}
	return nil
}

// load reads the record, and writes it again: after a failed write what is read need not be on the disk itself. A record that is
// missing or spoilt makes a replica that lost its disk, except at the first start. A record of a later format, and a folder of
// another process, are errors: nothing is written there.
func (k *replica) load() error {
	if k.disk == nil {
		disk, err := k.d.o.open(k.d.o.Folder)
		if err != nil {
			return trace.Wrap(err)
		}
		k.disk = disk
	}
	if err := k.own(); err != nil {
		return trace.Wrap(err)
	}
	var r consensus.Record
	standing, vote := k.get(standingKey, &r.State), k.get(voteKey, &r.Vote)
	for _, err := range []error{standing, vote} {
		if err != nil && !trace.IsNotFound(err) && !trace.IsCompareFailed(err) {
			return trace.Wrap(err)
		}
	}
	fresh := trace.IsNotFound(standing) && trace.IsNotFound(vote)
	switch {
	case fresh && k.d.o.InitialStart && !k.started && !k.lost:
		first := consensus.InitialRecord(k.d.o.Self, k.d.firstVoters())
		if !first.State.Ready {
			k.d.adoptSystem(first.State.System)
			k.d.adoptMembership(first.State.VoterSet)
			k.startRecovery(false)
			return nil
		}
		if err := k.save(&first, consensus.Unsynced{State: true}); err != nil {
			return trace.Wrap(err)
		}
		k.adopt(first)
	case standing != nil || trace.IsCompareFailed(vote) || !r.State.Ready:
		if !k.lost {
			k.d.o.Log.WithField("standing", standing).WithField("vote", vote).Warn("there is no voter's record")
		}
		k.d.adoptMembership(r.DecidedVoters())
		k.startRecovery(fresh)
	default:
		if r.State.System == 0 && r.DecidedVoters().Epoch == 0 { // written by a version that had none
			r.State.System = consensus.NewSystemID(r.State.Voters)
		}
		if err := k.save(&r, consensus.Unsynced{Vote: true, State: true}); err != nil {
			return trace.Wrap(err)
		}
		k.adopt(r)
	}
	return nil
}

// own notes on the disk which process its records belong to. A folder of another process is an error, and stays as it is: to vote
// with its records would count that process's votes twice.
func (k *replica) own() error {
	owner, err := k.disk.Get(ownerKey)
	switch {
	case trace.IsNotFound(err) || trace.IsCompareFailed(err):
		return trace.Wrap(k.disk.Put(ownerKey, []byte(k.d.o.Self)))
	case err != nil:
		return trace.Wrap(err)
	case string(owner) != k.d.o.Self:
		return trace.BadParameter("folder %s, record %q: the folder belongs to %s, this process is %s", k.d.o.Folder, ownerKey, owner, k.d.o.Self)
	}
	return nil
}

// startRecovery has the record made anew, or, for a process that never voted, made for the first time.
func (k *replica) startRecovery(blank bool) {
	k.loaded = true // as far as there is anything
	if k.lost {
		return
	}
	k.lost, k.blank = true, blank
	k.incarnation = uint64(time.Now().UnixNano())
	incarnation := k.incarnation
	k.d.wg.Go(func() { k.d.recover(incarnation, blank) })
}
