package transport

import (
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// IncomingCall is a call of a peer. Its handler must reply to it once, by Reply or ReplyBytes.
type IncomingCall struct {
	From      *Hello        // the peer's Hello
	Body      codec.Buffers // the marshalled request, which the handler may keep
	ExpiresAt time.Duration // expiry on this process's clock; 0 if the call never expires

	link          *Link
	stream        uint64
	method        uint64
	onCancel      func() // set by OnCancel; called at most once
	cancelled     bool   // whether the caller has cancelled the call, or its link has ended
	bodyBytes     int    // number of the body's bytes that were received
	reservedBytes int64  // number of Body's bytes that are reserved in Hub.callMemory
	overLimit     bool   // whether the call was rejected for lack of memory, and no handler is called
}

// OnCancel sets a function that is called once, without locks, when the caller cancels the call or its link ends. If that has already
// happened, OnCancel calls the function before it returns.
func (i *IncomingCall) OnCancel(f func()) {
	i.link.mu.Lock()
	i.onCancel = f
	cancelled := i.cancelled
	i.link.mu.Unlock()
	if cancelled {
		f()
	}
}

// Reply sends the reply to the call. It has no effect if the call has already got a reply, or if the link has ended.
func (i *IncomingCall) Reply(m codec.Message) { i.ReplyBytes(codec.Marshal(m)) }

// ReplyBytes is Reply for a message that is already marshalled. Nil is the empty reply, all of whose fields are zero.
func (i *IncomingCall) ReplyBytes(body codec.Buffers) {
	l := i.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.incoming[i.stream] != i {
		return
	}
	delete(l.incoming, i.stream)
	i.release()
	l.enqueue(newOutgoingReply(i.stream, body, l.hub.replyMemory))
	l.wakeWriter()
}

// cancel marks the call as cancelled, and calls the function that OnCancel has set. The caller must not hold the link's lock.
func (i *IncomingCall) cancel() {
	i.link.mu.Lock()
	notify := i.onCancel
	alreadyCancelled := i.cancelled
	i.cancelled = true
	i.link.mu.Unlock()
	if notify != nil && !alreadyCancelled {
		notify()
	}
}

// release releases the memory that is reserved for the call's body. The caller holds the link's lock.
func (i *IncomingCall) release() {
	i.link.hub.callMemory.Release(i.reservedBytes)
	i.reservedBytes = 0
}

// handleCall handles a chunk of a call. The last chunk dispatches the call.
func (l *Link) handleCall(e *envelope) error {
	call, err := l.assembleCall(e)
	switch {
	case err != nil || call == nil:
		return err
	default:
		l.hub.dispatch(call)
	}
	return nil
}

// assembleCall appends a chunk to a call of the peer. It returns the call if it is complete, otherwise nil. It fails if the call exceeds
// maxMessageBytes or maxCallBytes, if the link has too many calls, or if the call is complete already. If there is no memory for the call,
// it rejects the call at once, and discards the chunks that follow. It also discards what the reader has received before the link ended and
// handles after that.
func (l *Link) assembleCall(chunk *envelope) (*IncomingCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil // the memory of a call that came now would never be released
	}
	call := l.incomplete[chunk.stream]
	if call == nil {
		if len(l.incoming)+len(l.incomplete) >= maxPendingCalls {
			return nil, trace.LimitExceeded("over %d calls at once", maxPendingCalls)
		}
		if l.incoming[chunk.stream] != nil { // another call with its number would never release the memory of the first one
			return nil, trace.BadParameter("call %d was sent twice", chunk.stream)
		}
		call = l.newIncomingCall(chunk)
	}
	call.bodyBytes += len(chunk.body)
	if call.bodyBytes > min(maxMessageBytes, l.hub.maxCallBytes) {
		return nil, trace.LimitExceeded("a call of over %d bytes", call.bodyBytes)
	}
	call.appendChunk(chunk)
	if !chunk.last {
		l.incomplete[chunk.stream] = call
		return nil, nil
	}
	delete(l.incomplete, chunk.stream)
	if call.overLimit {
		return nil, nil
	}
	l.incoming[chunk.stream] = call
	return call, nil
}

// appendChunk appends a chunk to the call's body. If there is no memory for it, it rejects the call. The caller holds the link's lock.
func (i *IncomingCall) appendChunk(chunk *envelope) {
	size := int64(len(chunk.body))
	switch {
	case i.overLimit:
	case !i.link.hub.callMemory.Reserve(size):
		i.reject()
	case i.Body == nil && chunk.last: // the only chunk
		i.reservedBytes = size
		i.Body = codec.BuffersOf(chunk.body)
	default:
		i.reservedBytes += size
		i.Body = i.Body.AppendCopy(chunk.body)
	}
}

// reject discards the call's body and sends an empty reply, before the call is complete. The caller holds the link's lock.
func (i *IncomingCall) reject() {
	i.overLimit = true
	i.Body = nil
	i.release()
	i.link.enqueue(newOutgoingReply(i.stream, nil, nil))
	i.link.wakeWriter()
}

// newIncomingCall returns the call that a chunk belongs to, without the chunk. The caller holds the lock.
func (l *Link) newIncomingCall(e *envelope) *IncomingCall {
	call := &IncomingCall{link: l, stream: e.stream, From: &l.peerHello, method: e.method}
	if e.expiresAt != 0 {
		call.ExpiresAt = l.peerClock.toLocal(e.expiresAt)
	}
	return call
}

// handleCancel cancels a call of the peer. It discards an incomplete call, and notifies the handler of a complete one.
func (l *Link) handleCancel(e *envelope) {
	if call := l.dropIncomplete(e.stream); call != nil {
		call.cancel()
	}
}

// dropIncomplete discards the incomplete call with a stream number, if there is one. It returns the complete call with that number; nil if
// there is none.
func (l *Link) dropIncomplete(stream uint64) *IncomingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call := l.incomplete[stream]; call != nil {
		call.release()
		delete(l.incomplete, stream)
	}
	return l.incoming[stream]
}
