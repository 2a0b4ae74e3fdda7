package controlplane

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/membudget"
)

const (
	// maxBodyBytes is the size of the largest configuration. Each process of the mesh keeps the configuration several times: as text, parsed,
	// and in its consensus record.
	maxBodyBytes = 8 << 20
	// maxDiscardedBytes is the size of the largest body that is read and discarded, so that its sender gets the answer that it is too large.
	maxDiscardedBytes = 64 << 20
	// bodyTimeout is the time within which a body must arrive. Until then it holds memory that other calls wait for.
	bodyTimeout = 10 * time.Second
	// memoryWait is how long a body waits for memory before it is read.
	memoryWait = 500 * time.Millisecond
	// processingFactor is the memory that a change takes while it is parsed and committed, as a multiple of its size.
	processingFactor = 8
)

// MaxProcessingBytes is the memory that the largest change takes while it is parsed and committed. A pool for OrderMemory.Processing must
// fit it.
const MaxProcessingBytes = processingFactor * maxBodyBytes

// OrderMemory bounds the memory that operators' changes take. A nil pool has no limit.
type OrderMemory struct {
	Bodies     *membudget.Pool // bodies, from before they are read until they are answered
	Processing *membudget.Pool // what changes take beyond their bodies while they are parsed and committed
}

// Errors of readBody. Any other error means that the body did not arrive completely.
var (
	errBodyTooLarge = &trace.LimitExceededError{Message: fmt.Sprintf("the body: expected %d bytes at most", maxBodyBytes)}
	errNoMemory     = &trace.LimitExceededError{Message: "too many large changes at once"}
)

// orderBody is a body that was read, and the memory that is reserved for it.
type orderBody struct {
	text          []byte
	pool          *membudget.Pool
	reservedBytes int64
}

// release releases the memory of the body.
func (o *orderBody) release() { o.pool.Release(o.reservedBytes) }

// readBody reads the body of a request into memory that it reserves before. A body that is too large is discarded while it arrives. The
// caller releases the body, unless there is an error.
func (o *OrderMemory) readBody(w http.ResponseWriter, request *http.Request) (*orderBody, error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // a connection without deadlines is one of a test
	size := request.ContentLength
	if size > maxBodyBytes {
		_, _ = io.CopyN(io.Discard, request.Body, maxDiscardedBytes) // an error means that the client has left
		return nil, errBodyTooLarge
	}
	if size < 0 {
		size = maxBodyBytes + 1 // unknown
	}
	ctx, cancel := context.WithTimeout(request.Context(), memoryWait)
	defer cancel()
	if err := o.Bodies.ReserveWait(ctx, size); err != nil {
		return nil, errNoMemory
	}
	body := &orderBody{pool: o.Bodies, reservedBytes: size}
	if err := body.read(request, size); err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// read reads a body of size bytes, or of fewer if its length is not known beforehand.
func (o *orderBody) read(request *http.Request, size int64) (err error) {
	if request.ContentLength >= 0 {
		o.text = make([]byte, size)
		_, err = io.ReadFull(request.Body, o.text)
		return err
	}
	o.text, err = io.ReadAll(io.LimitReader(request.Body, size))
	if err == nil && int64(len(o.text)) == size {
		_, _ = io.CopyN(io.Discard, request.Body, maxDiscardedBytes)
		return errBodyTooLarge
	}
	return err
}

// reserveProcessing reserves the memory for parsing and committing a change of the given size. It waits until ctx ends.
func (o *OrderMemory) reserveProcessing(ctx context.Context, size int) (release func(), err error) {
	reserved := int64(size) * processingFactor
	if err := o.Processing.ReserveWait(ctx, reserved); err != nil {
		return nil, errNoMemory
	}
	return func() { o.Processing.Release(reserved) }, nil
}
