// Package discovery is the directory of endpoints. Records of endpoints are soft state under leases: a sidecar publishes the
// record of the endpoint beside it to the homes of its service, and callers subscribe to these. The package does no I/O; time is an
// argument, on a steady clock with any start.
package discovery

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// State of an endpoint; a worse one is higher.
type State uint8

// The states.
const (
	Serving State = iota
	Draining
	Crashed // ended unannounced
	Gone    // deregistered, ended in order, or replaced
)

// Endpoint is the record of one life of an endpoint, as it is sent.
type Endpoint struct {
	ID       string
	Service  string
	Host     string // address of the sidecar beside it
	HostLife uint64
	App      string // its own address
	Zone     string
	Slots    int
	State    State
	Cold     time.Duration // left when it is sent
	Sequence uint64        // callSequence of the newest keepalive that this rests on
	Edition  uint64        // raised by its publisher at each change beyond Sequence, over all lives that it publishes
	Lease    time.Duration // left when it is sent
}

// Fields implements codec.Message.
func (e *Endpoint) Fields(v *codec.Visitor) {
	v.Text(1, &e.ID)
	v.Text(2, &e.Service)
	v.Text(3, &e.Host)
	v.Fixed(4, &e.HostLife)
	v.Text(5, &e.App)
	v.Text(6, &e.Zone)
	v.Small(7, &e.Slots)
	state := uint64(e.State)
	v.Uint(8, &state)
	e.State = State(min(state, uint64(Gone)))
	v.Time(9, &e.Cold)
	v.Uint(10, &e.Sequence)
	v.Uint(11, &e.Edition)
	v.Time(12, &e.Lease)
}

// Bounds are the settings; what is zero has its default.
type Bounds struct {
	Lease     time.Duration // of a record
	Tombstone time.Duration // how long an ended life is remembered
	Tombs     int           // how many of these are remembered
	Quiet     time.Duration // a life that is not renewed for so long yields to another one at its address
	Wake      time.Duration // a call of Expire that comes so late after the last one means that this process was frozen
	Retry     time.Duration // what was not acknowledged is sent again
	Ask       time.Duration // between two requests of a subscriber
	Hold      time.Duration // how long a request keeps a subscription at the home
	Width     int           // homes asked for each service
}

// Filled are the bounds with their defaults.
func (b Bounds) Filled() Bounds {
	fill(&b.Lease, 9*time.Second)
	fill(&b.Tombstone, time.Minute)
	fill(&b.Tombs, 4096)
	fill(&b.Quiet, b.Lease/2)
	fill(&b.Wake, 3*time.Second)
	fill(&b.Retry, 300*time.Millisecond)
	fill(&b.Ask, 2*time.Second)
	fill(&b.Hold, 6*time.Second)
	fill(&b.Width, 2)
	return b
}

func fill[T comparable](x *T, to T) {
	var zero T
	if *x == zero {
		*x = to
	}
}
