package ratelimit

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// TokenRequest is a sidecar's request for the tokens of one tenant.
type TokenRequest struct {
	Tenant         string
	Tokens         float64       // number of wanted tokens: for waiting requests and those expected within prefetchSpan
	Demand         float64       // requests per second, smoothed over longTermSpan
	FallbackShare  float64       // share that the sidecar holds, in requests per second
	ShareRemaining time.Duration // remaining time of the share's lease
	UnusedTokens   float64       // number of tokens that expired since the last request; they go back to the bucket
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

// AllocationRequest contains the token requests of a sidecar. A sidecar sends one every maxRequestInterval even if it has no token
// requests, so that the allocator knows which sidecars reach it.
type AllocationRequest struct {
	Sidecar             string // address of the sidecar
	Incarnation         uint64 // identifies the sidecar's process; it changes when the process restarts
	Requests            []TokenRequest
	Forwarded           bool   // true if another sidecar forwards the request
	HighestFencingToken uint64 // highest fencing token of the allocators whose grants the sidecar has accepted
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
	Tokens         float64       // tokens valid for tokenValidity from the request; also extends the validity of earlier ones
	FallbackShare  float64       // granted share in requests per second
	ShareRemaining time.Duration // lease duration of the share, counted from the time of the request
	RetryAfter     time.Duration // time until the bucket has the missing tokens; 0 if all wanted tokens were granted
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
	Granted      bool   // false if the replying process is not the allocator
	FencingToken uint64 // fencing token of the allocator's lease
	Allocator    string // address of the allocator; empty if the replying process does not know it
	Grants       []TokenGrant
}

// Fields implements codec.Message.
func (a *AllocationReply) Fields(visitor *codec.Visitor) {
	visitor.Bool(1, &a.Granted)
	visitor.Uint64(2, &a.FencingToken)
	visitor.String(3, &a.Allocator)
	codec.Messages(visitor, 4, &a.Grants)
}
