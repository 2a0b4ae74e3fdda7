package dryrun

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/emulator"
	"quincegap/internal/rehearsal/scenario"
)

// The network, one way.
const (
	toSidecar = 100 * time.Microsecond
	toServer  = 150 * time.Microsecond
)

// How a sidecar ends, and when that is noticed.
const (
	failureNotice  = 2 * time.Second        // from its end until it gets no new connections
	drainNotice    = 300 * time.Millisecond // from SIGTERM until it gets no new connections
	maxDrain       = 3 * time.Second        // bound of the time that requests have after SIGTERM
	drainMargin    = 500 * time.Millisecond // beyond the longest deadline
	exitDelay      = 100 * time.Millisecond // from the end of the last request to the end of the process
	restartBackoff = 200 * time.Millisecond // from the end of requests to the next start
)

// repeatDelay is when the second update comes, if discovery sends each twice.
const repeatDelay = 200 * time.Millisecond

// clockStart is the time on the module's clock when callers begin to come: well above 0, which means long ago.
const clockStart = 24 * time.Hour

// maxEvents bounds a run: several times what the largest scenario needs.
const maxEvents = 200_000_000

// sim is one run in virtual time.
type sim struct {
	plan         *scenario.Plan
	now          time.Duration
	queue        eventQueue
	seq          uint64 // of events
	log          audit.Log
	servers      []*server
	instances    []*instance
	nextSidecar  int            // in rotation
	callers      *rand.Rand     // draws which connections callers use
	attempts     uint64         // the id of the latest attempt
	attemptsSeen map[string]int // by request, at all servers
	decisions    int            // calls of decision modules
	repeats      bool           // discovery sends each update twice
	err          error          // the first that ends the run
}

// newSim returns a run with the servers and sidecars of the plan; those that are there from the start are up.
func newSim(plan *scenario.Plan) (*sim, error) {
	sim := &sim{plan: plan, attemptsSeen: map[string]int{}, callers: rand.New(emulator.RandomSource(plan.Seed, "connections"))}
	for i := range plan.Servers {
		server := &server{
			sim: sim, index: i, known: discoveryState{weight: 1}, faults: map[string]float64{},
			random: rand.New(emulator.RandomSource(plan.Seed, fmt.Sprint("faults ", i))),
		}
		sim.servers = append(sim.servers, server)
		if plan.Servers[i].StartsAt == 0 {
			server.start(false)
		}
	}
	for _, spec := range plan.SidecarSpecs() {
		i := &instance{sim: sim, SidecarSpec: spec, index: len(sim.instances)}
		sim.instances = append(sim.instances, i)
		if spec.Server >= 0 {
			sim.servers[spec.Server].sidecar = i
		}
		if spec.Server < 0 || plan.Servers[spec.Server].StartsAt == 0 {
			if err := i.start(); err != nil {
				return nil, err
			}
		}
	}
	return sim, nil
}

// run plays events until there are no more.
func (s *sim) run() error {
	for n := 0; s.queue.Len() > 0; n++ {
		if n > maxEvents {
			return fmt.Errorf("at %v the run has had %d events: something goes round in circles", s.now, n)
		}
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
	return s.err
}

// schedule schedules an event; those of one time keep the order in which they were scheduled.
func (s *sim) schedule(when time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(when, s.now), s.seq, do})
}

// scheduleAfter is schedule after a delay.
func (s *sim) scheduleAfter(d time.Duration, do func()) { s.schedule(s.now+d, do) }

// record adds an event that happens now.
func (s *sim) record(e audit.Event) {
	e.At = s.now
	s.log.Add(e)
}

// event is a function that runs at a time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventQueue is a heap of events, the next one on top.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
