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

// rehearsal is the state of a running rehearsal. Its clock is 0 when the first caller may arrive.
type rehearsal struct {
	plan         *scenario.Plan
	log          audit.Log
	createdAt    time.Time
	clockOffset  atomic.Int64 // time from createdAt until the clock is 0, in nanoseconds
	ctx          context.Context
	network      int          // second byte of the claimed network 127.A.0.0/16
	networkClaim net.Listener // keeps other rehearsals from claiming the network

	links       *relay.Network   // links between sidecars that discover each other; nil if they do not
	certificate *tls.Certificate // certificate of the HTTP/3 servers; nil if there are none
	authority   string           // path of the file with the certificate of its authority

	attempts        atomic.Uint64 // id of the latest attempt at a server
	mu              sync.Mutex
	attemptsSeen    map[string]int                 // number of attempts by request id (X-Txn)
	keyMemories     map[[2]int]*emulator.KeyMemory // idempotency keys seen, by tier and cell
	effects         map[string]int                 // number of effects by tier and idempotency key
	repeatedEffects int                            // effects of an idempotency key after its first

	servers       []*server
	discovery     []*tierDiscovery // server lists by tier
	rotation      rotation
	sidecars      []*sidecar                       // sidecars of the first tier, then one for each server that makes calls
	sidecarOf     map[int]*sidecar                 // sidecars of the servers that make calls, by server index
	faultyCallers atomic.Int64                     // wanted number of faulty callers
	unanswered    [faultyRequestCount]atomic.Int64 // counts by input: faulty requests neither answered nor closed in time
	calls         sync.WaitGroup                   // goroutines of faulty callers and of calls to the next tier
	counters      counters
}

// counters are the counts for Progress and Result.
type counters struct{ http3, requests, served, rejected, failed, attempts atomic.Int64 }

// initialClockOffset is the offset of the clock until the time of the first caller is known. It keeps the clock below 0.
const initialClockOffset = time.Hour

// newRehearsal returns a rehearsal whose clock has the initial offset.
func newRehearsal(ctx context.Context, plan *scenario.Plan) *rehearsal {
	r := &rehearsal{
		plan:         plan,
		createdAt:    time.Now(),
		ctx:          ctx,
		attemptsSeen: map[string]int{},
		keyMemories:  map[[2]int]*emulator.KeyMemory{},
		effects:      map[string]int{},
		sidecarOf:    map[int]*sidecar{},
	}
	r.clockOffset.Store(int64(initialClockOffset))
	return r
}

// now returns the time on the rehearsal's clock, which is negative before callers may arrive.
func (r *rehearsal) now() time.Duration {
	return time.Since(r.createdAt) - time.Duration(r.clockOffset.Load())
}

// wall converts a time on the rehearsal's clock to wall-clock time.
func (r *rehearsal) wall(at time.Duration) time.Time {
	return r.createdAt.Add(time.Duration(r.clockOffset.Load()) + at)
}

func (r *rehearsal) record(e audit.Event) { r.log.Add(e) }

// countAttempt counts an attempt of a request and returns its number, from 1.
func (r *rehearsal) countAttempt(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attemptsSeen[request]++
	return r.attemptsSeen[request]
}

// recordExecution records that a request with an idempotency key runs at a server, and counts its effect unless the key was seen in the
// server's cell within the class's window.
func (r *rehearsal) recordExecution(server *server, key string, class *scenario.Class) {
	if key == "" || class == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	group := [2]int{server.spec.Tier, server.spec.Cell}
	memory := r.keyMemories[group]
	if memory == nil {
		memory = &emulator.KeyMemory{Window: class.Window}
		r.keyMemories[group] = memory
	}
	if memory.Execute(r.now(), key) {
		name := fmt.Sprint(server.spec.Tier, " ", key)
		r.effects[name]++
		if r.effects[name] > 1 {
			r.repeatedEffects++
		}
	}
}

// class returns the index of the named class and the class itself, or -1 and nil if there is no such class.
func (r *rehearsal) class(name string) (int, *scenario.Class) {
	for i, c := range r.plan.Classes {
		if c.Name == name {
			return i, c
		}
	}
	return -1, nil
}
