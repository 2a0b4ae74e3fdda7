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
	Crashed      // ended unannounced
	Deregistered // deregistered, ended in order, or replaced
)

// Endpoint is the record of one life of an endpoint, as it is sent.
type Endpoint struct {
	ID                 string
	Service            string
	SidecarAddress     string // address of the sidecar beside it
	SidecarIncarnation uint64
	AppAddress         string // its own address
	Zone               string
	Slots              int
	State              State
	WarmupRemaining    time.Duration // left when it is sent
	Sequence           uint64        // callSequence of the newest keepalive that this rests on
	Revision           uint64        // raised by its publisher at each change beyond Sequence, over all lives that it publishes
	LeaseRemaining     time.Duration // left when it is sent
}

// Fields implements codec.Message.
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

// Config are the settings; what is zero has its default.
type Config struct {
	LeaseDuration      time.Duration // of a record
	TombstoneRetention time.Duration // how long an ended life is remembered
	MaxTombstones      int           // how many of these are remembered
	TakeoverTimeout    time.Duration // a life that is not renewed for so long yields to another one at its address
	FreezeThreshold    time.Duration // a call of Expire that comes so late after the last one means that this process was frozen
	RetryInterval      time.Duration // what was not acknowledged is sent again
	PollInterval       time.Duration // between two requests of a subscriber
	SubscriptionLease  time.Duration // how long a request keeps a subscription at the home
	OwnersQueried      int           // homes asked for each service
}

// WithDefaults are the bounds with their defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.LeaseDuration, 9*time.Second)
	setDefault(&c.TombstoneRetention, time.Minute)
	setDefault(&c.MaxTombstones, 4096)
	setDefault(&c.TakeoverTimeout, c.LeaseDuration/2)
	setDefault(&c.FreezeThreshold, 3*time.Second)
	setDefault(&c.RetryInterval, 300*time.Millisecond)
	setDefault(&c.PollInterval, 2*time.Second)
	setDefault(&c.SubscriptionLease, 6*time.Second)
	setDefault(&c.OwnersQueried, 2)
	return c
}

func setDefault[T comparable](x *T, to T) {
	var zero T
	if *x == zero {
		*x = to
	}
}
