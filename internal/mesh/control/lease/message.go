package lease

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// Request asks a voter to grant, renew or release leases of one process.
type Request struct {
	Holder        string        // the address of the requesting process
	Incarnation   uint64        // a random number that the requesting process draws at each start
	Roles         []RoleRequest // the roles whose leases to grant, renew or release
	VoterSetEpoch uint64        // the epoch of the newest voter set that the requesting process knows
}

// Fields implements codec.Message.
func (r *Request) Fields(visitor *codec.Visitor) {
	visitor.String(1, &r.Holder)
	visitor.Fixed64(2, &r.Incarnation)
	codec.Messages(visitor, 3, &r.Roles)
	visitor.Uint64(4, &r.VoterSetEpoch)
}

// RoleRequest asks for the lease of one role under a fencing token, or releases it.
type RoleRequest struct {
	Role         string
	FencingToken uint64
	Release      bool // the process releases the lease
}

// Fields implements codec.Message.
func (r *RoleRequest) Fields(visitor *codec.Visitor) {
	visitor.String(1, &r.Role)
	visitor.Uint64(2, &r.FencingToken)
	visitor.Bool(3, &r.Release)
}

// Reply is a voter's answer to a Request.
type Reply struct {
	Grants        []RoleReply // the replies in the order of Request.Roles, without the roles above the voter's limit (maxRoles)
	VoterSetEpoch uint64      // the epoch of the newest voter set that the voter accepted or knows to be decided
}

// Fields implements codec.Message.
func (r *Reply) Fields(visitor *codec.Visitor) {
	codec.Messages(visitor, 1, &r.Grants)
	visitor.Uint64(2, &r.VoterSetEpoch)
}

// RoleReply is a voter's reply to a RoleRequest: a grant, or a rejection.
type RoleReply struct {
	Role         string
	Granted      bool          // whether the lease was granted; false also in reply to a release
	FencingToken uint64        // the highest token that the voter has granted for the role
	Holder       string        // the process that holds the lease, if it is another one; empty if there is none
	Remaining    time.Duration // the time until the grant to Holder ends
}

// Fields implements codec.Message.
func (r *RoleReply) Fields(visitor *codec.Visitor) {
	visitor.String(1, &r.Role)
	visitor.Bool(2, &r.Granted)
	visitor.Uint64(3, &r.FencingToken)
	visitor.String(4, &r.Holder)
	visitor.Duration(5, &r.Remaining)
}
