package agent

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"quincegap/internal/mesh/discovery/membership"
	"quincegap/internal/mesh/operations/settings"
	"quincegap/internal/mesh/transport"
)

// maxWaitInTests is the maximum time that a test waits for an expected event. It is long enough for a machine under load.
const maxWaitInTests = 20 * time.Second

// testNetwork is the prefix, the first two of four numbers, of the loopback addresses that this test process uses. It depends on the
// process ID so that several test processes can run concurrently on a machine.
var testNetwork = fmt.Sprintf("127.%d", 100+os.Getpid()%150)

// discardLog returns a logger that writes nothing.
func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// newTestHub returns a hub whose clock started an hour ago. The hub is closed when the test ends.
func newTestHub(tb testing.TB, incarnation uint64, address string) *transport.Hub {
	tb.Helper()
	hello := transport.Hello{Incarnation: incarnation, Address: address, Zone: "z"}
	hub := transport.NewHub(hello, time.Now().Add(-time.Hour), 1<<20, discardLog())
	tb.Cleanup(hub.Close)
	return hub
}

// serveHub makes a hub accept links at its own address until the test ends.
func serveHub(tb testing.TB, hub *transport.Hub) {
	tb.Helper()
	listener, err := new(net.ListenConfig).Listen(tb.Context(), "tcp4", hub.Self().Address)
	qt.Assert(tb, err, qt.IsNil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = hub.Listen(listener) // returns when the listener is closed
	}()
	tb.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
}

// newTestSidecar returns the agent of a sidecar that accepts no incoming links.
func newTestSidecar(tb testing.TB, address string, seed uint64) *Agent {
	tb.Helper()
	return New(Config{
		Settings: &settings.Settings{Service: "s"},
		Hub:      newTestHub(tb, 1, address),
		Role:     membership.RoleAccess,
		Log:      discardLog(),
		Seed:     seed,
	})
}

// eventually waits until met returns true, and fails the test after maxWaitInTests. condition describes what is waited for.
func eventually(tb testing.TB, condition string, met func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(maxWaitInTests); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met within %v: %s", maxWaitInTests, condition)
		}
	}
}
