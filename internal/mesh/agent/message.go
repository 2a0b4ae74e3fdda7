package agent

import (
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport/codec"
)

// Methods of the control plane between processes. Their numbers never change.
const (
	methodShuffle       = 10 // membership.Shuffle; answered by one
	methodPublish       = 11 // published: a sidecar's record of its endpoint, for a home
	methodSubscribe     = 12 // subscription: a request to hear of a service, for a home; answered by a listing
	methodUpdate        = 13 // listing: what has changed, from a home to a subscriber
	methodVersionNotice = 14 // notice: the sender holds a version of the configuration
	methodConfiguration = 15 // configurationText: a request for the newest configuration, answered by another
	methodConsensus     = 16 // opaque: a request to another core process's consensus.Replica, and its reply
	methodKeepalive     = 17 // published: a keepalive that another process received, for the endpoint's own sidecar
	methodLease         = 18 // lease.Request to a core process, answered by lease.Reply
	methodTokens        = 19 // ratelimit.TokenRequests to the allocator, or to a sidecar that forwards them
)

// publishRequest is a record on its way to a home, and the home's acknowledgement.
type publishRequest struct {
	Endpoint discovery.Endpoint
	Accepted bool
}

func (p *publishRequest) Fields(v *codec.Visitor) {
	v.Message(1, &p.Endpoint)
	v.Bool(2, &p.Accepted)
}

// subscribeRequest is a subscriber's request to hear of a service.
type subscribeRequest struct {
	Subscriber       string // the subscriber's address
	Service          string
	Since            uint64 // version of the home's registry up to which the subscriber knows the service
	OwnerIncarnation uint64 // of the home that Since is of
}

func (s *subscribeRequest) Fields(v *codec.Visitor) {
	v.String(1, &s.Subscriber)
	v.String(2, &s.Service)
	v.Uint64(3, &s.Since)
	v.Fixed64(4, &s.OwnerIncarnation)
}

// endpointList is what a home knows of a service, or what of it has changed.
type endpointList struct {
	Service          string
	Version          uint64 // of the home's registry; 0 in an update
	Endpoints        []discovery.Endpoint
	OwnerIncarnation uint64 // of the home
}

func (e *endpointList) Fields(v *codec.Visitor) {
	v.String(1, &e.Service)
	v.Uint64(2, &e.Version)
	codec.Messages(v, 3, &e.Endpoints)
	v.Fixed64(4, &e.OwnerIncarnation)
}

// versionNotice says which version its sender holds.
type versionNotice struct{ Version uint64 }

func (v *versionNotice) Fields(visitor *codec.Visitor) { visitor.Uint64(1, &v.Version) }

// configurationText is the newest configuration that its sender knows to be committed, with its text if it is newer than the asker's.
type configurationText struct {
	Version uint64
	Text    []byte
}

func (c *configurationText) Fields(v *codec.Visitor) {
	v.Uint64(1, &c.Version)
	v.Bytes(2, &c.Text)
}

// opaqueMessage carries what another package has encoded.
type opaqueMessage struct{ Body []byte }

func (o *opaqueMessage) Fields(v *codec.Visitor) { v.Bytes(1, &o.Body) }

// acknowledgement says that a message was taken.
type acknowledgement struct{ Accepted bool }

func (a *acknowledgement) Fields(v *codec.Visitor) { v.Bool(1, &a.Accepted) }
