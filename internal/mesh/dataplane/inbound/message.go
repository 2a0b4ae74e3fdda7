package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// MethodForward is the number of the method by which a request is forwarded to the sidecar beside its endpoint. It is part of the wire
// protocol.
const MethodForward = 1

// ForwardRequest is a client's request, as its sidecar forwards it to the sidecar beside the endpoint: one attempt.
type ForwardRequest struct {
	EndpointID      string // the endpoint that was chosen
	Service         string
	Method          string
	URI             string // path and query as they came
	Host            string
	Header          []string // names and values in turn, without the hop-by-hop fields
	Body            []byte
	HasBody         bool   // the client sent a body, which may be empty
	AttemptID       string // the client's Attempt-Id; the same in all attempts that sidecars make of one request
	CallingService  string // the service on the machine of the client's sidecar; empty for none
	Tenant          string // name; empty for none
	Priority        int    // 0 is highest
	Nested          bool   // made by an endpoint that is executing another request
	Idempotent      bool
	TargetRemaining time.Duration // until the latency target is missed, from when it was sent; negative if it was missed before
	TimeRemaining   time.Duration // until the client gives up, from when it was sent
	Route           string        // name; answers to requests of one route are expected to be of similar size
}

// Fields implements codec.Message.
func (r *ForwardRequest) Fields(v *codec.Visitor) {
	v.String(1, &r.EndpointID)
	v.String(2, &r.Service)
	v.String(3, &r.Method)
	v.String(4, &r.URI)
	v.String(5, &r.Host)
	v.Strings(6, &r.Header)
	v.Bytes(7, &r.Body)
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

// ForwardResponse is the response to a ForwardRequest. Its RetryAfter is set only for outcome.Rejected; Status, Header and Body are the
// endpoint's answer.
type ForwardResponse struct {
	Kind            outcome.Kind
	Status          int      // HTTP status of the endpoint's answer; 0 without one
	Header          []string // names and values in turn, of the endpoint's answer, without the hop-by-hop fields
	Body            []byte
	ServiceTime     time.Duration // from when the request was sent to the endpoint until the answer was complete
	Slots           int           // of the endpoint
	Running         int           // requests that occupy a slot
	Waiting         int           // requests that are queued for a slot
	RetryAfter      time.Duration // of the endpoint's answer; 0 for none
	ReachedEndpoint bool          // part of the request at least was sent to the endpoint
}

// Fields implements codec.Message.
func (r *ForwardResponse) Fields(v *codec.Visitor) {
	v.Uint64(1, (*uint64)(&r.Kind))
	v.Int(2, &r.Status)
	v.Strings(3, &r.Header)
	v.Bytes(4, &r.Body)
	v.Duration(5, &r.ServiceTime)
	v.Int(6, &r.Slots)
	v.Int(7, &r.Running)
	v.Int(8, &r.Waiting)
	v.Duration(9, &r.RetryAfter)
	v.Bool(10, &r.ReachedEndpoint)
}
