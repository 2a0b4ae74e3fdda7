package exchange

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// MaxBody bounds the body of one request and of one answer, in bytes.
const MaxBody = 64 << 10

// ErrBodyTooLarge is for what a peer sends beyond a bound.
var ErrBodyTooLarge = errors.New("too large")

// ReadAll reads a body of at most MaxBody bytes, or returns ErrBodyTooLarge. Space is taken as they come: a length is only a
// word.
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

// Budget bounds the bytes that are held for the bodies of all requests and answers together. The zero value has none. Any
// goroutine may use it.
type Budget struct{ left atomic.Int64 }

// Reserve takes n bytes, false where there are not so many.
func (b *Budget) Reserve(n int) bool {
	if b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release gives n bytes back, or in the first place.
func (b *Budget) Release(n int) { b.left.Add(int64(n)) }

// Available is how many there are.
func (b *Budget) Available() int64 { return b.left.Load() }
