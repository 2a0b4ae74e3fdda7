package agent

import (
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport/codec"
)

// Methods of the control plane between processes. Their numbers, and those of the messages' fields, never change.
const (
	methodShuffle       = 10 // membership.Shuffle; answered by one
	methodPublish       = 11 // publishRequest: a sidecar's record of its endpoint, for a registry owner; answered by another
	methodSubscribe     = 12 // subscribeRequest: a request to be notified of a service, for a registry owner; answered by an endpointList
	methodUpdate        = 13 // endpointList: what has changed, from a registry owner to a subscriber; answered by an acknowledgement
	methodVersionNotice = 14 // versionNotice: the sender holds a version of the configuration; answered by an acknowledgement
	methodConfiguration = 15 // configurationText: a request for the newest configuration; answered by another
	methodConsensus     = 16 // opaqueMessage: a consensus.Request to another core process; answered by another, with a consensus.Reply
	methodKeepalive     = 17 // publishRequest: a keepalive that another process received, for the endpoint's own sidecar; answered by another
	methodLease         = 18 // lease.Request to a core process; answered by a lease.Reply
	methodTokens        = 19 // ratelimit.AllocationRequest to the allocator, or to a sidecar that forwards it; answered by an AllocationReply
)

// publishRequest is an endpoint's record on its way to a registry owner, and the owner's acknowledgement.
type publishRequest struct {
	Endpoint discovery.Endpoint
	Accepted bool // in the acknowledgement
}

// Fields implements codec.Message.
func (p *publishRequest) Fields(v *codec.Visitor) {
	v.Message(1, &p.Endpoint)
	v.Bool(2, &p.Accepted)
}

// subscribeRequest asks a registry owner to notify a subscriber of a service's endpoints.
type subscribeRequest struct {
	Subscriber       string // its internal address
	Service          string
	Since            uint64 // version of the owner's registry up to which the subscriber knows the service
	OwnerIncarnation uint64 // of the owner whose registry has that version
}

// Fields implements codec.Message.
func (s *subscribeRequest) Fields(v *codec.Visitor) {
	v.String(1, &s.Subscriber)
	v.String(2, &s.Service)
	v.Uint64(3, &s.Since)
	v.Fixed64(4, &s.OwnerIncarnation)
}

// endpointList is what a registry owner knows of a service, or what of it has changed.
type endpointList struct {
	Service          string
	Version          uint64 // of the owner's registry; 0 in an update
	Endpoints        []discovery.Endpoint
	OwnerIncarnation uint64 // 0 in an update
}

// Fields implements codec.Message.
func (e *endpointList) Fields(v *codec.Visitor) {
	v.String(1, &e.Service)
	v.Uint64(2, &e.Version)
	codec.Messages(v, 3, &e.Endpoints)
	v.Fixed64(4, &e.OwnerIncarnation)
}

// versionNotice says which version of the configuration its sender holds.
type versionNotice struct{ Version uint64 }

// Fields implements codec.Message.
func (n *versionNotice) Fields(v *codec.Visitor) { v.Uint64(1, &n.Version) }

// configurationText is the newest configuration that its sender knows to be committed. In a request the text is left out, in an answer
// too if the version is not newer than the requester's.
type configurationText struct {
	Version uint64
	Text    []byte // JSON, as it was submitted
}

// Fields implements codec.Message.
func (c *configurationText) Fields(v *codec.Visitor) {
	v.Uint64(1, &c.Version)
	v.Bytes(2, &c.Text)
}

// opaqueMessage carries what another package has encoded.
type opaqueMessage struct{ Body []byte }

// Fields implements codec.Message.
func (o *opaqueMessage) Fields(v *codec.Visitor) { v.Bytes(1, &o.Body) }

// acknowledgement says that a message was processed.
type acknowledgement struct{ Accepted bool }

// Fields implements codec.Message.
func (a *acknowledgement) Fields(v *codec.Visitor) { v.Bool(1, &a.Accepted) }
