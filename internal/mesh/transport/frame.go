package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/transport/codec"
)

const (
	maxChunkBytes   = 16 << 10            // largest part of a message in one frame
	maxFrameBytes   = maxChunkBytes + 256 // largest chunk and its envelope
	maxMessageBytes = 72 << 20            // largest complete message; fits the largest body of a request and its header
	protocolVersion = 1                   // Hello.Version of this process; a link to a peer with another version is closed
	lengthBytes     = 4                   // size of the length that precedes a frame
)

// frameKind is the type of a frame. The numbers are part of the protocol.
type frameKind uint64

const (
	helloFrame   frameKind = 1 // the body is a Hello; each side sends it exactly once, as its first frame
	callFrame    frameKind = 2 // a chunk of a call
	replyFrame   frameKind = 3 // a chunk of the reply to the call with the same stream number
	cancelFrame  frameKind = 4 // the caller has cancelled the call, which still gets a reply
	pingFrame    frameKind = 5 // requests a pong
	pongFrame    frameKind = 6 // the response to a ping
	leavingFrame frameKind = 7 // the sender is draining: it replies to the calls that it has received, and accepts no new ones on this link
)

// envelope is a frame without its length.
type envelope struct {
	kind      uint64        // a frameKind; receivers ignore unknown kinds
	stream    uint64        // stream number of the call; 0 in frames that belong to no call
	method    uint64        // method of the call; 0 in frames other than callFrame
	last      bool          // whether the chunk completes its message
	sentAt    time.Duration // time of sending on the sender's clock
	expiresAt time.Duration // expiry of a call on the sender's clock; 0 if it never expires
	body      []byte        // a chunk or a Hello; empty in other frames
}

// Fields implements codec.Message.
func (e *envelope) Fields(v *codec.Visitor) {
	v.Uint64(1, &e.kind)
	v.Uint64(2, &e.stream)
	v.Uint64(3, &e.method)
	v.Bool(4, &e.last)
	v.Duration(5, &e.sentAt)
	v.Duration(6, &e.expiresAt)
	v.Bytes(7, &e.body)
}

// Hello identifies a process to its peer. It is the body of the first frame that a process sends on a link.
type Hello struct {
	Version     uint64 // protocol version; protocolVersion in every Hello that is sent
	Incarnation uint64 // random number that is chosen at each start of the process
	Address     string // host:port at which peers reach the process
	Name        string // name of the process's machine, for logs
	Zone        string // zone of the process's machine
	Service     string // service of the endpoint beside the process; empty if there is none
}

// Fields implements codec.Message.
func (h *Hello) Fields(v *codec.Visitor) {
	v.Uint64(1, &h.Version)
	v.Fixed64(2, &h.Incarnation)
	v.String(3, &h.Address)
	v.String(4, &h.Name)
	v.String(5, &h.Zone)
	v.String(6, &h.Service)
}

// appendFrame appends a frame and the length that precedes it to buf, and returns the extended buffer.
func appendFrame(buf []byte, frame *envelope) []byte {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf = codec.MarshalAppend(buf, frame)
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthBytes))
	return buf
}

// readFrame reads the next frame into frame. Its body is newly allocated, so that later frames do not overwrite it. The error is io.EOF if
// the connection ends between two frames. A frame that is truncated, too long or can't be unmarshalled is an error, too.
func readFrame(r *bufio.Reader, frame *envelope) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrameBytes {
		return trace.LimitExceeded("a frame of %d bytes, %d at most", n, maxFrameBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return trace.Wrap(err, "the connection ended within a frame")
	}
	*frame = envelope{}
	return trace.Wrap(codec.Unmarshal(data, frame), "frame")
}
