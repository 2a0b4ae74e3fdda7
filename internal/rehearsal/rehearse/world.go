// Package rehearse plays a morning on sockets: boxes on the models of
// internal/rehearsal/emulator, callers, discovery, and real sidecars as processes of their
// own. All that crosses a socket is noted, and judged by internal/rehearsal/audit.
//
// Everything stays on loopback: a rehearsal takes one network 127.A.0.0/16 for
// itself, so that each box has an address of its own and two rehearsals on one
// machine do not meet.
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
	"quincegap/internal/rehearsal/morning"
	"quincegap/internal/standin/relay"
)

// port is that of all addresses of a rehearsal.
const port = 5000

// world is one rehearsal while it runs.
type world struct {
	plan   *morning.Plan
	log    audit.Log
	made   time.Time
	begins atomic.Int64 // when its clock stands at 0, in nanoseconds from made: when callers begin to come
	ctx    context.Context
	net    int // the A of 127.A.0.0/16
	guard  net.Listener

	links       *relay.Net       // between sidecars that find one another; nil where they do not
	certificate *tls.Certificate // of boxes that speak HTTP/3; nil where none does
	authority   string           // the file with who signed it

	attempts atomic.Uint64 // numbers them
	mu       sync.Mutex
	tries    map[string]int // attempts seen, by X-Txn
	memories map[[2]int]*emulator.Memory
	effects  map[string]int // by tier and key
	again    int            // effects beyond the first of a key

	boxes    []*box
	news     []*news // by tier
	front    front
	sidecars []*sidecar // those of the first tier, then one for each box that calls
	behind   map[int]*sidecar
	rude     atomic.Int64             // how many rude callers are wanted
	hanging  [rudenesses]atomic.Int64 // rude callers that got neither an answer nor a close, by what they did
	calls    sync.WaitGroup
	counters counters
}

func newWorld(ctx context.Context, plan *morning.Plan) *world {
	w := &world{plan: plan, made: time.Now(), ctx: ctx, tries: map[string]int{}, memories: map[[2]int]*emulator.Memory{}, effects: map[string]int{}, behind: map[int]*sidecar{}}
	w.begins.Store(int64(unbegun))
	return w
}

// counters are for the lines of progress.
type counters struct{ http3, asked, served, refused, failed, attempts atomic.Int64 }

// unbegun is when the clock begins as long as that is not known.
const unbegun = time.Hour

// now is the time on the rehearsal's clock; below 0 before callers come.
func (w *world) now() time.Duration { return time.Since(w.made) - time.Duration(w.begins.Load()) }

// wall is a time of the rehearsal's clock on that of the world.
func (w *world) wall(at time.Duration) time.Time {
	return w.made.Add(time.Duration(w.begins.Load()) + at)
}

func (w *world) add(e audit.Event) { w.log.Add(e) }

// nets are the A that a rehearsal may take.
const firstNet, lastNet = 64, 120

// claim takes a network that no other rehearsal on this machine has.
func (w *world) claim() error {
	for a := firstNet; a <= lastNet; a++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", a, port))
		if err == nil {
			w.net, w.guard = a, l
			return nil
		}
	}
	return fmt.Errorf("no network from 127.%d to 127.%d is free on loopback", firstNet, lastNet)
}

// The third byte of an address tells what it is of.
const (
	sidecarsAt   = 200
	discoveryAt  = 201
	consulAt     = 202
	peersAt      = 203 // where a sidecar is found by the others,
	relayAt      = 204 // and what it tells them
	hostsInRow   = 250
	firstHost    = 1
	mostBoxSlots = sidecarsAt * hostsInRow
)

func (w *world) boxAddress(slot int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, slot/hostsInRow, slot%hostsInRow+firstHost, port)
}

func (w *world) sidecarAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, sidecarsAt, i+firstHost, port)
}

func (w *world) discoveryAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, discoveryAt, i+firstHost, port)
}

func (w *world) consulAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, consulAt, i+firstHost, port)
}

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// try numbers the attempts of one request, from 1.
func (w *world) try(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tries[request]++
	return w.tries[request]
}

// run notes that a keyed request runs at a box.
func (w *world) run(b *box, key string, class *morning.Class) {
	if key == "" || class == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := [2]int{b.plan.Tier, b.plan.Cell}
	m := w.memories[at]
	if m == nil {
		m = &emulator.Memory{Window: class.Window}
		w.memories[at] = m
	}
	if m.Run(w.now(), key) {
		name := fmt.Sprint(b.plan.Tier, " ", key)
		w.effects[name]++
		if w.effects[name] > 1 {
			w.again++
		}
	}
}

// class is a class by its name, or nil.
func (w *world) class(name string) (int, *morning.Class) {
	for i, c := range w.plan.Classes {
		if c.Name == name {
			return i, c
		}
	}
	return -1, nil
}

// The emulator watches itself: a tick that comes late tells that this process did not get the processor, and what
// boxes and callers did then is not to be believed.
const (
	tick     = 5 * time.Millisecond
	lateFrom = 20 * time.Millisecond
)

func (w *world) watch(ctx context.Context) {
	for due := time.Now().Add(tick); ; due = due.Add(tick) {
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
func (w *world) noteLate(late time.Duration) bool {
	if late <= lateFrom {
		return false
	}
	w.add(audit.Event{At: w.now(), Kind: audit.Late, Left: late, Box: -1, Sidecar: -1, Origin: -1})
	return true
}
