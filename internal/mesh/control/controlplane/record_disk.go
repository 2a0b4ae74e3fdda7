package controlplane

import (
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/transport/codec"
)

// The keys of the records in a process's folder. Folders of earlier versions have them: they never change.
const (
	stateKey = "standing" // consensus.ReplicaState
	voteKey  = "vote"     // consensus.Vote
	ownerKey = "owner"    // the name of the process whose records these are
)

// recordStore stores records by key. Put returns once the record is on disk. Errors are those of storage.Store.
type recordStore interface {
	Get(key string) ([]byte, error)
	Put(key string, data []byte) error
	Close() error
}

func openStorage(folder string) (recordStore, error) {
	store, err := storage.Open(folder)
	return store, trace.Wrap(err)
}

// recordDisk reads and writes an acceptor's record. It is not safe for concurrent use.
type recordDisk struct {
	self      string
	folder    string
	log       *logrus.Logger
	openStore func(folder string) (recordStore, error)
	store     recordStore // nil until open
}

// recordDamage holds, for each part of a record, why it could not be read: a trace.NotFound if it is missing, a trace.CompareFailed if
// it is corrupt, nil if it was read.
type recordDamage struct{ state, vote error }

// blank reports whether both parts are missing.
func (r recordDamage) blank() bool { return trace.IsNotFound(r.state) && trace.IsNotFound(r.vote) }

// open opens the folder, unless it is open, and claims it for this process.
func (r *recordDisk) open() error {
	if r.store == nil {
		store, err := r.openStore(r.folder)
		if err != nil {
			return trace.Wrap(err)
		}
		r.store = store
	}
	return trace.Wrap(r.claim())
}

// claim writes this process's name to the folder as its owner. If the folder belongs to another process, it does not change it and
// returns a trace.BadParameter: to vote with that process's records would count its votes twice.
func (r *recordDisk) claim() error {
	owner, err := r.store.Get(ownerKey)
	switch {
	case trace.IsNotFound(err) || trace.IsCompareFailed(err):
		return trace.Wrap(r.store.Put(ownerKey, []byte(r.self)))
	case err != nil:
		return trace.Wrap(err)
	case string(owner) != r.self:
		return trace.BadParameter("folder %s, record %q: the folder belongs to %s, this process is %s", r.folder, ownerKey, owner, r.self)
	}
	return nil
}

// read returns those parts of the record that are on disk and intact, and the damage of the others.
func (r *recordDisk) read() (consensus.Record, recordDamage, error) {
	var record consensus.Record
	damage := recordDamage{state: r.get(stateKey, &record.State), vote: r.get(voteKey, &record.Vote)}
	for _, err := range []error{damage.state, damage.vote} {
		if err != nil && !trace.IsNotFound(err) && !trace.IsCompareFailed(err) {
			return consensus.Record{}, recordDamage{}, trace.Wrap(err)
		}
	}
	return record, damage, nil
}

// get reads one part. The error is a trace.CompareFailed if it cannot be decoded.
func (r *recordDisk) get(key string, part codec.Message) error {
	data, err := r.store.Get(key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := codec.Unmarshal(data, part); err != nil {
		return trace.CompareFailed("folder %s, record %q: %v", r.folder, key, err)
	}
	return nil
}

// save writes the changed parts of a record, the vote first. If only the vote is written, its ballot counts as promised; if only the
// promise were written, the vote that was accepted with it would be forgotten.
func (r *recordDisk) save(record *consensus.Record, changed consensus.Unsynced) error {
	if changed.Vote {
		if err := r.put(voteKey, &record.Vote); err != nil {
			return trace.Wrap(err)
		}
	}
	if changed.State {
		return trace.Wrap(r.put(stateKey, &record.State))
	}
	return nil
}

// replace overwrites what is left of an old record with a complete new one. Until all of it is written, the state on disk is not ready.
func (r *recordDisk) replace(record *consensus.Record) error {
	unready := record.State
	unready.Ready = false
	if err := r.put(stateKey, &unready); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.save(record, consensus.Unsynced{Vote: true, State: true}))
}

func (r *recordDisk) put(key string, part codec.Message) error {
	return trace.Wrap(r.store.Put(key, codec.MarshalAppend(nil, part)))
}

// close closes the folder. Every record was synced when it was written, so an error is only logged.
func (r *recordDisk) close() {
	if r.store == nil {
		return
	}
	if err := r.store.Close(); err != nil {
		r.log.WithError(err).Debug("the folder was closed with an error")
	}
}
