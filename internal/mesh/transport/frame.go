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
	maxChunkBytes   = 16 << 10            // bytes of a message in one frame
	maxFrameBytes   = maxChunkBytes + 256 // and with its envelope
	maxMessageBytes = 72 << 20            // bytes of one message, the largest body of a request and its head
	maxPendingCalls = 4096                // calls of one neighbour at once
	protocolVersion = 1                   // of this protocol; a higher one in Hello is fine, another major is not spoken
)

// frameKind is what a frame is for.
type frameKind uint64

const (
	helloFrame  frameKind = 1 + iota
	callFrame             // a piece of a call
	replyFrame            // a piece of the reply to a call, by its stream
	cancelFrame           // the caller has given the call up; the reply says how far it had come
	pingFrame             // wants a pong; sent when nothing has been heard
	pongFrame
	leavingFrame // the sender is about to end: what is under way is answered, nothing new is to come on this connection
)

// envelope is one frame.
type envelope struct {
	kind      uint64
	stream    uint64
	method    uint64
	last      bool
	sentAt    time.Duration // the sender's, when it was written
	expiresAt time.Duration // of a call, on the sender's clock; 0 for never
	body      []byte
}

func (e *envelope) Fields(v *codec.Visitor) {
	v.Uint64(1, &e.kind)
	v.Uint64(2, &e.stream)
	v.Uint64(3, &e.method)
	v.Bool(4, &e.last)
	v.Duration(5, &e.sentAt)
	v.Duration(6, &e.expiresAt)
	v.Bytes(7, &e.body)
}

// Hello is how two processes greet each other; the first frame of each.
type Hello struct {
	Version     uint64
	Incarnation uint64 // random, new at each start
	Address     string // where its peers reach it
	Name        string // of its machine, for people
	Zone        string
	Service     string // of the endpoint beside it; empty for none
}

// Fields names the fields of a Hello.
func (h *Hello) Fields(v *codec.Visitor) {
	v.Uint64(1, &h.Version)
	v.Fixed64(2, &h.Incarnation)
	v.String(3, &h.Address)
	v.String(4, &h.Name)
	v.String(5, &h.Zone)
	v.String(6, &h.Service)
}

func appendFrame(buf []byte, e *envelope) []byte {
	at := len(buf)
	buf = codec.MarshalAppend(append(buf, 0, 0, 0, 0), e)
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
	if n > maxFrameBytes {
		return trace.LimitExceeded("a frame of %d bytes, %d at most", n, maxFrameBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return trace.Wrap(err, "half a frame")
	}
	*e = envelope{}
	return trace.Wrap(codec.Unmarshal(data, e), "frame")
}
