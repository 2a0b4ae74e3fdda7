package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// MethodForward is the number of the transport method that forwards a request to the sidecar beside its endpoint. It is part of the wire
// protocol.
const MethodForward = 1

// ForwardRequest is one attempt of a client's request, as the client's sidecar forwards it to the sidecar beside the endpoint.
type ForwardRequest struct {
	EndpointID      string // ID of the endpoint that the balancer chose
	Service         string
	Method          string
	URI             string // path and query as received from the client
	Host            string
	Header          []string // alternating names and values, without the hop-by-hop fields
	Body            codec.Buffers
	HasBody         bool   // whether the client sent a body, which may be empty
	AttemptID       string // the client's Attempt-Id; the same in all attempts that sidecars make of one request
	CallingService  string // service on the machine of the client's sidecar; empty for none
	Tenant          string // the tenant's name; empty for none
	Priority        int    // 0 is highest
	Nested          bool   // whether the request was made by an endpoint that is executing another request
	Idempotent      bool
	TargetRemaining time.Duration // time from sending this message until the latency target is missed; negative if it is missed already
	TimeRemaining   time.Duration // time from sending this message until the client gives up
	Route           string        // the route's name; answers to requests of one route are expected to be of similar size
}

// Fields implements codec.Message.
func (r *ForwardRequest) Fields(v *codec.Visitor) {
	v.String(1, &r.EndpointID)
	v.String(2, &r.Service)
	v.String(3, &r.Method)
	v.String(4, &r.URI)
	v.String(5, &r.Host)
	v.Strings(6, &r.Header)
	v.Buffers(7, &r.Body)
	v.Bool(8, &r.HasBody)
	v.String(9, &r.AttemptID)
	v.String(10, &r.CallingService)
	v.String(11, &r.Tenant)
	v.Int(12, &r.Priority)
	v.Bool(13, &r.Nested)
	v.Bool(14, &r.Idempotent)
	v.Duration(15, &r.TargetRemaining)
	v.Duration(16, &r.TimeRemaining)
	v.String(17, &r.Route)
}

// ForwardResponse is the response to a ForwardRequest. RetryAfter is set only for outcome.Rejected; Status, Header and Body are those of
// the endpoint's answer.
type ForwardResponse struct {
	Kind            outcome.Kind
	Status          int      // HTTP status of the endpoint's answer; 0 without one
	Header          []string // alternating names and values of the endpoint's answer, without the hop-by-hop fields
	Body            codec.Buffers
	ServiceTime     time.Duration // time from sending the request to the endpoint until its answer was complete
	Slots           int           // number of the endpoint's slots
	Running         int           // number of requests that occupy a slot
	Waiting         int           // number of requests that are queued for a slot
	RetryAfter      time.Duration // Retry-After of the endpoint's answer; 0 for none
	ReachedEndpoint bool          // whether at least part of the request was sent to the endpoint
}

// Fields implements codec.Message.
func (r *ForwardResponse) Fields(v *codec.Visitor) {
	v.Uint64(1, (*uint64)(&r.Kind))
	v.Int(2, &r.Status)
	v.Strings(3, &r.Header)
	v.Buffers(4, &r.Body)
	v.Duration(5, &r.ServiceTime)
	v.Int(6, &r.Slots)
	v.Int(7, &r.Running)
	v.Int(8, &r.Waiting)
	v.Duration(9, &r.RetryAfter)
	v.Bool(10, &r.ReachedEndpoint)
}
