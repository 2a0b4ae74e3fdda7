package outbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"quincegap/internal/mesh/control/configuration"
	"quincegap/internal/mesh/dataplane/outcome"
	"quincegap/internal/mesh/transport/codec"
)

// Bounds on the bodies of clients' requests, in addition to those of the configuration.
const (
	// unsizedBodyBuffer is the size in bytes of the first buffer for a body without a length.
	unsizedBodyBuffer = 512
	// minReservedBody is the size in bytes of the smallest body whose memory is reserved before it is read. Smaller ones do not wait for memory,
	// and are rejected if there is none.
	minReservedBody = 1 << 20
	// bodyWaitTargets bounds the wait of a body for memory, as a fraction of the request's latency target. A client that is rejected by then has
	// time to retry.
	bodyWaitTargets = 0.25
	// maxDiscardBytes bounds the bytes that are read and discarded of a rejected request's body.
	maxDiscardBytes = 1 << 20
	// discardTimeout bounds the time for reading and discarding a rejected request's body.
	discardTimeout = time.Second
)

// errBodyCapacity is returned when a body does not fit into Options.BodyMemory.
var errBodyCapacity = errors.New("bodies of requests in flight exceed their total size limit")

// readBody reads a request's body completely, as the body may have to be sent more than once. It returns the reason for a rejection;
// outcome.None if the request is not rejected. The caller must call releaseBody in both cases.
func (p *Proxy) readBody(config *configuration.Config, w http.ResponseWriter, req *http.Request, pending *request) outcome.Kind {
	declaredEmpty := req.ContentLength == 0 && len(req.Header[headerContentLength]) > 0
	pending.forward.HasBody = req.ContentLength > 0 || len(req.TransferEncoding) > 0 || declaredEmpty
	if req.Body == nil || req.Body == http.NoBody {
		return outcome.None
	}
	if req.ContentLength > config.Limits.BodyMax {
		return outcome.BodyTooLarge
	}
	reserved := req.ContentLength >= minReservedBody
	if reserved && !p.reserveBody(req, pending) {
		return p.classifyBodyError(errBodyCapacity)
	}
	controller := http.NewResponseController(w)
	p.bodyReads.begin(controller, time.Now().Add(pending.deadline-p.Now()))
	defer p.bodyReads.end(controller)
	firstBytes := int64(unsizedBodyBuffer)
	if req.ContentLength >= 0 {
		firstBytes = min(req.ContentLength+1, codec.MaxBufferBytes) // one more byte, so that the end is read without another buffer
	}
	body, err := codec.ReadAll(http.MaxBytesReader(w, req.Body, config.Limits.BodyMax), int(firstBytes), func(n int) error {
		if reserved {
			return nil
		}
		if !p.options.BodyMemory.Reserve(int64(n)) {
			return errBodyCapacity
		}
		pending.bodyBytes += int64(n)
		return nil
	})
	if err != nil {
		return p.classifyBodyError(err)
	}
	pending.forward.Body = body
	return outcome.None
}

// reserveBody reserves the memory of a request's body by its length. It waits for memory while the client can't send the body, and reports
// whether there was enough in time.
func (p *Proxy) reserveBody(req *http.Request, pending *request) bool {
	wait := time.Duration(bodyWaitTargets * float64(pending.targetDeadline-p.Now()))
	ctx, cancel := context.WithTimeout(req.Context(), wait)
	defer cancel()
	defer context.AfterFunc(p.shutdown.inFlight, cancel)() //nolint:contextcheck // the shutdown ends the wait, too
	if p.options.BodyMemory.ReserveWait(ctx, req.ContentLength) != nil {
		return false
	}
	pending.bodyBytes = req.ContentLength
	return true
}

// releaseBody releases the memory that readBody has reserved for a request's body.
func (p *Proxy) releaseBody(r *request) { p.options.BodyMemory.Release(r.bodyBytes) }

// classifyBodyError returns the outcome of a request whose body could not be read.
func (p *Proxy) classifyBodyError(err error) outcome.Kind {
	var tooLarge *http.MaxBytesError
	var netError net.Error
	switch {
	case errors.Is(err, errBodyCapacity) && p.shutdown.rejecting.Load():
		return outcome.ShuttingDown
	case errors.Is(err, errBodyCapacity):
		return outcome.Overloaded
	case errors.As(err, &tooLarge):
		return outcome.BodyTooLarge
	case errors.As(err, &netError) && netError.Timeout():
		if p.shutdown.rejecting.Load() {
			return outcome.ShuttingDown
		}
		return outcome.BodyTimeout
	}
	return outcome.Malformed
}

// discardBody reads the rest of the body of a request that is answered already, up to maxDiscardBytes and discardTimeout. The kernel resets
// a connection that is closed with unread bytes, and a reset may discard the answer before the client has read it.
func discardBody(w http.ResponseWriter, req *http.Request) {
	if req.Header.Get(headerExpect) != "" { // the client sends no body before it gets status 100
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout)) // fails only on a closed connection
	_, _ = io.CopyN(io.Discard, req.Body, maxDiscardBytes)                            // after a longer body the server closes the connection
}

// bodyReads tracks the bodies that are being read, by the controllers of their responses, and bounds the time for each. On shutdown it
// interrupts all reads, so that these requests are answered in time too. Errors of SetReadDeadline are ignored: it fails only on a closed
// connection, on which reads fail as well.
type bodyReads struct {
	mu      sync.Mutex
	stopped bool
	open    map[*http.ResponseController]struct{}
}

// begin starts tracking a body, which must be read by a deadline.
func (b *bodyReads) begin(controller *http.ResponseController, deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		deadline = time.Now()
	}
	if b.open == nil {
		b.open = map[*http.ResponseController]struct{}{}
	}
	b.open[controller] = struct{}{}
	_ = controller.SetReadDeadline(deadline)
}

// end stops tracking a body and resets the deadline. Without the reset, the server would treat a deadline that passes while the request is
// served as a disconnected client.
func (b *bodyReads) end(controller *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, controller)
	_ = controller.SetReadDeadline(time.Time{})
}

// stop interrupts the reads in progress and all later ones.
func (b *bodyReads) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for controller := range b.open {
		_ = controller.SetReadDeadline(time.Now())
	}
}
