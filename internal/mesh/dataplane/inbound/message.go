package inbound

import (
	"time"

	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// MethodForward is the call that brings a request to the sidecar beside its endpoint.
const MethodForward = 1

// ForwardRequest is a request on its way from the sidecar beside the client to the one beside the endpoint.
type ForwardRequest struct {
	EndpointID      string // the life that was chosen
	Service         string
	Method          string
	URI             string // path and query as they came
	Host            string
	Header          []string // names and values in turn
	Body            []byte
	HasBody         bool // also an empty one, that came with a length
	AttemptID       string
	CallingService  string // service of the machine where the request began
	Tenant          string // tenant; empty for none
	Priority        int
	Nested          bool
	Idempotent      bool
	TargetRemaining time.Duration // left until an answer is worth little, when it was sent
	TimeRemaining   time.Duration // left until the client gives up, when it was sent
	Route           string        // its name: requests of one route are taken to be alike
}

// Fields names the fields of a ForwardRequest.
func (p *ForwardRequest) Fields(v *codec.Visitor) {
	v.String(1, &p.EndpointID)
	v.String(2, &p.Service)
	v.String(3, &p.Method)
	v.String(4, &p.URI)
	v.String(5, &p.Host)
	v.Strings(6, &p.Header)
	v.Bytes(7, &p.Body)
	v.Bool(8, &p.HasBody)
	v.String(9, &p.AttemptID)
	v.String(10, &p.CallingService)
	v.String(11, &p.Tenant)
	v.Int(12, &p.Priority)
	v.Bool(13, &p.Nested)
	v.Bool(14, &p.Idempotent)
	v.Duration(15, &p.TargetRemaining)
	v.Duration(16, &p.TimeRemaining)
	v.String(17, &p.Route)
}

// ForwardResponse is how a ForwardRequest ended.
type ForwardResponse struct {
	Kind            outcome.Kind
	Status          int
	Header          []string // names and values in turn, as the endpoint gave them, without those of one connection
	Body            []byte
	ServiceTime     time.Duration // at the endpoint
	Slots           int           // of the endpoint,
	Running         int           // and how many of them are in use,
	Waiting         int           // and how many wait
	RetryAfter      time.Duration // when to ask again, by the endpoint's own word; 0 for none
	ReachedEndpoint bool          // it reached the endpoint, run or not
}

// Fields names the fields of an Outcome.
func (o *ForwardResponse) Fields(v *codec.Visitor) {
	v.Uint64(1, (*uint64)(&o.Kind))
	v.Int(2, &o.Status)
	v.Strings(3, &o.Header)
	v.Bytes(4, &o.Body)
	v.Duration(5, &o.ServiceTime)
	v.Int(6, &o.Slots)
	v.Int(7, &o.Running)
	v.Int(8, &o.Waiting)
	v.Duration(9, &o.RetryAfter)
	v.Bool(10, &o.ReachedEndpoint)
}
