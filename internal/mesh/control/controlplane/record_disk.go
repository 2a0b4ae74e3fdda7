package controlplane

import (
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/control/consensus"
	"quincegap/internal/mesh/control/storage"
	"quincegap/internal/mesh/transport/codec"
)

// The keys of the records in a process's folder. They never change, because folders of earlier versions use them.
const (
	stateKey = "standing" // key of the consensus.ReplicaState
	voteKey  = "vote"     // key of the consensus.Vote
	ownerKey = "owner"    // key of the name of the process that owns the records
)

// recordStore stores records by key. Put returns once the record is on disk. Its errors are of the same kinds as those of
// storage.Store.
type recordStore interface {
	Get(key string) ([]byte, error)
	Put(key string, data []byte) error
	Verify() error
	Probe() error // may be called during the other methods
	Close() error
}

// openStorage opens a store of package storage.
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
	store     recordStore // nil until open has succeeded
}

// recordDamage holds for each part of a record the error with which reading it failed: a trace.NotFound if the part is missing, a
// trace.CompareFailed if it is corrupt, and nil if it was read.
type recordDamage struct{ state, vote error }

// blank reports whether both parts are missing.
func (r recordDamage) blank() bool { return trace.IsNotFound(r.state) && trace.IsNotFound(r.vote) }

// open opens the folder if it is not open yet, and claims it for this process.
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

// claim writes this process's name to the folder as its owner. If the folder belongs to another process, claim leaves it unchanged and
// returns a trace.BadParameter: if this process voted with the records of another process, the votes of that process would count twice.
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

// verify fails if a part of the folder was removed, emptied or replaced since this process wrote to it.
func (r *recordDisk) verify() error {
	if err := r.store.Verify(); err != nil {
		return trace.Wrap(err)
	}
	if _, err := r.store.Get(stateKey); err != nil {
		return trace.Wrap(err)
	}
	owner, err := r.store.Get(ownerKey)
	if err != nil {
		return trace.Wrap(err)
	}
	if string(owner) != r.self {
		return trace.Wrap(r.claim()) // it fails, as the folder belongs to another process
	}
	return nil
}

// read returns the parts of the record that are on disk and intact, and for each other part why it could not be read. The error is that
// of the store if it is neither a trace.NotFound nor a trace.CompareFailed.
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

// get reads and decodes one part of the record. The error is a trace.NotFound if the part is missing, and a trace.CompareFailed if it is
// corrupt or cannot be decoded.
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

// save writes the changed parts of a record, the vote before the state. If only the vote reaches the disk, its ballot counts as promised.
// In the other order the disk could hold only the promise, and the vote that was accepted with it would be lost.
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

// replace overwrites the remains of an old record with a complete new one. Until all of it is written, the state on disk is not ready.
func (r *recordDisk) replace(record *consensus.Record) error {
	unready := record.State
	unready.Ready = false
	if err := r.put(stateKey, &unready); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.save(record, consensus.Unsynced{Vote: true, State: true}))
}

// put encodes and writes one part of the record.
func (r *recordDisk) put(key string, part codec.Message) error {
	return trace.Wrap(r.store.Put(key, codec.MarshalAppend(nil, part)))
}

// close closes the folder. An error is only logged, because every record was synced when it was written.
func (r *recordDisk) close() {
	if r.store == nil {
		return
	}
	if err := r.store.Close(); err != nil {
		r.log.WithError(err).Debug("failed to close the folder of the acceptor's record")
	}
}
