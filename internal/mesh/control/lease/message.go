package lease

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// Request asks a voter for the leases of one process: to obtain, to renew or to release them.
type Request struct {
	Holder        string // address of the process that asks
	Incarnation   uint64 // of that process; differs after each start
	Roles         []RoleRequest
	VoterSetEpoch uint64 // of the list of voters that the process knows
}

// RoleRequest is one lease of a Request, with the fencing number that the process would work under.
type RoleRequest struct {
	Role         string
	FencingToken uint64 // fencing number
	Release      bool   // the process gives the lease up
}

// Reply is a voter's answer to a Request.
type Reply struct {
	Grants        []Grant
	VoterSetEpoch uint64 // of the newest list of voters that the voter accepted or knows as decided
}

// Grant is what a voter says about one lease.
type Grant struct {
	Role         string
	Granted      bool          // the lease was granted to the process that asked
	FencingToken uint64        // highest fencing number that the voter has granted
	Holder       string        // another process that holds the lease; empty for none
	Remaining    time.Duration // how long the grant to Holder still runs
}

// Fields implements codec.Message.
func (r *Request) Fields(v *codec.Visitor) {
	v.String(1, &r.Holder)
	v.Fixed64(2, &r.Incarnation)
	codec.Messages(v, 3, &r.Roles)
	v.Uint64(4, &r.VoterSetEpoch)
}

// Fields implements codec.Message.
func (r *RoleRequest) Fields(v *codec.Visitor) {
	v.String(1, &r.Role)
	v.Uint64(2, &r.FencingToken)
	v.Bool(3, &r.Release)
}

// Fields implements codec.Message.
func (r *Reply) Fields(v *codec.Visitor) {
	codec.Messages(v, 1, &r.Grants)
	v.Uint64(2, &r.VoterSetEpoch)
}

// Fields implements codec.Message.
func (g *Grant) Fields(v *codec.Visitor) {
	v.String(1, &g.Role)
	v.Bool(2, &g.Granted)
	v.Uint64(3, &g.FencingToken)
	v.String(4, &g.Holder)
	v.Duration(5, &g.Remaining)
}
