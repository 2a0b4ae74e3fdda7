package transport

import (
	"quincegap/internal/mesh/transport/codec"
)

// sendProgress is a message that is being sent, and how much of it was sent. The lock of its link guards it.
type sendProgress struct {
	stream      uint64
	current     []byte        // the buffer that is being sent, without what was added to a write
	rest        codec.Buffers // the buffers after current
	unsentBytes int           // number of bytes in current and rest
	sentBytes   int           // number of the message's bytes that were added to a write
	transfer    *transfer     // shaper's state for a message of several chunks; nil for a smaller message
}

func newSendProgress(stream uint64, body codec.Buffers) sendProgress {
	return sendProgress{stream: stream, rest: body, unsentBytes: body.Len()}
}

// releaseBody drops the unsent part of a message that is not sent any more. The message may stay in its queue for as long as the peer reads
// nothing.
func (s *sendProgress) releaseBody() {
	s.current = nil
	s.rest = nil
}

// next takes the next limit bytes, or all if there are fewer, off the unsent ones. A chunk that extends over several buffers is copied to
// scratch; the returned slice is valid until scratch is used again.
func (s *sendProgress) next(limit int, scratch *[]byte) (chunk []byte) {
	size := min(limit, s.unsentBytes)
	s.unsentBytes -= size
	s.sentBytes += size
	chunk = s.take(size)
	if len(chunk) == size {
		return chunk
	}
	*scratch = append((*scratch)[:0], chunk...)
	for len(*scratch) < size {
		*scratch = append(*scratch, s.take(size-len(*scratch))...)
	}
	return *scratch
}

// take takes up to n bytes off the current buffer; the next buffer becomes the current one if that is empty.
func (s *sendProgress) take(n int) (taken []byte) {
	if len(s.current) == 0 && len(s.rest) > 0 {
		s.current, s.rest = s.rest[0], s.rest[1:]
	}
	n = min(n, len(s.current))
	taken, s.current = s.current[:n], s.current[n:]
	return taken
}
