package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"quincegap/internal/mesh/transport/codec"
)

// A call of largeCallBytes takes two seconds at slowUplink, which is in bits per second.
const (
	largeCallBytes = 2 << 20
	slowUplink     = 8e6
)

// sendLarge sends a large call, and returns it with the channel of its error.
func sendLarge(h *Hub, address string, bytes int) (call *PendingCall, ended <-chan error) {
	errs := make(chan error, 1)
	call = h.Send(address, 1, codec.BuffersOf(make([]byte, bytes)), 0, func(_ codec.Buffers, err error) { errs <- err })
	return call, errs
}

// waitForTransfers waits until a hub has no large message left to send.
func waitForTransfers(t *testing.T, h *Hub) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		count, bytes := h.QueuedTransfers()
		if count == 0 && bytes == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d transfers of %d bytes are left", count, bytes)
		}
	}
}

// Clients that left amid an upload stopped all later large messages of a sidecar, among them configurations: a call that was cancelled while
// it was being sent kept its place among the transfers for ever.
func TestCancelledCallsDoNotHoldUpLargeMessages(t *testing.T) {
	server, address, _ := newTestHub(t, "server", 8<<20)
	client, _, _ := newTestHub(t, "client", 8<<20)
	client.LimitRate(slowUplink)
	server.HandleRaw(1, func(c *IncomingCall) { c.ReplyBytes(nil) })
	var calls []*PendingCall
	var ends []<-chan error
	for range 2 * maxActiveTransfers { // half of them wait for their turn when they are cancelled
		call, ended := sendLarge(client, address, largeCallBytes)
		calls, ends = append(calls, call), append(ends, ended)
	}
	for client.Traffic().SentBytes < 10*maxChunkBytes { // the first ones are on their way
		time.Sleep(time.Millisecond)
	}
	for _, call := range calls {
		call.Cancel()
	}
	for _, ended := range ends {
		var lost *ConnectionError
		qt.Assert(t, errors.As(<-ended, &lost), qt.IsTrue)
		qt.Assert(t, lost.Sent, qt.IsFalse)
	}
	waitForTransfers(t, client)
	qt.Assert(t, client.Backlog(0), qt.Equals, time.Duration(0))
	_, later := sendLarge(client, address, 2*maxChunkBytes)
	qt.Assert(t, <-later, qt.IsNil)
}

// Large messages to peers that read nothing held up those to all others until the links ended. They must not, also if the link is not
// established yet.
func TestStalledTransfersDoNotHoldUpOthers(t *testing.T) {
	server, address, _ := newTestHub(t, "server", 8<<20)
	client, _, _ := newTestHub(t, "client", 8<<20)
	client.LimitRate(slowUplink)
	server.HandleRaw(1, func(c *IncomingCall) { c.ReplyBytes(nil) })
	release := make(chan struct{})
	dialTCP := client.dialConn
	client.SetDialer(func(ctx context.Context, to string, timeout time.Duration) (net.Conn, error) {
		if to != address {
			<-release
			return nil, errors.New("released")
		}
		return dialTCP(ctx, to, timeout)
	})
	for range 2 * maxActiveTransfers {
		sendLarge(client, "127.0.0.1:1", largeCallBytes)
	}
	_, ended := sendLarge(client, address, 2*maxChunkBytes)
	qt.Assert(t, <-ended, qt.IsNil)
	close(release)
	waitForTransfers(t, client)
}

// A transfer whose writer stops asking for chunks makes way for others after stallTimeout, and counts again once it goes on.
func TestStalledTransferMakesWay(t *testing.T) {
	shaper := shaper{rate: uplinkFraction * slowUplink / bitsPerByte}
	var transfers []*transfer
	for range maxActiveTransfers + 1 {
		transfers = append(transfers, shaper.start(&Link{writerWake: make(chan struct{}, 1)}, largeCallBytes))
	}
	for _, t := range transfers[:maxActiveTransfers] {
		shaper.reserve(time.Second, t)
	}
	last := transfers[maxActiveTransfers]
	allowed := func(now time.Duration) bool {
		_, wait := shaper.reserve(now, last)
		return wait != transferRecheckInterval
	}
	qt.Assert(t, allowed(time.Second+stallTimeout), qt.IsFalse)
	qt.Assert(t, allowed(time.Second+stallTimeout+1), qt.IsTrue)
	for _, t := range transfers[:maxActiveTransfers] {
		shaper.reserve(2*time.Second, t)
	}
	qt.Assert(t, allowed(2*time.Second), qt.IsFalse)
}
