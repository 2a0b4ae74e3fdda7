package transport

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// HandleRaw registers the handler of a method. It is called on the goroutine that reads the link, and must not block.
func (h *Hub) HandleRaw(method uint64, handler func(*IncomingCall)) {
	h.handlersMu.Lock()
	defer h.handlersMu.Unlock()
	h.handlers[method] = handler
}

// dispatch calls the handler of a complete call. A call of an unknown method, of a later version, gets the empty reply.
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

// Handle registers the handler of a method, with the types of its request and reply. The handler is called on a goroutine of its own, and
// may block. ctx ends when the handler returns or the hub is closed. If the handler returns nil, the call gets the empty reply, all fields
// of which are zero. A request that can't be unmarshalled closes the link, and is logged.
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

// Send calls a method of the process at an address, and dials a link if there is none. done is called once, on another goroutine, with the
// reply or a ConnectionError; it must not block. The peer does not start to execute the call after expiresAt, a time on this process's
// clock; 0 for no expiry.
func (h *Hub) Send(address string, method uint64, body []byte, expiresAt time.Duration,
	done func(body []byte, err error),
) *PendingCall {
	call := &PendingCall{sendProgress: sendProgress{body: body}, method: method, expiresAt: expiresAt, done: done}
	for {
		if h.linkTo(address).startCall(call) {
			return call
		}
		// The link was retired after linkTo returned it; the next call of linkTo returns another one.
	}
}

// Request calls a method of the process at an address and waits for the reply. The error is a *ConnectionError, ctx.Err(), or that of
// codec.Unmarshal for the reply, wrapped. If ctx ends the call is cancelled.
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
