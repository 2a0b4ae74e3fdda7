package consensus

import (
	"maps"
	"slices"

	"quincegap/internal/mesh/transport/codec"
)

// RequestKind is what a request asks for.
type RequestKind uint8

// Kinds of requests.
const (
	ReadVote RequestKind = 1 + iota // what was accepted
	Prepare                         // a promise for Ballot
	Accept                          // acceptance of Value under Ballot
	Recover                         // what Node, which lost its disk, needs to begin Incarnation
	Describe                        // the membership; from any process that knows it
	Commit                          // the news that what was accepted under Ballot is committed; no answer is needed
)

// Request is what a proposer asks, or a replica that lost its disk.
type Request struct {
	Kind            RequestKind
	Ballot          Ballot
	KnownBallot     Ballot // the asker has the value of this ballot, and the answer need not hold it
	Value           Value
	Node            string
	DiskIncarnation uint64
	Epoch           uint64   // of ReadVote, Prepare and Accept: of the proposer's membership
	VoterSet        VoterSet // the newest one that the sender knows as decided
	System          SystemID // of the sender
	Sender          string   // its name, for logs
}

// Fields implements codec.Message.
func (r *Request) Fields(v *codec.Visitor) {
	kind := uint64(r.Kind)
	v.Uint64(1, &kind)
	r.Kind = RequestKind(kind)
	v.Message(2, &r.Ballot)
	v.Message(3, &r.KnownBallot)
	v.Message(4, &r.Value)
	v.String(5, &r.Node)
	v.Uint64(6, &r.DiskIncarnation)
	v.Uint64(7, &r.Epoch)
	v.Message(8, &r.VoterSet)
	v.Fixed64(9, (*uint64)(&r.System))
	v.String(10, &r.Sender)
}

// ReplyKind is how a request was answered.
type ReplyKind uint8

// Kinds of replies.
const (
	NotReady ReplyKind = iota // not a voter, or one that has to recover first
	Reported                  // to ReadVote, Recover, Describe and Commit
	Promise
	Accepted
	Rejected          // Promised is higher; to Recover: an incarnation as high was seen
	StaleEpoch        // a newer epoch is decided: Membership
	ConflictingVoters // the request names another list for an epoch whose list is known here: Membership
	ForeignSystem     // the sender belongs to another system: System
)

// Reply is the answer to a request. Ballot is that of the request, Promised and Vote are the voter's own. Membership is the
// newest that the voter knows as decided; it is told where it matters.
type Reply struct {
	Kind             ReplyKind
	Ballot           Ballot
	DiskIncarnation  uint64
	DiskIncarnations DiskIncarnations
	Promised         Ballot
	Vote             Vote

	VoterSet     VoterSet
	Ready        bool // to Describe: may be made a voter
	BlankDisk    bool // NotReady because there was nothing on its disk at all
	System       SystemID
	Unresponsive []string // to Describe: voters that have not answered this one for ReplaceDelay
}

// Fields implements codec.Message.
func (r *Reply) Fields(v *codec.Visitor) {
	kind := uint64(r.Kind)
	v.Uint64(1, &kind)
	r.Kind = ReplyKind(kind)
	v.Message(2, &r.Ballot)
	v.Uint64(3, &r.DiskIncarnation)
	r.DiskIncarnations.fields(v)
	v.Message(5, &r.Promised)
	v.Message(6, &r.Vote)
	v.Message(8, &r.VoterSet)
	v.Bool(9, &r.Ready)
	v.Bool(10, &r.BlankDisk)
	v.Strings(11, &r.Unresponsive)
	v.Fixed64(12, (*uint64)(&r.System))
}

// CommittedVote is a value that was accepted under a ballot. A Learned one was not accepted by the voter that has it: that voter lost
// its disk, or is new, and read it from others. It may not be forgotten, and does not count towards a majority.
type Vote struct {
	Ballot  Ballot
	Value   Value
	Learned bool
}

// Fields implements codec.Message.
func (v *Vote) Fields(visitor *codec.Visitor) {
	visitor.Message(1, &v.Ballot)
	visitor.Message(2, &v.Value)
	visitor.Bool(3, &v.Learned)
}

// DiskIncarnations are, by voter, the newest incarnation that a replica was told of. A voter begins one when it lost its disk.
type DiskIncarnations map[string]uint64

// maxDiskIncarnations bounds how many a replica remembers. An entry matters to rounds under the epoch in which it was told, and the
// one after: so many machines are not replaced within two epochs.
const maxDiskIncarnations = 128

// prune drops the lowest, which as a rule are the oldest, of those that need not be kept.
func (d DiskIncarnations) prune(keep func(node string) bool) {
	for len(d) > maxDiskIncarnations {
		drop := ""
		for node, incarnation := range d {
			if !keep(node) && (drop == "" || incarnation < d[drop] || incarnation == d[drop] && node < drop) {
				drop = node
			}
		}
		if drop == "" {
			return
		}
		delete(d, drop)
	}
}

type diskIncarnation struct {
	node   string
	number uint64
}

func (d *diskIncarnation) Fields(v *codec.Visitor) {
	v.String(1, &d.node)
	v.Uint64(2, &d.number)
}

func (d *DiskIncarnations) fields(v *codec.Visitor) {
	var list []diskIncarnation
	for _, node := range slices.Sorted(maps.Keys(*d)) {
		list = append(list, diskIncarnation{node, (*d)[node]})
	}
	codec.Messages(v, 4, &list)
	if v.Reading() && len(list) > 0 {
		*d = DiskIncarnations{}
		for _, one := range list {
			(*d)[one.node] = one.number
		}
	}
}
