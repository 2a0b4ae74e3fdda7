package prompter

import (
	"context"
	"slices"
	"time"

	"gingerlead/internal/mesh/promptbook"
	"gingerlead/internal/mesh/script"
	"gingerlead/internal/mesh/trunk"

	"github.com/gravitational/trace"
)

// disk is where a voter's record is.
type disk interface {
	Get(key string) ([]byte, error)
	Put(key string, data []byte) error
	Close() error
}

func openTrunk(folder string) (disk, error) {
	t, err := trunk.Open(folder)
	return t, trace.Wrap(err)
}

// The records on disk.
const (
	standingKey = "standing"
	voteKey     = "vote"
)

// job is something for the keeper: a request, or a record that an amnesiac got back.
type job struct {
	ctx     context.Context
	request *promptbook.Request
	record  *promptbook.Record
	done    chan result
}

type result struct {
	reply *promptbook.Reply
	err   error
}

// do hands a job to the keeper and waits for it.
func (d *Desk) do(ctx context.Context, j *job) (*promptbook.Reply, error) {
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

// keeper has the record, and is alone with the disk.
//
// Standing and vote are written on their own, as a promise would otherwise write the whole configuration. After a write that
// failed the disk may hold the old part or the new one. To go on with the old one in memory would be wrong: if the voter
// promised a higher ballot without telling of a vote that is on disk, and found that vote at its next start, a reader
// could take it for committed. So both parts are read again, and written again, before anything else is answered.
type keeper struct {
	d      *Desk
	disk   disk
	loaded bool // record is what is on disk
	record promptbook.Record
	lost   bool // an amnesiac, which is recovering
}

func (k *keeper) run() {
	defer func() {
		if k.disk != nil {
			_ = k.disk.Close() // all that counts was written through
		}
	}()
	pause := pauseMin
	for k.load() != nil {
		if k.d.pause(k.d.ctx, &pause) != nil {
			return
		}
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

func (k *keeper) handle(j *job) (*promptbook.Reply, error) {
	if !k.loaded {
		if err := k.load(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if j.record != nil {
		if !k.lost {
			return nil, trace.AlreadyExists("the record is here")
		}
		if err := k.replace(j.record); err != nil {
			return nil, trace.Wrap(err)
		}
		k.lost = false
		k.adopt(*j.record)
		return nil, nil
	}
	if k.lost {
		return &promptbook.Reply{Outcome: promptbook.Unfit, Ballot: j.request.Ballot}, nil
	}
	if j.request.Kind == promptbook.Commit {
		if v := k.record.Vote; v.Ballot == j.request.Ballot {
			k.d.learn(v)
		}
		return &promptbook.Reply{Outcome: promptbook.Told}, nil
	}
	reply, next, changed := k.record.Handle(j.request)
	if err := k.save(&next, changed); err != nil {
		return nil, trace.Wrap(err)
	}
	k.record = next
	return &reply, nil
}

// adopt takes a record that is on disk.
func (k *keeper) adopt(r promptbook.Record) {
	k.record, k.loaded = r, true
	k.d.setVoters(r.Standing.Voters)
	k.d.see(r.Standing.Promised)
	k.d.see(r.Vote.Ballot)
}

func (k *keeper) put(key string, m script.Message) error {
	if err := k.disk.Put(key, script.Write(nil, m)); err != nil {
		k.loaded = false // and what is on disk may be either
		return trace.Wrap(err)
	}
	return nil
}

func (k *keeper) save(r *promptbook.Record, changed promptbook.Changed) error {
	if changed.Vote {
		if err := k.put(voteKey, &r.Vote); err != nil {
			return trace.Wrap(err)
		}
	}
	if changed.Standing {
		return trace.Wrap(k.put(standingKey, &r.Standing))
	}
	return nil
}

// replace writes a whole record over whatever is left of an old one. Until it is whole it isn't fit.
func (k *keeper) replace(r *promptbook.Record) error {
	unfit := r.Standing
	unfit.Fit = false
	if err := k.put(standingKey, &unfit); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(k.save(r, promptbook.Changed{Vote: true, Standing: true}))
}

func (k *keeper) get(key string, m script.Message) error {
	data, err := k.disk.Get(key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := script.Read(data, m); err != nil {
		return trace.CompareFailed("record %q: %v", key, err)
	}
	return nil
}

// load reads the record, and writes it again: after a failed write what is read need not be on the disk itself. A record
// that is missing or spoilt makes an amnesiac, except at the first start.
func (k *keeper) load() error {
	if k.disk == nil {
		disk, err := k.d.o.open(k.d.o.Folder)
		if err != nil {
			k.d.o.Log.WithError(err).Warn("the disk can't be opened")
			return trace.Wrap(err)
		}
		k.disk = disk
	}
	var r promptbook.Record
	standing, vote := k.get(standingKey, &r.Standing), k.get(voteKey, &r.Vote)
	for _, err := range []error{standing, vote} {
		if err != nil && !trace.IsNotFound(err) && !trace.IsCompareFailed(err) {
			return trace.Wrap(err)
		}
	}
	self := slices.Contains(r.Standing.Voters, k.d.o.Self)
	switch {
	case trace.IsNotFound(standing) && trace.IsNotFound(vote) && k.d.o.InitialStart && !k.lost:
		first := promptbook.FirstRecord(k.d.o.Self, k.d.firstVoters())
		if err := k.save(&first, promptbook.Changed{Standing: true}); err != nil {
			return trace.Wrap(err)
		}
		k.adopt(first)
	case standing != nil || trace.IsCompareFailed(vote) || self && !r.Standing.Fit:
		if !k.lost {
			k.lost = true
			k.d.o.Log.WithField("standing", standing).WithField("vote", vote).Warn("the voter's record is lost")
			k.d.wg.Go(k.d.recover)
		}
		k.loaded = true // as far as there is anything
	default:
		if err := k.save(&r, promptbook.Changed{Vote: true, Standing: true}); err != nil {
			return trace.Wrap(err)
		}
		k.adopt(r)
	}
	return nil
}

// recover gets the record of an amnesiac back: the voters' list from any peer, then what the others promised and accepted.
func (d *Desk) recover() {
	pause := recoverDelay
	life := uint64(2)
	for ; d.ctx.Err() == nil; _ = d.pause(d.ctx, &pause) {
		voters := d.Voters()
		if len(voters) == 0 {
			d.introduce()
			continue
		}
		record := promptbook.Record{Standing: promptbook.Standing{Voters: voters}}
		ok := true
		if slices.Contains(voters, d.o.Self) {
			record, ok, life = d.gather(voters, life)
		}
		if !ok {
			continue
		}
		if _, err := d.do(d.ctx, &job{record: &record}); err == nil || trace.IsAlreadyExists(err) {
			d.o.Log.WithField("life", record.Standing.Life).Info("the voter's record is back")
			return
		}
	}
}

// introduce asks the seeds for the voters' list.
func (d *Desk) introduce() {
	seeds := slices.DeleteFunc(slices.Clone(d.o.Seeds), func(s string) bool { return s == d.o.Self })
	answers := d.broadcast(seeds, &promptbook.Request{Kind: promptbook.Introduce})
	for range seeds {
		select {
		case a := <-answers:
			if a.reply != nil && len(a.reply.Voters) > 0 {
				d.setVoters(a.reply.Voters)
				return
			}
		case <-d.ctx.Done():
			return
		}
	}
}

// gather is one attempt to recover; it tells the life for another one.
func (d *Desk) gather(voters []string, life uint64) (promptbook.Record, bool, uint64) {
	others := slices.DeleteFunc(slices.Clone(voters), func(s string) bool { return s == d.o.Self })
	y, q := promptbook.NewRecovery(d.o.Self, voters, life)
	answers := d.broadcast(others, q)
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	for range others {
		select {
		case a := <-answers:
			if a.reply == nil {
				continue
			}
			if record, ok := y.Step(a.node, a.reply); ok {
				return record, true, 0
			}
		case <-timer.C:
			return promptbook.Record{}, false, y.NextLife()
		}
	}
	return promptbook.Record{}, false, y.NextLife()
}
