package rehearse

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
	"quincegap/internal/standin/relay"
)

// port is that of all addresses of a rehearsal.
const port = 5000

// rehearsal is one rehearsal while it runs.
type rehearsal struct {
	plan        *scenario.Plan
	log         audit.Log
	createdAt   time.Time
	clockOffset atomic.Int64 // when its clock stands at 0, in nanoseconds from made: when callers begin to come
	ctx         context.Context
	network     int // the A of 127.A.0.0/16
	guard       net.Listener

	links       *relay.Network   // between sidecars that find one another; nil where they do not
	certificate *tls.Certificate // of servers that speak HTTP/3; nil where none does
	authority   string           // the file with who signed it

	attempts        atomic.Uint64 // numbers them
	mu              sync.Mutex
	attemptsSeen    map[string]int // attempts seen, by X-Txn
	memories        map[[2]int]*emulator.KeyMemory
	effects         map[string]int // by tier and key
	repeatedEffects int            // effects beyond the first of a key

	servers       []*server
	discovery     []*tierDiscovery // by tier
	rotation      rotation
	sidecars      []*sidecar // those of the first tier, then one for each server that calls
	sidecarOf     map[int]*sidecar
	faultyCallers atomic.Int64                     // how many faulty callers are wanted
	unanswered    [faultyRequestCount]atomic.Int64 // faulty callers that got neither an answer nor a close, by what they did
	calls         sync.WaitGroup
	counters      counters
}

// newRehearsal returns a rehearsal whose clock has not begun.
func newRehearsal(ctx context.Context, plan *scenario.Plan) *rehearsal {
	w := &rehearsal{plan: plan, createdAt: time.Now(), ctx: ctx, attemptsSeen: map[string]int{}, memories: map[[2]int]*emulator.KeyMemory{}, effects: map[string]int{}, sidecarOf: map[int]*sidecar{}}
	w.clockOffset.Store(int64(beforeStart))
	return w
}

// counters are for the lines of progress.
type counters struct{ http3, requests, served, rejected, failed, attempts atomic.Int64 }

// beforeStart is when the clock begins as long as that is not known.
const beforeStart = time.Hour

// now is the time on the rehearsal's clock; below 0 before callers come.
func (w *rehearsal) now() time.Duration {
	return time.Since(w.createdAt) - time.Duration(w.clockOffset.Load())
}

// wall is a time of the rehearsal's clock on that of the world.
func (w *rehearsal) wall(at time.Duration) time.Time {
	return w.createdAt.Add(time.Duration(w.clockOffset.Load()) + at)
}

func (w *rehearsal) record(e audit.Event) { w.log.Add(e) }

// nets are the A that a rehearsal may take.
const firstNetwork, lastNetwork = 64, 120

// claimNetwork takes a network that no other rehearsal on this machine has.
func (w *rehearsal) claimNetwork() error {
	for a := firstNetwork; a <= lastNetwork; a++ {
		l, err := w.listen(fmt.Sprintf("127.%d.255.254:%d", a, port))
		if err == nil {
			w.network, w.guard = a, l
			return nil
		}
	}
	return fmt.Errorf("no network from 127.%d to 127.%d is free on loopback", firstNetwork, lastNetwork)
}

// The third byte of an address tells what it is of.
const (
	sidecarRow     = 200
	discoveryRow   = 201
	consulRow      = 202
	peersRow       = 203 // where a sidecar is found by the others,
	relayRow       = 204 // and what it tells them
	hostsPerRow    = 250
	firstHost      = 1
	maxServerSlots = sidecarRow * hostsPerRow
)

func (w *rehearsal) serverAddress(slot int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, slot/hostsPerRow, slot%hostsPerRow+firstHost, port)
}

func (w *rehearsal) sidecarAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, sidecarRow, i+firstHost, port)
}

func (w *rehearsal) discoveryAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, discoveryRow, i+firstHost, port)
}

func (w *rehearsal) consulAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, consulRow, i+firstHost, port)
}

// listen listens on TCP.
func (w *rehearsal) listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(w.ctx, "tcp", address)
}

// dial connects on TCP.
func (w *rehearsal) dial(address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(w.ctx, "tcp", address)
}

// countAttempt numbers the attempts of one request, from 1.
func (w *rehearsal) countAttempt(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attemptsSeen[request]++
	return w.attemptsSeen[request]
}

// recordExecution notes that a keyed request runs at a server.
func (w *rehearsal) recordExecution(b *server, key string, class *scenario.Class) {
	if key == "" || class == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := [2]int{b.spec.Tier, b.spec.Cell}
	m := w.memories[at]
	if m == nil {
		m = &emulator.KeyMemory{Window: class.Window}
		w.memories[at] = m
	}
	if m.Execute(w.now(), key) {
		name := fmt.Sprint(b.spec.Tier, " ", key)
		w.effects[name]++
		if w.effects[name] > 1 {
			w.repeatedEffects++
		}
	}
}

// class is a class by its name, or nil.
func (w *rehearsal) class(name string) (int, *scenario.Class) {
	for i, c := range w.plan.Classes {
		if c.Name == name {
			return i, c
		}
	}
	return -1, nil
}

// The emulator watches itself: a tick that comes late tells that this process did not get the processor, and what
// servers and callers did then is not to be believed.
const (
	watchTick     = 5 * time.Millisecond
	lateThreshold = 20 * time.Millisecond
)

func (w *rehearsal) watchLateness(ctx context.Context) {
	for due := time.Now().Add(watchTick); ; due = due.Add(watchTick) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		if w.noteLate(time.Since(due)) {
			due = time.Now()
		}
	}
}

// noteLate notes that the emulator itself was late, if it was by enough to matter.
func (w *rehearsal) noteLate(late time.Duration) bool {
	if late <= lateThreshold {
		return false
	}
	w.record(audit.Event{At: w.now(), Kind: audit.EmulatorLate, Duration: late, Server: -1, Sidecar: -1, Origin: -1})
	return true
}
