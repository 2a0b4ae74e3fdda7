package transport

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// HandleRaw has f called for each call of a method, on its link's reader: it must not block.
func (h *Hub) HandleRaw(method uint64, handler func(*IncomingCall)) {
	h.handlersMu.Lock()
	defer h.handlersMu.Unlock()
	h.handlers[method] = handler
}

// dispatch hands a complete call to its method's handler. A method of a later version gets the empty reply, which says nothing.
func (h *Hub) dispatch(call *IncomingCall) {
	h.handlersMu.RLock()
	handler := h.handlers[call.method]
	h.handlersMu.RUnlock()
	if handler == nil {
		call.ReplyBytes(nil)
		return
	}
	handler(call)
}

// Handle has f called for each call of a method, on a goroutine of its own: it may block. ctx ends with the call's handling and when
// the hub is closed. A nil reply is the empty one, which says nothing. A request that can't be unmarshalled ends the link, with the
// cause in the log.
func Handle[Q, A any, PQ interface {
	*Q
	codec.Message
}, PA interface {
	*A
	codec.Message
}](h *Hub, method uint64, handler func(ctx context.Context, from *Hello, q *Q) *A) {
	h.HandleRaw(method, func(call *IncomingCall) {
		var request Q
		if err := codec.Unmarshal(call.Body, PQ(&request)); err != nil {
			h.log.WithField("peer", call.link.peer).WithField("method", method).WithError(err).
				Warn("transport: invalid request, the link is closed")
			call.link.fail(err.Error())
			return
		}
		go func() {
			ctx, cancel := context.WithCancel(h.ctx)
			defer cancel()
			if reply := handler(ctx, call.From, &request); reply != nil {
				call.Reply(PA(reply))
			} else {
				call.ReplyBytes(nil)
			}
		}()
	})
}

// Send calls a method of the process at an address. done is called once, on a goroutine of the hub's and never before Send returns,
// with the reply or with a ConnectionError; it must not block. The other side does not begin with the call after expiresAt, a time of
// this process's clock; 0 for never.
func (h *Hub) Send(address string, method uint64, body []byte, expiresAt time.Duration,
	done func(body []byte, err error),
) *PendingCall {
	call := &PendingCall{sendProgress: sendProgress{body: body}, method: method, expiresAt: expiresAt, done: done}
	for {
		if h.linkTo(address).startCall(call) {
			return call
		}
		// The link was retired between the two steps; the next one takes the call.
	}
}

// Request calls a method of the process at an address and waits for the reply. The error is a ConnectionError, that of ctx, or one that
// says that the reply can't be unmarshalled. A call whose ctx ends is cancelled.
func Request[A any, PA interface {
	*A
	codec.Message
}](ctx context.Context, h *Hub, address string, method uint64, q codec.Message) (*A, error) {
	type result struct {
		body []byte
		err  error
	}
	results := make(chan result, 1)
	call := h.Send(address, method, codec.MarshalAppend(nil, q), 0, func(body []byte, err error) { results <- result{body, err} })
	select {
	case r := <-results:
		if r.err != nil {
			return nil, r.err
		}
		var reply A
		if err := codec.Unmarshal(r.body, PA(&reply)); err != nil {
			return nil, trace.Wrap(err, "answer of %s to method %d", address, method)
		}
		return &reply, nil
	case <-ctx.Done():
		call.Cancel()
		return nil, ctx.Err()
	}
}
