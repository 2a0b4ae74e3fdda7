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

// rehearsal is one rehearsal while it runs. Its clock stands at 0 when callers begin to come.
type rehearsal struct {
	plan        *scenario.Plan
	log         audit.Log
	createdAt   time.Time
	clockOffset atomic.Int64 // from createdAt to when the clock stands at 0, in nanoseconds
	ctx         context.Context
	network     int          // the A of 127.A.0.0/16
	guard       net.Listener // holds the network against other rehearsals

	links       *relay.Network   // between sidecars that find one another; nil where they do not
	certificate *tls.Certificate // of servers that speak HTTP/3; nil where none does
	authority   string           // the file with the certificate of its authority

	attempts        atomic.Uint64 // the id of the last attempt at a server
	mu              sync.Mutex
	attemptsSeen    map[string]int                 // attempts by X-Txn
	memories        map[[2]int]*emulator.KeyMemory // by tier and cell
	effects         map[string]int                 // by tier and key
	repeatedEffects int                            // effects of a key beyond its first

	servers       []*server
	discovery     []*tierDiscovery // by tier
	rotation      rotation
	sidecars      []*sidecar                       // those of the first tier, then one for each server that calls
	sidecarOf     map[int]*sidecar                 // by server
	faultyCallers atomic.Int64                     // how many faulty callers are wanted
	unanswered    [faultyRequestCount]atomic.Int64 // faulty requests that were neither answered nor closed in time
	calls         sync.WaitGroup                   // calls of servers to the next tier, and faulty callers
	counters      counters
}

// counters are for the lines of progress.
type counters struct{ http3, requests, served, rejected, failed, attempts atomic.Int64 }

// beforeStart is the offset of the clock for as long as it is not known when callers come.
const beforeStart = time.Hour

// newRehearsal returns a rehearsal whose clock has not begun.
func newRehearsal(ctx context.Context, plan *scenario.Plan) *rehearsal {
	r := &rehearsal{
		plan:         plan,
		createdAt:    time.Now(),
		ctx:          ctx,
		attemptsSeen: map[string]int{},
		memories:     map[[2]int]*emulator.KeyMemory{},
		effects:      map[string]int{},
		sidecarOf:    map[int]*sidecar{},
	}
	r.clockOffset.Store(int64(beforeStart))
	return r
}

// now returns the time on the rehearsal's clock; below 0 before callers come.
func (r *rehearsal) now() time.Duration {
	return time.Since(r.createdAt) - time.Duration(r.clockOffset.Load())
}

// wall returns the wall-clock time of a time on the rehearsal's clock.
func (r *rehearsal) wall(at time.Duration) time.Time {
	return r.createdAt.Add(time.Duration(r.clockOffset.Load()) + at)
}

func (r *rehearsal) record(e audit.Event) { r.log.Add(e) }

// countAttempt numbers the attempts of one request, from 1.
func (r *rehearsal) countAttempt(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attemptsSeen[request]++
	return r.attemptsSeen[request]
}

// recordExecution records that a request with an idempotency key runs at a server.
func (r *rehearsal) recordExecution(server *server, key string, class *scenario.Class) {
	if key == "" || class == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	group := [2]int{server.spec.Tier, server.spec.Cell}
	memory := r.memories[group]
	if memory == nil {
		memory = &emulator.KeyMemory{Window: class.Window}
		r.memories[group] = memory
	}
	if memory.Execute(r.now(), key) {
		name := fmt.Sprint(server.spec.Tier, " ", key)
		r.effects[name]++
		if r.effects[name] > 1 {
			r.repeatedEffects++
		}
	}
}

// class returns the index of a class and the class; -1 and nil if there is none of that name.
func (r *rehearsal) class(name string) (int, *scenario.Class) {
	for i, c := range r.plan.Classes {
		if c.Name == name {
			return i, c
		}
	}
	return -1, nil
}
