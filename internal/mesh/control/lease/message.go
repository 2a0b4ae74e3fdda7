package lease

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// Request asks a voter for the leases of one process: to obtain, to renew or to release them.
type Request struct {
	Holder        string // address of the process that asks
	Incarnation   uint64 // of that process: random, and new at each start
	Roles         []RoleRequest
	VoterSetEpoch uint64 // of the newest voter set that the process knows
}

// Fields implements codec.Message.
func (r *Request) Fields(visitor *codec.Visitor) {
	visitor.String(1, &r.Holder)
	visitor.Fixed64(2, &r.Incarnation)
	codec.Messages(visitor, 3, &r.Roles)
	visitor.Uint64(4, &r.VoterSetEpoch)
}

// RoleRequest asks for the lease of one role, with the fencing token that the process would work under.
type RoleRequest struct {
	Role         string
	FencingToken uint64
	Release      bool // the process gives the lease up
}

// Fields implements codec.Message.
func (r *RoleRequest) Fields(visitor *codec.Visitor) {
	visitor.String(1, &r.Role)
	visitor.Uint64(2, &r.FencingToken)
	visitor.Bool(3, &r.Release)
}

// Reply is a voter's answer to a Request.
type Reply struct {
	Grants        []RoleReply // in the order of Request.Roles, without roles for which the voter has no room
	VoterSetEpoch uint64      // of the newest voter set that the voter accepted or knows to be decided
}

// Fields implements codec.Message.
func (r *Reply) Fields(visitor *codec.Visitor) {
	codec.Messages(visitor, 1, &r.Grants)
	visitor.Uint64(2, &r.VoterSetEpoch)
}

// RoleReply is a voter's reply to a RoleRequest: a grant, or a rejection.
type RoleReply struct {
	Role         string
	Granted      bool          // false: the request was rejected
	FencingToken uint64        // the highest that the voter has granted for the role
	Holder       string        // another process that holds the lease; empty for none
	Remaining    time.Duration // how long the grant to Holder still lasts
}

// Fields implements codec.Message.
func (r *RoleReply) Fields(visitor *codec.Visitor) {
	visitor.String(1, &r.Role)
	visitor.Bool(2, &r.Granted)
	visitor.Uint64(3, &r.FencingToken)
	visitor.String(4, &r.Holder)
	visitor.Duration(5, &r.Remaining)
}
