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
func (f *ForwardRequest) Fields(v *codec.Visitor) {
	v.String(1, &f.EndpointID)
	v.String(2, &f.Service)
	v.String(3, &f.Method)
	v.String(4, &f.URI)
	v.String(5, &f.Host)
	v.Strings(6, &f.Header)
	v.Bytes(7, &f.Body)
	v.Bool(8, &f.HasBody)
	v.String(9, &f.AttemptID)
	v.String(10, &f.CallingService)
	v.String(11, &f.Tenant)
	v.Int(12, &f.Priority)
	v.Bool(13, &f.Nested)
	v.Bool(14, &f.Idempotent)
	v.Duration(15, &f.TargetRemaining)
	v.Duration(16, &f.TimeRemaining)
	v.String(17, &f.Route)
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
func (f *ForwardResponse) Fields(v *codec.Visitor) {
	v.Uint64(1, (*uint64)(&f.Kind))
	v.Int(2, &f.Status)
	v.Strings(3, &f.Header)
	v.Bytes(4, &f.Body)
	v.Duration(5, &f.ServiceTime)
	v.Int(6, &f.Slots)
	v.Int(7, &f.Running)
	v.Int(8, &f.Waiting)
	v.Duration(9, &f.RetryAfter)
	v.Bool(10, &f.ReachedEndpoint)
}
