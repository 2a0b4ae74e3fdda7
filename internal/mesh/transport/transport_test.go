package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/transport/codec"
)

type textMessage struct{ Text string }

func (t *textMessage) Fields(v *codec.Visitor) { v.String(1, &t.Text) }

type logCapture struct {
	mu    sync.Mutex
	text  strings.Builder
	lines chan string
}

func (l *logCapture) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(p)
	select {
	case l.lines <- string(p):
	default:
	}
	return len(p), nil
}

// newTestHub is one that listens on loopback.
func newTestHub(t *testing.T, name string, most int) (*Hub, string, *logCapture) {
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out := &logCapture{lines: make(chan string, 16)}
	log := logrus.New()
	log.SetOutput(out)
	h := NewHub(Hello{Incarnation: 7, Address: n.Addr().String(), Name: name}, time.Now(), most, log)
	go h.Listen(n)
	t.Cleanup(func() {
		h.Close()
		n.Close()
	})
	return h, n.Addr().String(), out
}

func TestCallsShareALink(t *testing.T) {
	c := qt.New(t)
	far, address, _ := newTestHub(t, "far", 8<<20)
	near, _, _ := newTestHub(t, "near", 8<<20)
	held := make(chan *IncomingCall, 1)
	Handle(far, 1, func(_ context.Context, from *Hello, l *textMessage) *textMessage {
		return &textMessage{from.Name + " " + l.Text}
	})
	far.HandleRaw(2, func(c *IncomingCall) { held <- c })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	// A large one is under way, and one that nobody answers yet: others pass.
	large := strings.Repeat("x", 3<<20)
	got := make(chan int, 1)
	near.Send(address, 1, codec.MarshalAppend(nil, &textMessage{large}), 0, func(body []byte, err error) { got <- len(body) })
	waits := make(chan error, 1)
	a := near.Send(address, 2, nil, 0, func(_ []byte, err error) { waits <- err })
	for range 50 {
		r, err := Request[textMessage](ctx, near, address, 1, &textMessage{"small"})
		c.Assert(err, qt.IsNil)
		c.Assert(r.Text, qt.Equals, "near small")
	}
	c.Assert(<-got > len(large), qt.IsTrue)
	// The asker gives up: the other side hears of it, and its answer still comes.
	call := <-held
	quit := make(chan struct{})
	call.OnCancel(func() { close(quit) })
	a.Cancel()
	<-quit
	call.ReplyBytes([]byte("withdrawn"))
	c.Assert(<-waits, qt.IsNil)
	// A method that the other side does not know is answered by nothing.
	r, err := Request[textMessage](ctx, near, address, 99, &textMessage{"?"})
	c.Assert(err, qt.IsNil)
	c.Assert(r.Text, qt.Equals, "")
}

func TestConnectionErrorSaysWhetherTheCallWasSent(t *testing.T) {
	c := qt.New(t)
	far, address, _ := newTestHub(t, "far", 8<<20)
	near, _, _ := newTestHub(t, "near", 8<<20)
	held := make(chan *IncomingCall, 1)
	far.HandleRaw(2, func(c *IncomingCall) { held <- c })
	errs := make(chan error, 2)
	near.Send(address, 2, nil, 0, func(_ []byte, err error) { errs <- err })
	<-held
	far.Close()
	var lost *ConnectionError
	c.Assert(errors.As(<-errs, &lost), qt.IsTrue)
	c.Assert(lost.Sent, qt.IsTrue)
	// Nobody listens there: nothing went out.
	near.Send("127.0.0.1:1", 2, nil, 0, func(_ []byte, err error) { errs <- err })
	c.Assert(errors.As(<-errs, &lost), qt.IsTrue)
	c.Assert(lost.Sent, qt.IsFalse)
}

// What no peer of ours sends ends its link, is logged with who sent it, and harms nobody else.
func TestInvalidPeersAreDisconnected(t *testing.T) {
	frame := func(e envelope) []byte { return appendFrame(nil, &e) }
	greet := frame(envelope{kind: uint64(helloFrame), body: codec.MarshalAppend(nil, &Hello{Version: protocolVersion, Name: "bad"})})
	huge := make([]byte, 4)
	binary.BigEndian.PutUint32(huge, 2<<30-1)
	for name, bytes := range map[string][]byte{
		"a frame of 2 GB":        huge,
		"a field of another":     append(append([]byte{}, greet...), frame(envelope{kind: uint64(callFrame), stream: 1, method: 1, last: true, body: []byte{0x08, 1}})...),
		"a second hello":         append(append([]byte{}, greet...), greet...),
		"another version's peer": frame(envelope{kind: uint64(helloFrame), body: codec.MarshalAppend(nil, &Hello{Version: 9})}),
		"an ask beyond bounds":   append(append([]byte{}, greet...), frame(envelope{kind: uint64(callFrame), stream: 1, method: 1, body: make([]byte, 2048)})...),
		"half a frame":           greet[:7],
		"no protobuf":            {0, 0, 0, 2, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			far, address, out := newTestHub(t, "far", 1024)
			near, _, _ := newTestHub(t, "near", 1024)
			Handle(far, 1, func(_ context.Context, _ *Hello, l *textMessage) *textMessage { return l })
			conn, err := net.Dial("tcp4", address)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = conn.Write(bytes)
			c.Assert(err, qt.IsNil)
			if name == "half a frame" {
				conn.(*net.TCPConn).CloseWrite()
			}
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			_, err = io.Copy(io.Discard, conn) // until the other side has ended it
			var timeout net.Error
			c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
			if name != "half a frame" {
				select {
				case text := <-out.lines:
					c.Assert(text, qt.Contains, "peer=")
				case <-time.After(20 * time.Second):
					t.Fatal("nothing was logged")
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			r, err := Request[textMessage](ctx, near, address, 1, &textMessage{"still there"})
			c.Assert(err, qt.IsNil)
			c.Assert(r.Text, qt.Equals, "still there")
		})
	}
}

// A slow machine link is kept free for small messages: large ones take no more than their part of it, and go in turn.
func TestLargeMessagesAreShaped(t *testing.T) {
	c := qt.New(t)
	s := shaper{rate: linkRateFraction * 8e6 / 8}
	var line []*transfer
	for range 8 {
		line = append(line, s.start(&Link{writerWake: make(chan struct{}, 1)}, 2_000_000))
	}
	now, small, ends := time.Duration(0), 0, []int{}
	for len(ends) < len(line) {
		if n := int(now/(10*time.Millisecond)) - small; n > 0 { // 100 small ones a second
			s.spend(now, n*1000)
			small += n
		}
		least := time.Hour
		for i, l := range line {
			if l.remaining == 0 {
				continue
			}
			_, wait := s.reserve(now, l)
			for wait == 0 && l.remaining > 0 {
				_, wait = s.reserve(now, l)
			}
			if l.remaining == 0 {
				s.finish(l)
				ends = append(ends, i)
			}
			least = min(least, max(wait, time.Millisecond))
		}
		now += least
	}
	bytes := 16_000_000 + small*1000
	c.Assert(ends, qt.HasLen, 8)
	for i, n := range ends { // those that came first have gone first
		c.Assert(n-i < maxActiveTransfers && i-n < maxActiveTransfers, qt.IsTrue, qt.Commentf("%v", ends))
	}
	rate := float64(bytes) / now.Seconds()
	c.Assert(rate < 1.01*s.rate && rate > 0.9*s.rate, qt.IsTrue, qt.Commentf("%v of %v", rate, s.rate))
}

// A process that ends has its large answer go out whole over its slow link before the link closes; the caller gets it, not a
// lost connection.
func TestDrainLosesNoAnswer(t *testing.T) {
	c := qt.New(t)
	far, address, _ := newTestHub(t, "far", 8<<20)
	near, _, _ := newTestHub(t, "near", 8<<20)
	far.LimitRate(18e6)
	held := make(chan *IncomingCall, 1)
	far.HandleRaw(2, func(c *IncomingCall) { held <- c })
	type end struct {
		body []byte
		err  error
	}
	got := make(chan end, 1)
	near.Send(address, 2, nil, 0, func(body []byte, err error) { got <- end{body, err} })
	(<-held).ReplyBytes(make([]byte, 300_000))
	far.Drain(far.Now() + 20*time.Second)
	dialled, accepted := far.LinkCounts()
	c.Assert(dialled+accepted, qt.Equals, 0)
	x := <-got
	c.Assert(x.err, qt.IsNil)
	c.Assert(x.body, qt.HasLen, 300_000)
}

// While a process ends, calls that are on their way to it are answered, and later ones have surely not gone out. A peer that does not
// know of leaving is let go all the same.
func TestDrainLosesNoCall(t *testing.T) {
	c := qt.New(t)
	far, address, _ := newTestHub(t, "far", 8<<20)
	near, _, _ := newTestHub(t, "near", 8<<20)
	old, err := net.Dial("tcp4", address)
	c.Assert(err, qt.IsNil)
	defer old.Close()
	_, err = old.Write(appendFrame(nil, &envelope{kind: uint64(helloFrame), body: codec.MarshalAppend(nil, &Hello{Version: protocolVersion, Name: "old"})}))
	c.Assert(err, qt.IsNil)
	go func() { // it closes when the other side has
		_, _ = io.Copy(io.Discard, old)
		old.Close()
	}()
	Handle(far, 1, func(_ context.Context, _ *Hello, l *textMessage) *textMessage { return l })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err = Request[textMessage](ctx, near, address, 1, &textMessage{"up"})
	c.Assert(err, qt.IsNil)
	drained := make(chan struct{})
	go func() {
		far.Drain(far.Now() + 20*time.Second)
		close(drained)
	}()
	answered := 0
	for {
		_, err := Request[textMessage](ctx, near, address, 1, &textMessage{"still"})
		if err != nil {
			var lost *ConnectionError
			c.Assert(errors.As(err, &lost), qt.IsTrue)
			c.Assert(lost.Sent, qt.IsFalse, qt.Commentf("after %d answers: %v", answered, err))
			break
		}
		answered++
	}
	<-drained
}

// brokenListener fails to accept for a while, as where a process has no file descriptors left.
type brokenListener struct {
	net.Listener
	failures atomic.Int64
}

func (b *brokenListener) Accept() (net.Conn, error) {
	if b.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return b.Listener.Accept()
}

func TestListenOutlivesErrorsOfTheListener(t *testing.T) {
	c := qt.New(t)
	from, _, _ := newTestHub(t, "from", 1<<20)
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	to := NewHub(Hello{Incarnation: 8, Address: n.Addr().String(), Name: "to"}, time.Now(), 1<<20, log)
	Handle(to, 1, func(_ context.Context, _ *Hello, l *textMessage) *textMessage { return l })
	broken := &brokenListener{Listener: n}
	broken.failures.Store(3)
	ended := make(chan error, 1)
	go func() { ended <- to.Listen(broken) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := Request[textMessage](ctx, from, n.Addr().String(), 1, &textMessage{"x"})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Text, qt.Equals, "x")
	to.Drain(to.Now() + time.Second)
	c.Assert(<-ended, qt.IsNil)
}
