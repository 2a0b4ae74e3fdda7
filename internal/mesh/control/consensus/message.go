package consensus

import "quincegap/internal/mesh/transport/codec"

// RequestKind is the kind of a request. The numbers are part of the wire format.
type RequestKind uint8

// The kinds of requests.
const (
	ReadVote RequestKind = 1 + iota // report the vote; nothing changes
	Prepare                         // promise Ballot
	Accept                          // accept Value under Ballot
	Recover                         // report what Node, which has no record, needs to begin DiskIncarnation
	Describe                        // report the voter set; any process that knows it answers
	Commit                          // notification that the value accepted under Ballot is committed; needs no reply
)

// Request is sent by a proposer, or by a replica that recovers.
type Request struct {
	Kind            RequestKind
	Ballot          Ballot
	KnownBallot     Ballot   // the sender has the value of this ballot, and the reply may leave it out
	Value           Value    // Accept only
	Node            string   // Recover only: the sender
	DiskIncarnation uint64   // Recover only: the one that the sender begins
	Epoch           uint64   // of ReadVote, Prepare and Accept: the epoch of the round's voter set
	VoterSet        VoterSet // the newest one that the sender knows to be decided
	System          SystemID // of the sender
	Sender          string   // the sender's name, for logs
}

// Fields implements codec.Message.
func (r *Request) Fields(visitor *codec.Visitor) {
	kind := uint64(r.Kind)
	visitor.Uint64(1, &kind)
	r.Kind = RequestKind(kind)
	visitor.Message(2, &r.Ballot)
	visitor.Message(3, &r.KnownBallot)
	visitor.Message(4, &r.Value)
	visitor.String(5, &r.Node)
	visitor.Uint64(6, &r.DiskIncarnation)
	visitor.Uint64(7, &r.Epoch)
	visitor.Message(8, &r.VoterSet)
	visitor.Fixed64(9, (*uint64)(&r.System))
	visitor.String(10, &r.Sender)
}

// ReplyKind is how a request was answered. The numbers are part of the wire format.
type ReplyKind uint8

// The kinds of replies.
const (
	NotReady          ReplyKind = iota // not a voter, or one that has to recover first
	Reported                           // to ReadVote, Recover, Describe and Commit: done
	Promise                            // to Prepare: promised
	Accepted                           // to Accept: accepted
	Rejected                           // a higher ballot is Promised; to Recover: as high an incarnation was seen
	StaleEpoch                         // a newer epoch is decided: VoterSet
	ConflictingVoters                  // the request names other voters than VoterSet for the same epoch
	ForeignSystem                      // the sender belongs to another system than System
)

// Reply is the answer to a request. Which fields are set depends on Kind; an acceptor's replies always have Ballot.
type Reply struct {
	Kind             ReplyKind
	Ballot           Ballot           // of the request
	DiskIncarnation  uint64           // the voter's own
	DiskIncarnations DiskIncarnations // of other voters, as reported to this one
	Promised         Ballot           // the highest ballot that the voter promised
	Vote             Vote             // the voter's own; without its value if the request's KnownBallot is that of the vote

	VoterSet     VoterSet // the newest one that the voter knows to be decided
	Ready        bool     // to Describe: the sender may be made a voter
	BlankDisk    bool     // with NotReady: the disk was completely empty
	System       SystemID
	Unresponsive []string // to Describe: voters that have not answered the sender for ReplaceDelay
}

// Fields implements codec.Message.
func (r *Reply) Fields(visitor *codec.Visitor) {
	kind := uint64(r.Kind)
	visitor.Uint64(1, &kind)
	r.Kind = ReplyKind(kind)
	visitor.Message(2, &r.Ballot)
	visitor.Uint64(3, &r.DiskIncarnation)
	r.DiskIncarnations.fields(visitor) // field 4
	visitor.Message(5, &r.Promised)
	visitor.Message(6, &r.Vote)
	visitor.Message(8, &r.VoterSet)
	visitor.Bool(9, &r.Ready)
	visitor.Bool(10, &r.BlankDisk)
	visitor.Strings(11, &r.Unresponsive)
	visitor.Fixed64(12, (*uint64)(&r.System))
}
