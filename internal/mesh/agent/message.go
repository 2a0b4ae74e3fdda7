package agent

import (
	"quincegap/internal/mesh/discovery"
	"quincegap/internal/mesh/transport/codec"
)

// Numbers of the methods that processes of the control plane serve. Each comment gives the type and purpose of the request and, after the
// semicolon, the type of the reply. The numbers of methods and of message fields are part of the wire format and must not change.
const (
	methodShuffle       = 10 // membership.Shuffle, a part of the sender's view; Shuffle
	methodPublish       = 11 // publishRequest, a sidecar's record of its endpoint, to a registry owner; publishRequest
	methodSubscribe     = 12 // subscribeRequest, to a registry owner; endpointList
	methodUpdate        = 13 // endpointList, the changed records, from a registry owner to a subscriber; acknowledgement
	methodVersionNotice = 14 // versionNotice, the version applied at the sender; acknowledgement
	methodConfiguration = 15 // configurationText, a request for the configuration applied at the receiver; configurationText
	methodConsensus     = 16 // opaqueMessage, a consensus.Request to another core process; opaqueMessage, a consensus.Reply
	methodKeepalive     = 17 // publishRequest, a keepalive forwarded to the endpoint's own sidecar; publishRequest
	methodLease         = 18 // lease.Request, to a core process; lease.Reply
	methodTokens        = 19 // ratelimit.AllocationRequest, to the allocator or a sidecar that forwards it; ratelimit.AllocationReply
)

// publishRequest carries an endpoint record. As a reply, it carries the acknowledgement of one.
type publishRequest struct {
	Endpoint discovery.Endpoint
	Accepted bool // true in a reply if the receiver has accepted the record
}

// Fields implements codec.Message.
func (p *publishRequest) Fields(v *codec.Visitor) {
	v.Message(1, &p.Endpoint)
	v.Bool(2, &p.Accepted)
}

// subscribeRequest asks a registry owner to notify a subscriber of changes of a service's endpoints, and requests the changes so far.
type subscribeRequest struct {
	Subscriber       string // internal address of the subscriber
	Service          string
	Since            uint64 // version of the owner's registry up to which the subscriber has the service's records; 0 for none
	OwnerIncarnation uint64 // incarnation of the owner whose registry Since refers to
}

// Fields implements codec.Message.
func (s *subscribeRequest) Fields(v *codec.Visitor) {
	v.String(1, &s.Subscriber)
	v.String(2, &s.Service)
	v.Uint64(3, &s.Since)
	v.Fixed64(4, &s.OwnerIncarnation)
}

// endpointList carries a registry owner's endpoint records of a service: all of them, or those that have changed since a version.
type endpointList struct {
	Service          string
	Version          uint64 // version of the owner's registry; 0 in an update
	Endpoints        []discovery.Endpoint
	OwnerIncarnation uint64 // incarnation of the owner; 0 in an update
}

// Fields implements codec.Message.
func (e *endpointList) Fields(v *codec.Visitor) {
	v.String(1, &e.Service)
	v.Uint64(2, &e.Version)
	codec.Messages(v, 3, &e.Endpoints)
	v.Fixed64(4, &e.OwnerIncarnation)
}

// versionNotice announces the version of the configuration applied at the sender.
type versionNotice struct{ Version uint64 }

// Fields implements codec.Message.
func (n *versionNotice) Fields(v *codec.Visitor) { v.Uint64(1, &n.Version) }

// configurationText carries the configuration applied at the sender. The text is empty in a request, and in a reply whose version is not
// higher than the requester's.
type configurationText struct {
	Version uint64 // configuration version; 0 if none is applied
	Text    []byte // JSON text, as it was submitted
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

// acknowledgement confirms that a message was processed.
type acknowledgement struct{ Accepted bool }

// Fields implements codec.Message.
func (a *acknowledgement) Fields(v *codec.Visitor) { v.Bool(1, &a.Accepted) }
