package agent

import (
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport/codec"
)

// Methods of the control plane between processes: the type of the request, what it is, and the type of the reply. The numbers, and those
// of the messages' fields, never change.
const (
	methodShuffle       = 10 // membership.Shuffle, a part of the sender's view; Shuffle
	methodPublish       = 11 // publishRequest, a sidecar's record of its endpoint, to a registry owner; publishRequest
	methodSubscribe     = 12 // subscribeRequest, to a registry owner; endpointList
	methodUpdate        = 13 // endpointList, the records that have changed, from a registry owner to a subscriber; acknowledgement
	methodVersionNotice = 14 // versionNotice, the version that is applied at the sender; acknowledgement
	methodConfiguration = 15 // configurationText, a request for the newest configuration; configurationText
	methodConsensus     = 16 // opaqueMessage, a consensus.Request to another core process; opaqueMessage, a consensus.Reply
	methodKeepalive     = 17 // publishRequest, a keepalive that is forwarded to the endpoint's own sidecar; publishRequest
	methodLease         = 18 // lease.Request, to a core process; lease.Reply
	methodTokens        = 19 // ratelimit.AllocationRequest, to the allocator or a sidecar that forwards it; ratelimit.AllocationReply
)

// publishRequest is the record of an endpoint, and in the reply the acknowledgement of it.
type publishRequest struct {
	Endpoint discovery.Endpoint
	Accepted bool // in a reply: the receiver has accepted the record
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
	Since            uint64 // version of the owner's registry up to which the subscriber has the service's records
	OwnerIncarnation uint64 // incarnation of the owner that the version is from
}

// Fields implements codec.Message.
func (s *subscribeRequest) Fields(v *codec.Visitor) {
	v.String(1, &s.Subscriber)
	v.String(2, &s.Service)
	v.Uint64(3, &s.Since)
	v.Fixed64(4, &s.OwnerIncarnation)
}

// endpointList holds records of a service at a registry owner: those that have changed since a version, or all of them.
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

// versionNotice announces the version of the configuration that is applied at its sender.
type versionNotice struct{ Version uint64 }

// Fields implements codec.Message.
func (n *versionNotice) Fields(v *codec.Visitor) { v.Uint64(1, &n.Version) }

// configurationText is the configuration that is applied at its sender. A request has no text; nor has a reply whose version is not above
// the requester's.
type configurationText struct {
	Version uint64 // 0 for none
	Text    []byte // JSON, as it was submitted
}

// Fields implements codec.Message.
func (c *configurationText) Fields(v *codec.Visitor) {
	v.Uint64(1, &c.Version)
	v.Bytes(2, &c.Text)
}

// opaqueMessage carries a message that another package has encoded.
type opaqueMessage struct{ Body []byte }

// Fields implements codec.Message.
func (o *opaqueMessage) Fields(v *codec.Visitor) { v.Bytes(1, &o.Body) }

// acknowledgement reports that a message was processed.
type acknowledgement struct{ Accepted bool }

// Fields implements codec.Message.
func (a *acknowledgement) Fields(v *codec.Visitor) { v.Bool(1, &a.Accepted) }
