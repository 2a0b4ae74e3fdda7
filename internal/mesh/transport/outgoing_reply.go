package transport

import (
	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/mesh/transport/membudget"
)

// outgoingReply is a reply that is being sent.
type outgoingReply struct {
	sendProgress
	memory       *membudget.Pool // pool that the reply's bytes are charged to until they were sent
	chargedBytes int64
}

// newOutgoingReply returns a reply. The bytes of a large reply are charged to memory.
func newOutgoingReply(stream uint64, body codec.Buffers, memory *membudget.Pool) *outgoingReply {
	reply := &outgoingReply{sendProgress: newSendProgress(stream, body), memory: memory}
	if reply.unsentBytes > maxChunkBytes {
		reply.chargedBytes = int64(reply.unsentBytes)
		memory.Charge(reply.chargedBytes)
	}
	return reply
}

// release releases the memory that is charged for the reply.
func (o *outgoingReply) release() {
	o.memory.Release(o.chargedBytes)
	o.chargedBytes = 0
}
