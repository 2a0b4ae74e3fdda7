package transport

import (
	"bufio"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

// acceptedLink waits for the first accepted link of a hub whose peer has sent its hello, and returns it.
func acceptedLink(t *testing.T, h *Hub) *Link {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		links, _ := h.allLinks()
		for _, l := range links {
			l.mu.Lock()
			greeted := l.peerGreeted
			l.mu.Unlock()
			if greeted {
				return l
			}
		}
	}
	t.Fatal("no link within 20 s")
	return nil
}

// sendWithoutReading sends frames until the connection does not take them any more, or has ended, and reads nothing.
func sendWithoutReading(conn net.Conn, frames []byte) {
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // fails only on a closed connection
	for {
		if _, err := conn.Write(frames); err != nil {
			return
		}
	}
}

// repeatFrame returns a number of copies of an encoded frame.
func repeatFrame(count int, frame *envelope) (frames []byte) {
	for range count {
		frames = appendFrame(frames, frame)
	}
	return frames
}

// queuedBytes returns the size of all that a link has to send.
func queuedBytes(l *Link) (bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.queue.small.Len() {
		bytes += l.queue.small.At(i).progress().unsentBytes
	}
	return bytes
}

// A peer that pings and reads nothing made a process hold a pong for each ping.
func TestPeerThatDoesNotReadGetsOnePong(t *testing.T) {
	server, address, _ := newTestHub(t, "server", 1<<20)
	conn := dialRaw(t, address)
	_, err := conn.Write(helloBytes(Hello{Version: protocolVersion, Name: "pings"}))
	qt.Assert(t, err, qt.IsNil)
	link := acceptedLink(t, server)
	sendWithoutReading(conn, repeatFrame(1000, &envelope{kind: uint64(pingFrame)}))
	link.mu.Lock()
	defer link.mu.Unlock()
	qt.Assert(t, link.queue.control.Len() <= 2, qt.IsTrue, qt.Commentf("%d frames are queued", link.queue.control.Len()))
}

// A peer that calls and reads nothing made a process hold all its replies.
func TestRepliesThatAreNotReadAreBounded(t *testing.T) {
	server, address, _ := newTestHub(t, "server", 1<<20)
	reply := make([]byte, maxChunkBytes)
	server.HandleRaw(1, func(call *IncomingCall) { call.ReplyBytes(codec.BuffersOf(reply)) })
	conn := dialRaw(t, address)
	_, err := conn.Write(helloBytes(Hello{Version: protocolVersion, Name: "calls"}))
	qt.Assert(t, err, qt.IsNil)
	link := acceptedLink(t, server)
	sendWithoutReading(conn, repeatFrame(1000, &envelope{kind: uint64(callFrame), stream: 1, method: 1, last: true}))
	held := queuedBytes(link)
	qt.Assert(t, held <= maxQueuedReplyBytes+maxChunkBytes+replyOverheadBytes, qt.IsTrue, qt.Commentf("%d bytes are queued", held))
}

// A peer that reads many replies slowly, and sends nothing meanwhile, must not count as silent.
func TestSlowPeerGetsAllItsReplies(t *testing.T) {
	const calls, replyBytes = 400, maxChunkBytes
	const readTime = idlePingDelay + pongTimeout + 3*time.Second
	server, address, _ := newTestHub(t, "server", 1<<20)
	received := make(chan *IncomingCall, calls)
	server.HandleRaw(1, func(call *IncomingCall) { received <- call })
	conn := dialRaw(t, address)
	frames := helloBytes(Hello{Version: protocolVersion, Name: "slow"})
	for i := range calls {
		frames = appendFrame(frames, &envelope{kind: uint64(callFrame), stream: uint64(i + 1), method: 1, last: true})
	}
	_, err := conn.Write(frames)
	qt.Assert(t, err, qt.IsNil)
	var incoming []*IncomingCall
	for range calls {
		incoming = append(incoming, <-received)
	}
	for _, call := range incoming {
		call.ReplyBytes(codec.BuffersOf(make([]byte, replyBytes)))
	}
	reader := bufio.NewReaderSize(conn, maxChunkBytes)
	for began, complete := time.Now(), 0; complete < calls; {
		var frame envelope
		qt.Assert(t, readFrame(reader, &frame), qt.IsNil)
		if frame.last {
			complete++
		}
		if time.Since(began) < readTime {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// A call to a peer that reads nothing kept its body after it was cancelled.
func TestCancelledCallReleasesItsBody(t *testing.T) {
	listener := listen(t)
	client, _, _ := newTestHub(t, "client", 1<<20)
	for _, size := range []int{100, 10 * maxChunkBytes} {
		call := client.Send(listener.Addr().String(), 1, codec.BuffersOf(make([]byte, size)), 0, func(codec.Buffers, error) {})
		call.Cancel()
		call.link.mu.Lock()
		qt.Check(t, call.rest.Len()+len(call.current), qt.Equals, 0)
		call.link.mu.Unlock()
	}
}

// A connection whose peer sent other frames than a hello stayed for as long as the peer liked.
func TestPeerWithoutHelloIsDisconnected(t *testing.T) {
	_, address, out := newTestHub(t, "server", 1<<20)
	sendUntilDisconnected(t, address, repeatFrame(1, &envelope{kind: uint64(pingFrame)}), false)
	out.awaitLine(t, "the first frame is not a hello")
}
