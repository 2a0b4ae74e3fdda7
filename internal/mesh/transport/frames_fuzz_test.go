package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/mesh/transport/membudget"
)

// framePoolBytes and maxFuzzedCallBytes bound the memory of the hub that FuzzFrames tests.
const (
	framePoolBytes     = 100_000
	maxFuzzedCallBytes = 60_000
)

// discardConn is a connection that takes everything that is written, and to which the peer sends nothing.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }
func (discardConn) Close() error                { return nil }

// fuzzedLink is a link whose frames come from a fuzz test.
type fuzzedLink struct {
	hub   *Hub
	link  *Link
	ended int // number of this process's calls that have ended
}

// newFuzzedLink returns a link that was accepted, or one that was dialled and has three pending calls. No goroutine writes to it.
func newFuzzedLink(dialled bool) *fuzzedLink {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fuzzedLink{hub: NewHub(Hello{Incarnation: 7, Address: "127.0.0.1:1"}, time.Now(), maxFuzzedCallBytes, log)}
	f.hub.SetMemory(membudget.NewPool(framePoolBytes), membudget.NewPool(framePoolBytes))
	f.hub.HandleRaw(1, func(c *IncomingCall) { c.ReplyBytes(c.Body) })
	f.hub.HandleRaw(2, func(*IncomingCall) {}) // never replies
	f.link = newLink(f.hub, "peer", dialled)
	f.link.attach(discardConn{})
	if dialled {
		for range fuzzedCalls {
			f.link.startCall(&PendingCall{done: func(codec.Buffers, error) { f.ended++ }})
		}
	}
	return f
}

const fuzzedCalls = 3

// receive handles all frames in data, and checks after each that the link is within its bounds. It returns the error that has ended it.
func (f *fuzzedLink) receive(t *testing.T, data []byte) error {
	t.Helper()
	reader := bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)
	for {
		var frame envelope
		if err := readFrame(reader, &frame); err != nil {
			return err
		}
		if err := f.link.handleFrame(&frame); err != nil {
			return err
		}
		f.checkBounds(t)
	}
}

// checkBounds checks what the link holds for its peer.
func (f *fuzzedLink) checkBounds(t *testing.T) {
	t.Helper()
	if used := f.hub.callMemory.Used(); used > framePoolBytes {
		t.Fatalf("calls take %d bytes, want %d at most", used, framePoolBytes)
	}
	f.link.mu.Lock()
	defer f.link.mu.Unlock()
	if n := len(f.link.incoming) + len(f.link.incomplete); n > maxPendingCalls {
		t.Fatalf("%d calls of the peer, want %d at most", n, maxPendingCalls)
	}
	if f.link.queue.pongs > 1 {
		t.Fatalf("%d pongs are queued, want one at most", f.link.queue.pongs)
	}
	if len(f.link.pending) > fuzzedCalls {
		t.Fatalf("%d pending calls, want %d at most", len(f.link.pending), fuzzedCalls)
	}
}

// close ends the link, and checks that nothing is left of it.
func (f *fuzzedLink) close(t *testing.T) {
	t.Helper()
	f.link.fail(reasonClosed)
	f.hub.Close()
	checkLinkEmpty(t, f.link)
	checkConserved(t, f.hub)
}

// FuzzFrames handles any bytes of a peer as frames. No bound is exceeded, an error says why, and nothing is left after the link.
func FuzzFrames(f *testing.F) {
	for _, dialled := range []bool{false, true} {
		for _, frames := range fuzzedFrames() {
			data := helloBytes(Hello{Version: protocolVersion, Name: "peer"})
			for _, frame := range frames {
				data = appendFrame(data, &frame)
			}
			f.Add(data, dialled)
		}
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff}, false)
	f.Add(helloBytes(Hello{Version: 99}), false)
	f.Fuzz(func(t *testing.T, data []byte, dialled bool) {
		link := newFuzzedLink(dialled)
		err := link.receive(t, data)
		if err == nil || err.Error() == "" {
			t.Fatalf("error %v, want a reason", err)
		}
		if errors.Is(err, io.EOF) && link.link.peerGreeted && link.link.peerHello.Version != protocolVersion {
			t.Fatalf("the hello %+v was accepted", link.link.peerHello)
		}
		link.close(t)
	})
}

// fuzzedFrames returns sequences of frames of each kind, in and out of order.
func fuzzedFrames() [][]envelope {
	chunk := make([]byte, maxChunkBytes)
	call := func(stream, method uint64, last bool) envelope {
		return envelope{kind: uint64(callFrame), stream: stream, method: method, last: last, body: chunk, expiresAt: time.Second}
	}
	reply := func(stream uint64, last bool) envelope {
		return envelope{kind: uint64(replyFrame), stream: stream, last: last, body: chunk}
	}
	return [][]envelope{
		{call(1, 1, false), call(2, 2, false), call(1, 1, true), {kind: uint64(cancelFrame), stream: 2}, {kind: uint64(pingFrame)}},
		{call(1, 2, true), {kind: uint64(cancelFrame), stream: 1}, call(1, 2, true), call(1, 2, true)},
		{call(1, 2, false), call(1, 2, false), call(1, 2, false), call(1, 2, false), call(1, 2, false)},
		{reply(1, false), reply(1, true), reply(1, true), reply(2, true), reply(9, false)},
		{{kind: uint64(pingFrame)}, {kind: uint64(pongFrame)}, {kind: uint64(leavingFrame)}, {kind: 99}, {kind: uint64(helloFrame)}},
	}
}

// A call with the number of one that had no reply yet replaced it, and the memory of the first one was never released.
func TestCallThatIsSentTwiceEndsItsLink(t *testing.T) {
	link := newFuzzedLink(false)
	call := envelope{kind: uint64(callFrame), stream: 1, method: 2, last: true, body: make([]byte, 1000)}
	data := helloBytes(Hello{Version: protocolVersion, Name: "peer"})
	for range 2 {
		data = appendFrame(data, &call)
	}
	qt.Assert(t, link.receive(t, data), qt.ErrorMatches, "(?s).*call 1 was sent twice.*")
	link.close(t)
}
