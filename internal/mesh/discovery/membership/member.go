package membership

import (
	"math"
	"time"

	"quincegap/internal/mesh/transport/codec"
)

// Role is the kind of a member's process. Its values are part of the wire format.
type Role uint8

const (
	// RoleAccess is a sidecar beside an endpoint.
	RoleAccess Role = 0
	// RoleCore is a process of the control plane.
	RoleCore Role = 1
)

// maxHeartbeatAge is the maximum age of a heartbeat that is read from a message. A higher age is reduced to it.
const maxHeartbeatAge = time.Hour

// maxTextBytes bounds the length of each text of a record that a view holds.
const maxTextBytes = 256

// Member is the record of one incarnation of one process.
type Member struct {
	Incarnation  uint64 // random number, new at each start of the process; never 0
	Address      string // ip:port at which peers reach the process
	Zone         string
	Region       string
	Role         Role
	Service      string        // service of the endpoint beside the process, if the process is a sidecar
	AppAddress   string        // address of the endpoint beside the process, if the process is a sidecar
	Heartbeat    uint64        // counter that the member raises at each gossip interval
	Seed         bool          // unused; reserves field 9 of the wire format
	HeartbeatAge time.Duration // time since the heartbeat was new, as far as the sender of a message knows; see also View.MembersWithAges
}

// Fields implements codec.Message. An age is sent in whole milliseconds, rounded up so that the heartbeat doesn't seem newer than it is.
func (m *Member) Fields(v *codec.Visitor) {
	v.Fixed64(1, &m.Incarnation)
	v.String(2, &m.Address)
	v.String(3, &m.Zone)
	v.String(4, &m.Region)
	role := uint64(m.Role)
	v.Uint64(5, &role)
	m.Role = Role(min(role, math.MaxUint8)) // unknown if it is higher
	v.String(6, &m.Service)
	v.String(7, &m.AppAddress)
	v.Uint64(8, &m.Heartbeat)
	v.Bool(9, &m.Seed)
	millis := uint64((max(m.HeartbeatAge, 0) + time.Millisecond - 1) / time.Millisecond)
	v.Uint64(10, &millis)
	if v.Reading() {
		m.HeartbeatAge = time.Duration(min(millis, uint64(maxHeartbeatAge/time.Millisecond))) * time.Millisecond
	}
}

// isValid reports whether a view can hold a record that was received: it has an incarnation and an address, its role is known, and its texts
// are not longer than maxTextBytes.
func (m *Member) isValid() bool {
	for _, text := range []string{m.Address, m.Zone, m.Region, m.Service, m.AppAddress} {
		if len(text) > maxTextBytes {
			return false
		}
	}
	return m.Incarnation != 0 && m.Address != "" && m.Role <= RoleCore
}

// sameRecord reports whether two records of an incarnation are equal apart from their heartbeats.
func sameRecord(a, b *Member) bool {
	other := *b
	other.Heartbeat = a.Heartbeat
	other.HeartbeatAge = a.HeartbeatAge
	return *a == other
}
