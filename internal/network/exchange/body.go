package exchange

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// MaxBody is the maximum size of a request body and of a response body, in bytes.
const MaxBody = 64 << 10

// ErrBodyTooLarge means that a peer sent a larger body or message than the limit allows.
var ErrBodyTooLarge = errors.New("body or message exceeds its size limit")

// ReadAll reads a body of at most MaxBody bytes; it returns ErrBodyTooLarge for a longer one. Memory is allocated as the bytes arrive,
// because a peer may announce a large body and send nothing.
func ReadAll(body io.Reader) ([]byte, error) {
	b := bytes.NewBuffer(make([]byte, 0, bytes.MinRead))
	if _, err := b.ReadFrom(io.LimitReader(body, MaxBody+1)); err != nil {
		return nil, err
	}
	if b.Len() > MaxBody {
		return nil, ErrBodyTooLarge
	}
	return b.Bytes(), nil
}

// Budget limits the memory for the bodies of all requests and responses together, in bytes. The zero value has no bytes available; Release
// adds the initial ones. A Budget is safe for concurrent use.
type Budget struct{ available atomic.Int64 }

// Reserve reserves n bytes. If fewer are available it reserves nothing and returns false.
func (b *Budget) Reserve(n int) bool {
	if b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release returns n reserved bytes to the budget. It also sets the size of a new budget.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Available returns the number of bytes that can be reserved.
func (b *Budget) Available() int64 { return b.available.Load() }
