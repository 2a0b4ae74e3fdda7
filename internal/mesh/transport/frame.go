// Package transport carries messages between the system's own processes: one TCP connection to a neighbour carries many calls at
// once, each answered once. Frames are a length of four bytes and a protobuf envelope; what is longer than a piece goes out
// piece by piece, in turn with all else, so that a large answer does not hold up a small one.
package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

// Bounds of what one connection may hold.
const (
	pieceMost   = 16 << 10        // bytes of a message in one frame
	frameMost   = pieceMost + 256 // and with its envelope
	messageMost = 72 << 20        // bytes of one message, the largest body of a request and its head
	callsMost   = 4096            // calls of one neighbour at once
	version     = 1               // of this protocol; a higher one in Hello is fine, another major is not spoken
)

// kind is what a frame is for.
type kind uint64

const (
	helloFrame    kind = 1 + iota
	callFrame          // a piece of a call
	replyFrame         // a piece of the reply to a call, by its stream
	withdrawFrame      // the caller has given the call up; the reply says how far it had come
	pingFrame          // wants a pong; sent when nothing has been heard
	pongFrame
	leavingFrame // the sender is about to end: what is under way is answered, nothing new is to come on this connection
)

// envelope is one frame.
type envelope struct {
	kind    uint64
	stream  uint64
	method  uint64
	last    bool
	clock   time.Duration // the sender's, when it was written
	expires time.Duration // of a call, on the sender's clock; 0 for never
	body    []byte
}

func (e *envelope) Fields(v *codec.Visitor) {
	v.Uint(1, &e.kind)
	v.Uint(2, &e.stream)
	v.Uint(3, &e.method)
	v.Bool(4, &e.last)
	v.Time(5, &e.clock)
	v.Time(6, &e.expires)
	v.Bytes(7, &e.body)
}

// Hello is how two processes greet each other; the first frame of each.
type Hello struct {
	Version uint64
	Life    uint64 // random, new at each start
	Address string // where its peers reach it
	Name    string // of its machine, for people
	Zone    string
	Service string // of the endpoint beside it; empty for none
}

// Fields names the fields of a Hello.
func (h *Hello) Fields(v *codec.Visitor) {
	v.Uint(1, &h.Version)
	v.Fixed(2, &h.Life)
	v.Text(3, &h.Address)
	v.Text(4, &h.Name)
	v.Text(5, &h.Zone)
	v.Text(6, &h.Service)
}

func appendFrame(buf []byte, e *envelope) []byte {
	at := len(buf)
	buf = codec.Write(append(buf, 0, 0, 0, 0), e)
	binary.BigEndian.PutUint32(buf[at:], uint32(len(buf)-at-4))
	return buf
}

// readFrame reads one frame; what it holds is the caller's.
func readFrame(r *bufio.Reader, e *envelope) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameMost {
		return trace.LimitExceeded("a frame of %d bytes, %d at most", n, frameMost)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return trace.Wrap(err, "half a frame")
	}
	*e = envelope{}
	return trace.Wrap(codec.Read(data, e), "frame")
}
