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
	Endpoint   string // the life that was chosen
	Service    string
	Method     string
	URI        string // path and query as they came
	Host       string
	Header     []string // names and values in turn
	Body       []byte
	HasBody    bool // also an empty one, that came with a length
	Attempt    string
	Caller     string // service of the machine where the request began
	Subscriber string // tenant; empty for none
	Priority   int
	Inner      bool
	Repeatable bool
	Aim        time.Duration // left until an answer is worth little, when it was sent
	Left       time.Duration // left until the client gives up, when it was sent
	Route      string        // its name: requests of one route are taken to be alike
}

// Fields names the fields of a ForwardRequest.
func (p *ForwardRequest) Fields(v *codec.Visitor) {
	v.String(1, &p.Endpoint)
	v.String(2, &p.Service)
	v.String(3, &p.Method)
	v.String(4, &p.URI)
	v.String(5, &p.Host)
	v.Strings(6, &p.Header)
	v.Bytes(7, &p.Body)
	v.Bool(8, &p.HasBody)
	v.String(9, &p.Attempt)
	v.String(10, &p.Caller)
	v.String(11, &p.Subscriber)
	v.Int(12, &p.Priority)
	v.Bool(13, &p.Inner)
	v.Bool(14, &p.Repeatable)
	v.Duration(15, &p.Aim)
	v.Duration(16, &p.Left)
	v.String(17, &p.Route)
}

// Outcome is how a ForwardRequest ended.
type Outcome struct {
	Kind    outcome.Kind
	Status  int
	Header  []string // names and values in turn, as the endpoint gave them, without those of one connection
	Body    []byte
	Work    time.Duration // at the endpoint
	Slots   int           // of the endpoint,
	Running int           // and how many of them are in use,
	Waiting int           // and how many wait
	Back    time.Duration // when to ask again, by the endpoint's own word; 0 for none
	Arrived bool          // it reached the endpoint, run or not
}

// Fields names the fields of an Outcome.
func (o *Outcome) Fields(v *codec.Visitor) {
	v.Uint64(1, (*uint64)(&o.Kind))
	v.Int(2, &o.Status)
	v.Strings(3, &o.Header)
	v.Bytes(4, &o.Body)
	v.Duration(5, &o.Work)
	v.Int(6, &o.Slots)
	v.Int(7, &o.Running)
	v.Int(8, &o.Waiting)
	v.Duration(9, &o.Back)
	v.Bool(10, &o.Arrived)
}
