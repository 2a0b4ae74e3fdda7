package exchange

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// MaxBody bounds the body of one request and of one answer, in bytes.
const MaxBody = 64 << 10

// ErrBodyTooLarge is returned if a peer sends more than a bound allows.
var ErrBodyTooLarge = errors.New("too large")

// ReadAll reads a body of at most MaxBody bytes; it returns ErrBodyTooLarge for a longer one. Memory is allocated as the bytes come: a
// peer may announce a length and send nothing.
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

// Budget bounds the memory for the bodies of all requests and answers together, in bytes. The zero value has none left. It is safe for
// concurrent use.
type Budget struct{ left atomic.Int64 }

// Reserve reserves n bytes. It returns false, and reserves nothing, if fewer are left.
func (b *Budget) Reserve(n int) bool {
	if b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release returns n bytes to the budget. It also fills a new one.
func (b *Budget) Release(n int) { b.left.Add(int64(n)) }

// Available returns how many bytes are left.
func (b *Budget) Available() int64 { return b.left.Load() }
