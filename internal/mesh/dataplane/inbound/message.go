package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// MethodForward is the number of the call that brings a request to the sidecar beside its endpoint. It goes over the wire and never
// changes.
const MethodForward = 1

// ForwardRequest is a request on its way from the sidecar beside the client to the one beside the endpoint.
type ForwardRequest struct {
	EndpointID      string // the endpoint that was chosen
	Service         string
	Method          string
	URI             string // path and query as they came
	Host            string
	Header          []string // names and values in turn
	Body            []byte
	HasBody         bool   // it came with a body, which may be empty
	AttemptID       string // the client's Attempt-Id: one request here, with the same ID in each attempt that sidecars make of it
	CallingService  string // service of the machine where the request began
	Tenant          string // empty for none
	Priority        int    // 0 is highest
	Nested          bool   // a call amid a request that an endpoint is executing
	Idempotent      bool
	TargetRemaining time.Duration // left until an answer is worth little, when it was sent; negative if that has passed
	TimeRemaining   time.Duration // left until the client gives up, when it was sent
	Route           string        // its name: requests of one route are expected to have answers of like size
}

// Fields names the fields of a ForwardRequest.
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

// ForwardResponse is how a ForwardRequest ended.
type ForwardResponse struct {
	Kind            outcome.Kind
	Status          int      // of the endpoint's answer; 0 for none
	Header          []string // names and values in turn, as the endpoint gave them, without the hop-by-hop ones
	Body            []byte
	ServiceTime     time.Duration // from the request's way to the endpoint until its answer was complete
	Slots           int           // of the endpoint
	Running         int           // requests that hold a slot
	Waiting         int           // requests that wait for a slot
	RetryAfter      time.Duration // when to ask again, by the endpoint's own answer; 0 for none
	ReachedEndpoint bool          // some of the request was sent to the endpoint, whether it was executed or not
}

// Fields names the fields of a ForwardResponse.
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
