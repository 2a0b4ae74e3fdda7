package discovery

import (
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// State is the state of an endpoint. Worse states have higher values. The values are part of the wire format.
type State uint8

const (
	// Serving endpoints accept requests.
	Serving State = 0
	// Draining endpoints will end soon, and accept no new requests.
	Draining State = 1
	// Crashed endpoints are presumed to have ended without reporting it. A newer keepalive restores them.
	Crashed State = 2
	// Deregistered endpoints have reported their end or were superseded. They are never restored.
	Deregistered State = 3
)

// Endpoint is the record of one run of an endpoint, as it is sent to other processes.
type Endpoint struct {
	ID                 string // identifies one run of the endpoint; new at each start
	Service            string
	SidecarAddress     string // ip:port of the sidecar beside the endpoint
	SidecarIncarnation uint64
	AppAddress         string // ip:port of the endpoint
	Zone               string
	Slots              int // number of requests that the endpoint processes concurrently
	State              State
	WarmupRemaining    time.Duration // remaining time of the endpoint's slow start when the record is sent
	Sequence           uint64        // callSequence of the newest keepalive on which the record is based
	Revision           uint64        // number of changes so far to all records of the publisher, not counting changes of Sequence
	LeaseRemaining     time.Duration // remaining time of the record's lease when the record is sent
}

// Fields implements codec.Message. An unknown state, which a newer release may send, is read as Deregistered, the worst state.
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

// hasEnded reports whether an endpoint in this state has ended.
func (s State) hasEnded() bool { return s >= Crashed }
