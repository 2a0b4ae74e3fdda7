package consensus

import "quincegap/internal/mesh/transport/codec"

// RequestKind is the kind of a request. The numbers are part of the wire format.
type RequestKind uint8

// The kinds of requests.
const (
	ReadVote RequestKind = 1 + iota // asks for the voter's vote, and changes nothing
	Prepare                         // asks for a promise of Ballot
	Accept                          // asks the voter to accept Value under Ballot
	Recover                         // asks for the state that Node, which has no record, needs to start DiskIncarnation
	Describe                        // asks for the voter set; any process that knows it answers
	Commit                          // notifies the voter that the value accepted under Ballot is committed; needs no reply
)

// Request is a message from a proposer, or from a recovering replica, to a voter.
type Request struct {
	Kind            RequestKind
	Ballot          Ballot
	KnownBallot     Ballot   // a ballot whose value the sender has, so that the reply may omit the value
	Value           Value    // the proposed value; set for Accept only
	Node            string   // the sender's name; set for Recover only
	DiskIncarnation uint64   // the disk incarnation that the sender starts; set for Recover only
	Epoch           uint64   // the epoch of the round's voter set; set for ReadVote, Prepare and Accept
	VoterSet        VoterSet // the newest voter set that the sender knows to be decided
	System          SystemID // the sender's system
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

// ReplyKind is the kind of a reply. The numbers are part of the wire format.
type ReplyKind uint8

// The kinds of replies.
const (
	NotReady          ReplyKind = iota // the replica is not a voter, or has to recover first, or doesn't know the request's kind
	Reported                           // ReadVote, Recover, Describe or Commit succeeded
	Promise                            // Prepare succeeded: the ballot is promised
	Accepted                           // Accept succeeded: the value is accepted
	Rejected                           // a higher ballot is promised; for Recover: the incarnation is not above the recorded one
	StaleEpoch                         // the request's epoch is out of date: VoterSet is decided and has a higher epoch
	ConflictingVoters                  // the request has the same epoch as VoterSet, but other voters
	ForeignSystem                      // the sender does not belong to System
)

// Reply is the answer to a request. Which fields are set depends on Kind; an acceptor's replies always have Ballot.
type Reply struct {
	Kind             ReplyKind
	Ballot           Ballot           // the request's ballot
	DiskIncarnation  uint64           // the voter's own disk incarnation
	DiskIncarnations DiskIncarnations // the disk incarnations of other replicas, as reported to this voter
	Promised         Ballot           // the highest ballot that the voter has promised
	Vote             Vote             // the voter's vote; without its value if the request's KnownBallot equals the vote's ballot

	VoterSet     VoterSet // the newest voter set that the voter knows to be decided
	Ready        bool     // the replying process may be made a voter; set in replies to Describe
	BlankDisk    bool     // the disk was completely empty at the start; set with NotReady
	System       SystemID // the voter's system
	Unresponsive []string // voters that have not answered the replying process for ReplaceDelay; set in replies to Describe
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
