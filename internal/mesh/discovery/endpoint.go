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
	// Draining endpoints will end soon, and take no new requests.
	Draining State = 1
	// Crashed endpoints have ended without announcing it, as far as is known: a newer keepalive brings them back.
	Crashed State = 2
	// Deregistered endpoints have announced their end or were superseded. They never come back.
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
	WarmupRemaining    time.Duration // what is left of its slow start when the record is sent
	Sequence           uint64        // callSequence of the newest keepalive that the record is based on
	Revision           uint64        // counts the changes, beyond Sequence, of all records of its publisher
	LeaseRemaining     time.Duration // what is left of the record's lease when it is sent
}

// Fields implements codec.Message. An unknown state, of a newer release, is read as Deregistered, the worst.
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
