package discovery

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// State of an endpoint; a worse one is higher. Its values are data on the wire.
type State uint8

const (
	// Serving endpoints take requests.
	Serving State = 0
	// Draining endpoints end soon, and take no new requests.
	Draining State = 1
	// Crashed endpoints ended unannounced, as far as is known: a newer keepalive brings them back.
	Crashed State = 2
	// Deregistered endpoints ended in order or were superseded, for good.
	Deregistered State = 3
)

// Endpoint is the record of one run of an endpoint, as it is sent.
type Endpoint struct {
	ID                 string // new at each start of the endpoint
	Service            string
	SidecarAddress     string // ip:port of the sidecar beside it
	SidecarIncarnation uint64
	AppAddress         string // its own ip:port
	Zone               string
	Slots              int // requests that it works on at a time
	State              State
	WarmupRemaining    time.Duration // of its slow start, when it is sent
	Sequence           uint64        // callSequence of the newest keepalive that this rests on
	Revision           uint64        // raised by its publisher at each change beyond Sequence, over all endpoints that it publishes
	LeaseRemaining     time.Duration // when it is sent
}

// Fields implements codec.Message. A state that isn't known is read as the worst.
func (e *Endpoint) Fields(v *codec.Visitor) {
	v.String(1, &e.ID)
	v.String(2, &e.Service)
	v.String(3, &e.SidecarAddress)
	v.Fixed64(4, &e.SidecarIncarnation)
	v.String(5, &e.AppAddress)
	v.String(6, &e.Zone)
	v.Int(7, &e.Slots)
	state := uint64(e.State)
	v.Uint64(8, &state)
	e.State = State(min(state, uint64(Deregistered)))
	v.Duration(9, &e.WarmupRemaining)
	v.Uint64(10, &e.Sequence)
	v.Uint64(11, &e.Revision)
	v.Duration(12, &e.LeaseRemaining)
}

// hasEnded reports whether an endpoint in the state has ended.
func (s State) hasEnded() bool { return s >= Crashed }
