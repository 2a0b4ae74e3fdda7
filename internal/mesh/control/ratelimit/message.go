package ratelimit

import (
	"time"

	"gingerlead/internal/mesh/transport/codec"
)

// Wish is what a sidecar wants of the allocator for one tenant.
type TokenRequest struct {
	Tenant string
	Tokens float64       // for requests that wait, and those of the next moments
	Demand float64       // requests a second of late
	Share  float64       // requests a second that it may let in on its own, as last granted,
	Left   time.Duration // and for how long yet
	Unused float64       // tokens that ran out unspent since the last wish: they go back
}

// Requests are all of a sidecar's; sent often enough that silence tells something.
type TokenRequests struct {
	Who       string // address of the sidecar that wants them; another one may bring them on
	Life      uint64
	Requests  []TokenRequest
	Forwarded bool   // by another
	Newest    uint64 // highest fencing number of an allocator that the sidecar has received grants under
}

// Ticket is what is granted to one of them.
type TokenGrant struct {
	Tenant string
	Tokens float64       // good until valid after the wish was sent
	Share  float64       // requests a second while nobody can be reached,
	Left   time.Duration // for so long after the wish was sent
	Back   time.Duration // if tokens are short: when there will be one
}

// Grants are the allocator's answer.
type TokenGrants struct {
	Granted   bool // false: this process is not the allocator
	Epoch     uint64
	Allocator string // who is, as far as it knows
	Grants    []TokenGrant
}

// Fields names them.
func (w *TokenRequest) Fields(v *codec.Visitor) {
	v.Text(1, &w.Tenant)
	v.Float(2, &w.Tokens)
	v.Float(3, &w.Demand)
	v.Float(4, &w.Share)
	v.Time(5, &w.Left)
	v.Float(6, &w.Unused)
}

// Fields names them.
func (w *TokenRequests) Fields(v *codec.Visitor) {
	v.Text(1, &w.Who)
	v.Fixed(2, &w.Life)
	codec.Messages(v, 3, &w.Requests)
	v.Bool(4, &w.Forwarded)
	v.Uint(5, &w.Newest)
}

// Fields names them.
func (t *TokenGrant) Fields(v *codec.Visitor) {
	v.Text(1, &t.Tenant)
	v.Float(2, &t.Tokens)
	v.Float(3, &t.Share)
	v.Time(4, &t.Left)
	v.Time(5, &t.Back)
}

// Fields names them.
func (t *TokenGrants) Fields(v *codec.Visitor) {
	v.Bool(1, &t.Granted)
	v.Uint(2, &t.Epoch)
	v.Text(3, &t.Allocator)
	codec.Messages(v, 4, &t.Grants)
}
