package transport

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
	"quincegap/internal/mesh/transport/membudget"
)

// sendAndWait calls method 1 of a peer, and returns the length of its reply, or the error of the call.
func sendAndWait(t *testing.T, h *Hub, address string, bodyBytes int) (replyBytes int, err error) {
	t.Helper()
	type result struct {
		bytes int
		err   error
	}
	results := make(chan result, 1)
	h.Send(address, 1, codec.BuffersOf(make([]byte, bodyBytes)), 0, func(body codec.Buffers, err error) { results <- result{body.Len(), err} })
	got := <-results
	return got.bytes, got.err
}

// waitUnused waits until a pool is empty: the last bytes of a reply are released after its caller has received them.
func waitUnused(t *testing.T, pool *membudget.Pool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); pool.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still reserved", pool.Used())
		}
	}
}

// Replies had no bound on their memory. A reply that does not fit must end its call, as one that may have been executed, and nothing else:
// the link and smaller calls go on, and all memory is released.
func TestReplyThatDoesNotFitEndsItsCall(t *testing.T) {
	server, address, _ := newTestHub(t, "server", 8<<20)
	client, _, _ := newTestHub(t, "client", 8<<20)
	serverReplies, clientReplies := membudget.NewPool(8<<20), membudget.NewPool(1<<20)
	server.SetMemory(server.callMemory, serverReplies)
	client.SetMemory(client.callMemory, clientReplies)
	server.HandleRaw(1, func(c *IncomingCall) { c.ReplyBytes(codec.BuffersOf(make([]byte, 2*c.Body.Len()))) })
	_, err := sendAndWait(t, client, address, 1<<20)
	var lost *ConnectionError
	qt.Assert(t, errors.As(err, &lost), qt.IsTrue)
	qt.Assert(t, *lost, qt.Equals, ConnectionError{Peer: address, Reason: reasonReplyMemory, Sent: true})
	got, err := sendAndWait(t, client, address, 500_000)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, 1_000_000)
	waitUnused(t, serverReplies)
	waitUnused(t, clientReplies)
	waitUnused(t, server.callMemory)
}

// A call that does not fit reserved memory again with each later chunk. It must get an empty reply, and reserve nothing more.
func TestCallThatDoesNotFitIsRejected(t *testing.T) {
	server, address, _ := newTestHub(t, "server", 8<<20)
	client, _, _ := newTestHub(t, "client", 8<<20)
	calls := membudget.NewPool(1 << 20)
	server.SetMemory(calls, nil)
	server.HandleRaw(1, func(c *IncomingCall) { c.ReplyBytes(c.Body) })
	got, err := sendAndWait(t, client, address, 4<<20)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, 0)
	qt.Assert(t, calls.Used(), qt.Equals, int64(0))
	got, err = sendAndWait(t, client, address, 1<<20)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, 1<<20)
}

// A reply whose link ends before it was sent releases its memory.
func TestLostLinkReleasesItsReplies(t *testing.T) {
	server, address, _ := newTestHub(t, "server", 8<<20)
	client, _, _ := newTestHub(t, "client", 8<<20)
	replies := membudget.NewPool(8 << 20)
	server.SetMemory(server.callMemory, replies)
	server.LimitRate(1e6)
	replied := make(chan struct{})
	server.HandleRaw(1, func(c *IncomingCall) {
		c.ReplyBytes(codec.BuffersOf(make([]byte, 4<<20)))
		close(replied)
	})
	ended := make(chan error, 1)
	client.Send(address, 1, nil, 0, func(_ codec.Buffers, err error) { ended <- err })
	<-replied
	qt.Assert(t, replies.Used() > 0, qt.IsTrue)
	client.Close()
	qt.Assert(t, <-ended, qt.IsNotNil)
	waitUnused(t, replies)
}
