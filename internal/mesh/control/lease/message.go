package lease

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// Request asks a voter for the leases of one process: to obtain, to renew or to release them.
type Request struct {
	Holder          string // address of the process that asks
	Incarnation     uint64 // of that process; differs after each start
	Duties          []Duty
	MembershipEpoch uint64 // of the list of voters that the process knows
}

// Duty is one lease of a Request, with the fencing number that the process would work under.
type Duty struct {
	Name    string
	Epoch   uint64 // fencing number
	Release bool   // the process gives the lease up
}

// Reply is a voter's answer to a Request.
type Reply struct {
	Duties          []Grant
	MembershipEpoch uint64 // of the newest list of voters that the voter accepted or knows as decided
}

// Grant is what a voter says about one lease.
type Grant struct {
	Name   string
	Given  bool          // the lease was granted to the process that asked
	Epoch  uint64        // highest fencing number that the voter has granted
	Holder string        // another process that holds the lease; empty for none
	Left   time.Duration // how long the grant to Holder still runs
}

// Fields implements codec.Message.
func (q *Request) Fields(v *codec.Visitor) {
	v.Text(1, &q.Holder)
	v.Fixed(2, &q.Incarnation)
	codec.Messages(v, 3, &q.Duties)
	v.Uint(4, &q.MembershipEpoch)
}

// Fields implements codec.Message.
func (d *Duty) Fields(v *codec.Visitor) {
	v.Text(1, &d.Name)
	v.Uint(2, &d.Epoch)
	v.Bool(3, &d.Release)
}

// Fields implements codec.Message.
func (r *Reply) Fields(v *codec.Visitor) {
	codec.Messages(v, 1, &r.Duties)
	v.Uint(2, &r.MembershipEpoch)
}

// Fields implements codec.Message.
func (g *Grant) Fields(v *codec.Visitor) {
	v.Text(1, &g.Name)
	v.Bool(2, &g.Given)
	v.Uint(3, &g.Epoch)
	v.Text(4, &g.Holder)
	v.Time(5, &g.Left)
}
