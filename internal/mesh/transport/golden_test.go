package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/golden"
	"quincegap/internal/mesh/transport/codec"
)

// goldenClock is the time on the sender's clock in golden frames.
const goldenClock = 1500 * time.Millisecond

var goldenHello = Hello{
	Version: protocolVersion, Incarnation: 0x0102030405060708, Address: "127.0.0.1:7640", Name: "access-0", Zone: "a",
	Service: "desk",
}

func TestNumbersOfFrames(t *testing.T) {
	numbers := map[string]frameKind{
		"hello": helloFrame, "call": callFrame, "reply": replyFrame, "withdraw": cancelFrame, "ping": pingFrame,
		"pong": pongFrame, "leaving": leavingFrame,
	}
	qt.Assert(t, numbers, qt.DeepEquals,
		map[string]frameKind{"hello": 1, "call": 2, "reply": 3, "withdraw": 4, "ping": 5, "pong": 6, "leaving": 7})
	qt.Assert(t, protocolVersion, qt.Equals, 1)
	qt.Assert(t, []int{maxChunkBytes, maxFrameBytes, maxMessageBytes, maxPendingCalls}, qt.DeepEquals, []int{16384, 16640, 75497472, 4096})
}

func TestGoldenFrames(t *testing.T) {
	for _, test := range []struct {
		name  string
		frame envelope
	}{
		{"empty.hex", envelope{}},
		{"every-field.hex", envelope{
			kind: uint64(callFrame), stream: 300, method: 17, last: true, sentAt: goldenClock, expiresAt: 3 * time.Second,
			body: []byte("body"),
		}},
		{"negative-times.hex", envelope{kind: uint64(callFrame), stream: 1, method: 1, sentAt: -goldenClock, expiresAt: -time.Second}},
		{"hello.hex", envelope{kind: uint64(helloFrame), sentAt: goldenClock, body: codec.MarshalAppend(nil, &goldenHello)}},
		{"call.hex", envelope{
			kind: uint64(callFrame), stream: 1, method: 10, last: true, sentAt: goldenClock, expiresAt: 2 * time.Second,
			body: []byte("question"),
		}},
		{"call-part.hex", envelope{kind: uint64(callFrame), stream: 2, method: 1, sentAt: goldenClock, body: bytes.Repeat([]byte{0xab}, 300)}},
		{"reply.hex", envelope{kind: uint64(replyFrame), stream: 1, last: true, sentAt: goldenClock, body: []byte("answer")}},
		{"reply-empty.hex", envelope{kind: uint64(replyFrame), stream: 1, last: true, sentAt: goldenClock}},
		{"withdraw.hex", envelope{kind: uint64(cancelFrame), stream: 2, sentAt: goldenClock}},
		{"ping.hex", envelope{kind: uint64(pingFrame), sentAt: goldenClock}},
		{"pong.hex", envelope{kind: uint64(pongFrame), sentAt: goldenClock}},
		{"leaving.hex", envelope{kind: uint64(leavingFrame), sentAt: goldenClock}},
	} {
		t.Run(test.name, func(t *testing.T) {
			golden.Hex(t, test.name, appendFrame(nil, &test.frame))
			var got envelope
			r := bufio.NewReader(bytes.NewReader(golden.Read(t, test.name)))
			qt.Assert(t, readFrame(r, &got), qt.IsNil)
			_, err := r.ReadByte()
			qt.Assert(t, err, qt.Equals, io.EOF)
			qt.Assert(t, got.body, qt.DeepEquals, test.frame.body)
			got.body = test.frame.body
			qt.Assert(t, sameFrame(got, test.frame), qt.IsTrue, qt.Commentf("read frame %+v, want %+v", got, test.frame))
		})
	}
}

func sameFrame(a, b envelope) bool {
	return a.kind == b.kind && a.stream == b.stream && a.method == b.method && a.last == b.last && a.sentAt == b.sentAt &&
		a.expiresAt == b.expiresAt && bytes.Equal(a.body, b.body)
}

func TestGoldenHello(t *testing.T) {
	for _, test := range []struct {
		name  string
		hello Hello
	}{
		{"message-hello.hex", goldenHello},
		{"message-hello-least.hex", Hello{Version: protocolVersion, Incarnation: 1, Address: "127.0.0.1:7640"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			golden.Hex(t, test.name, codec.MarshalAppend(nil, &test.hello))
			var got Hello
			qt.Assert(t, codec.Unmarshal(golden.Read(t, test.name), &got), qt.IsNil)
			qt.Assert(t, got, qt.Equals, test.hello)
		})
	}
}

// rawPeer is the other end of a link, on which a test sends bytes. It records the frames that it reads, exactly as they were received
// except for sentAt, which it sets to goldenClock.
type rawPeer struct {
	*qt.C
	conn net.Conn
	r    *bufio.Reader
	read []byte // encoded frames that next has returned
}

func newRawPeer(t *testing.T, conn net.Conn) *rawPeer {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	qt.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return &rawPeer{C: qt.New(t), conn: conn, r: bufio.NewReader(conn)}
}

func (r *rawPeer) send(data []byte) {
	r.Helper()
	_, err := r.conn.Write(data)
	r.Assert(err, qt.IsNil)
}

// next reads, records and returns the next frame. It skips pings, which a hub sends if the machine is slow.
func (r *rawPeer) next() envelope {
	r.Helper()
	for {
		var head [4]byte
		_, err := io.ReadFull(r.r, head[:])
		r.Assert(err, qt.IsNil)
		data := append(head[:], make([]byte, binary.BigEndian.Uint32(head[:]))...)
		_, err = io.ReadFull(r.r, data[4:])
		r.Assert(err, qt.IsNil)
		var e envelope
		r.Assert(codec.Unmarshal(data[4:], &e), qt.IsNil)
		r.Assert(appendFrame(nil, &e), qt.DeepEquals, data)
		if e.kind == uint64(pingFrame) {
			continue
		}
		e.sentAt = goldenClock
		r.read = appendFrame(r.read, &e)
		return e
	}
}

// goldenHub returns a hub that sends goldenHello.
func goldenHub(t *testing.T) *Hub {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := NewHub(goldenHello, time.Now(), 8<<20, log)
	t.Cleanup(h.Close)
	return h
}

// The golden file has the frames of a hub that was dialled: its hello, replies, a pong, and the frame that it is draining.
func TestGoldenAcceptedLink(t *testing.T) {
	server := goldenHub(t)
	listener := listen(t)
	serveUntilEnd(t, server, listener)
	Handle(server, 1, func(_ context.Context, from *Hello, l *textMessage) *textMessage {
		return &textMessage{from.Name + " " + l.Text}
	})
	cancelled := make(chan struct{})
	server.HandleRaw(2, func(c *IncomingCall) {
		c.OnCancel(func() {
			c.ReplyBytes(codec.BuffersOf([]byte("withdrawn")))
			close(cancelled)
		})
	})
	peer := newRawPeer(t, dialRaw(t, listener.Addr().String()))
	peer.send(golden.Read(t, "hello.hex"))
	peer.next()
	question := codec.MarshalAppend(nil, &textMessage{"question"})
	peer.send(appendFrame(nil, &envelope{kind: uint64(callFrame), stream: 1, method: 1, body: question[:3]}))
	peer.send(appendFrame(nil, &envelope{kind: uint64(callFrame), stream: 1, method: 1, last: true, body: question[3:]}))
	peer.next()
	peer.send(appendFrame(nil, &envelope{kind: uint64(callFrame), stream: 2, method: 2, last: true}))
	peer.send(golden.Read(t, "withdraw.hex"))
	peer.next()
	<-cancelled
	peer.send(appendFrame(nil, &envelope{kind: uint64(callFrame), stream: 3, method: 99, last: true}))
	peer.next()
	peer.send(golden.Read(t, "ping.hex"))
	peer.next()
	peer.send(appendFrame(nil, &envelope{kind: 99, stream: 4})) // a frame kind of a later version, which the hub ignores
	again := codec.MarshalAppend(nil, &textMessage{"again"})
	peer.send(appendFrame(nil, &envelope{kind: uint64(callFrame), stream: 5, method: 1, last: true, body: again}))
	peer.next()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		server.Drain(server.Now() + 20*time.Second)
	}()
	peer.next()
	qt.Assert(t, peer.conn.Close(), qt.IsNil)
	<-drained
	golden.Hex(t, "accepted-link.hex", peer.read)
}

// The golden file has the frames of a hub that dials: its hello, calls of one frame and of several, and the cancellation of a call.
func TestGoldenDialledLink(t *testing.T) {
	client := goldenHub(t)
	listener := listen(t)
	defer func() { _ = listener.Close() }()
	type result struct {
		body []byte
		err  error
	}
	results := make(chan result, 2)
	done := func(body codec.Buffers, err error) { results <- result{body.Join(), err} }
	client.Send(listener.Addr().String(), 10, codec.BuffersOf([]byte("question")), 2*time.Second, done)
	conn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	peer := newRawPeer(t, conn)
	peer.next() // no call is sent before the peer's hello
	peer.send(golden.Read(t, "hello.hex"))
	peer.next()
	peer.send(golden.Read(t, "reply.hex"))
	first := <-results
	peer.Assert(first.err, qt.IsNil)
	peer.Assert(string(first.body), qt.Equals, "answer")
	call := client.Send(listener.Addr().String(), 1, codec.BuffersOf(bytes.Repeat([]byte{0xab}, maxChunkBytes+100)), 0, done)
	peer.Assert(peer.next().body, qt.HasLen, maxChunkBytes)
	peer.Assert(peer.next().body, qt.HasLen, 100)
	call.Cancel()
	peer.next()
	peer.send(appendFrame(nil, &envelope{kind: uint64(replyFrame), stream: 2, body: []byte("half")}))
	peer.send(appendFrame(nil, &envelope{kind: uint64(replyFrame), stream: 2, last: true, body: []byte(" and half")}))
	second := <-results
	peer.Assert(second.err, qt.IsNil)
	peer.Assert(string(second.body), qt.Equals, "half and half")
	golden.Hex(t, "dialled-link.hex", peer.read)
}
