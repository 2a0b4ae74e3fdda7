package ratelimit

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// TokenRequest is a sidecar's request for the tokens of one tenant.
type TokenRequest struct {
	Tenant         string
	Tokens         float64       // wanted: for waiting requests, and for those expected within prefetchSpan
	Demand         float64       // requests a second, smoothed over longTermSpan
	FallbackShare  float64       // that the sidecar holds, in requests a second
	ShareRemaining time.Duration // of the share's lease
	UnusedTokens   float64       // that expired since the last request; the allocator returns them to the bucket
}

// Fields implements codec.Message.
func (t *TokenRequest) Fields(visitor *codec.Visitor) {
	visitor.String(1, &t.Tenant)
	visitor.Float64(2, &t.Tokens)
	visitor.Float64(3, &t.Demand)
	visitor.Float64(4, &t.FallbackShare)
	visitor.Duration(5, &t.ShareRemaining)
	visitor.Float64(6, &t.UnusedTokens)
}

// AllocationRequest has all token requests of a sidecar, or none: it is sent at least every maxRequestInterval, so that the allocator
// knows which sidecars reach it.
type AllocationRequest struct {
	Sidecar             string // its address
	Incarnation         uint64 // of the sidecar's process
	Requests            []TokenRequest
	Forwarded           bool   // by another sidecar
	HighestFencingToken uint64 // of all allocators whose grants the sidecar has accepted
}

// Fields implements codec.Message.
func (a *AllocationRequest) Fields(visitor *codec.Visitor) {
	visitor.String(1, &a.Sidecar)
	visitor.Fixed64(2, &a.Incarnation)
	codec.Messages(visitor, 3, &a.Requests)
	visitor.Bool(4, &a.Forwarded)
	visitor.Uint64(5, &a.HighestFencingToken)
}

// TokenGrant answers a TokenRequest.
type TokenGrant struct {
	Tenant         string
	Tokens         float64       // valid for tokenValidity from the time of the request; extends what is left of earlier ones
	FallbackShare  float64       // in requests a second
	ShareRemaining time.Duration // lease of the share, from the time of the request
	RetryAfter     time.Duration // time until more tokens are there, if fewer were granted than requested; else 0
}

// Fields implements codec.Message.
func (t *TokenGrant) Fields(visitor *codec.Visitor) {
	visitor.String(1, &t.Tenant)
	visitor.Float64(2, &t.Tokens)
	visitor.Float64(3, &t.FallbackShare)
	visitor.Duration(4, &t.ShareRemaining)
	visitor.Duration(5, &t.RetryAfter)
}

// AllocationReply answers an AllocationRequest.
type AllocationReply struct {
	Granted      bool   // false: this process is not the allocator
	FencingToken uint64 // of the allocator's lease
	Allocator    string // its address, if the replying process knows it; else empty
	Grants       []TokenGrant
}

// Fields implements codec.Message.
func (a *AllocationReply) Fields(visitor *codec.Visitor) {
	visitor.Bool(1, &a.Granted)
	visitor.Uint64(2, &a.FencingToken)
	visitor.String(3, &a.Allocator)
	codec.Messages(visitor, 4, &a.Grants)
}
