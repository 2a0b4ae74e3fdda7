package transport

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// HandleRaw registers the handler of a method. The handler is called on the goroutine that reads the link, and must not block.
func (h *Hub) HandleRaw(method uint64, handler func(*IncomingCall)) {
	h.handlersMu.Lock()
	defer h.handlersMu.Unlock()
	h.handlers[method] = handler
}

// dispatch calls the handler of a complete call. A call of an unknown method, which a later version may have, gets an empty reply.
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

// Handle registers the handler of a method, with the types of its request and reply. Each call of the handler runs on a dedicated
// goroutine, and may block. ctx ends when the handler returns or the hub is closed. If the handler returns nil, the call gets an empty
// reply, all fields of which are zero. A request that can't be unmarshalled is logged, and closes the link.
func Handle[Q, A any, PQ interface {
	*Q
	codec.Message
}, PA interface {
	*A
	codec.Message
}](h *Hub, method uint64, handler func(ctx context.Context, from *Hello, q *Q) *A) {
	h.HandleRaw(method, func(call *IncomingCall) {
		var request Q
		if err := codec.UnmarshalBuffers(call.Body, PQ(&request)); err != nil {
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

// Send calls a method of the process at an address. It dials a link if there is none. done is called once, on another goroutine, with the
// reply or a *ConnectionError; it must not block. expiresAt is the time, on this process's clock, after which the peer does not start to
// execute the call; 0 if the call never expires.
func (h *Hub) Send(address string, method uint64, body codec.Buffers, expiresAt time.Duration,
	done func(body codec.Buffers, err error),
) *PendingCall {
	call := &PendingCall{sendProgress: newSendProgress(0, body), method: method, expiresAt: expiresAt, done: done}
	for {
		if h.linkTo(address).startCall(call) {
			return call
		}
		// The link was retired after linkTo had returned it; the next call of linkTo returns another link.
	}
}

// Request calls a method of the process at an address and waits for the reply. The error is a *ConnectionError, ctx.Err(), or the wrapped
// error of codec.Unmarshal if the reply is invalid. When ctx ends, Request cancels the call and returns.
func Request[A any, PA interface {
	*A
	codec.Message
}](ctx context.Context, h *Hub, address string, method uint64, q codec.Message) (*A, error) {
	type result struct {
		body codec.Buffers
		err  error
	}
	results := make(chan result, 1)
	call := h.Send(address, method, codec.Marshal(q), 0, func(body codec.Buffers, err error) { results <- result{body, err} })
	select {
	case r := <-results:
		if r.err != nil {
			return nil, r.err
		}
		var reply A
		if err := codec.UnmarshalBuffers(r.body, PA(&reply)); err != nil {
			return nil, trace.Wrap(err, "unmarshal the reply of %s to method %d", address, method)
		}
		return &reply, nil
	case <-ctx.Done():
		call.Cancel()
		return nil, ctx.Err()
	}
}
