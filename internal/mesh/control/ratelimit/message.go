package ratelimit

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// TokenRequest is a sidecar's request for the tokens of one tenant.
type TokenRequest struct {
	Tenant         string
	Tokens         float64       // for requests that wait, and those of the next moments
	Demand         float64       // requests a second of late
	FallbackShare  float64       // the standing share that it holds, in requests a second
	ShareRemaining time.Duration // of the share's lease
	UnusedTokens   float64       // tokens that ran out unspent since the last request; they go back
}

// AllocationRequest are all requests of a sidecar. They are sent often enough for silence to mean something.
type AllocationRequest struct {
	Sidecar             string // address of the sidecar
	Incarnation         uint64 // of the sidecar
	Requests            []TokenRequest
	Forwarded           bool   // by another sidecar
	HighestFencingToken uint64 // highest fencing number of an allocator that the sidecar has taken grants of
}

// TokenGrant answers a TokenRequest.
type TokenGrant struct {
	Tenant         string
	Tokens         float64       // good for tokenValidity from when they were requested
	FallbackShare  float64       // standing share, in requests a second
	ShareRemaining time.Duration // lease of the share, from when it was requested
	RetryAfter     time.Duration // if tokens are short: when there will be some
}

// AllocationReply answers AllocationRequest.
type AllocationReply struct {
	Granted      bool   // false: this process is not the allocator
	FencingToken uint64 // fencing number of the allocator's lease
	Allocator    string // its address, as far as the answering process knows
	Grants       []TokenGrant
}

// Fields implements codec.Message.
func (t *TokenRequest) Fields(v *codec.Visitor) {
	v.String(1, &t.Tenant)
	v.Float64(2, &t.Tokens)
	v.Float64(3, &t.Demand)
	v.Float64(4, &t.FallbackShare)
	v.Duration(5, &t.ShareRemaining)
	v.Float64(6, &t.UnusedTokens)
}

// Fields implements codec.Message.
func (a *AllocationRequest) Fields(v *codec.Visitor) {
	v.String(1, &a.Sidecar)
	v.Fixed64(2, &a.Incarnation)
	codec.Messages(v, 3, &a.Requests)
	v.Bool(4, &a.Forwarded)
	v.Uint64(5, &a.HighestFencingToken)
}

// Fields implements codec.Message.
func (t *TokenGrant) Fields(v *codec.Visitor) {
	v.String(1, &t.Tenant)
	v.Float64(2, &t.Tokens)
	v.Float64(3, &t.FallbackShare)
	v.Duration(4, &t.ShareRemaining)
	v.Duration(5, &t.RetryAfter)
}

// Fields implements codec.Message.
func (a *AllocationReply) Fields(v *codec.Visitor) {
	v.Bool(1, &a.Granted)
	v.Uint64(2, &a.FencingToken)
	v.String(3, &a.Allocator)
	codec.Messages(v, 4, &a.Grants)
}
