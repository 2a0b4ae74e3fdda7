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

// The one-way latencies of the network.
const (
	toSidecar = 100 * time.Microsecond
	toServer  = 150 * time.Microsecond
)

// The times at which a sidecar ends and restarts, and at which callers notice.
const (
	failureNotice  = 2 * time.Second        // time from the end of a sidecar until callers open no new connections to it
	drainNotice    = 300 * time.Millisecond // time from SIGTERM until callers open no new connections to it
	maxDrain       = 3 * time.Second        // maximum time for requests after SIGTERM, without drainMargin
	drainMargin    = 500 * time.Millisecond // additional time for requests after SIGTERM
	exitDelay      = 100 * time.Millisecond // time from the end of the last request to the end of the process
	restartBackoff = 200 * time.Millisecond // time from the end of the last request to the next start
)

// repeatDelay is the time between the two copies of an update while discovery sends each one twice.
const repeatDelay = 200 * time.Millisecond

// clockStart is the time on the decision module's clock when the callers start. It is well above 0, which stands for long ago.
const clockStart = 24 * time.Hour

// maxEvents is the maximum number of events in a run, several times as many as the largest scenario needs.
const maxEvents = 200_000_000

// sim is a simulation of one plan in virtual time.
type sim struct {
	plan         *scenario.Plan
	now          time.Duration
	queue        eventQueue
	seq          uint64 // sequence number of the last scheduled event
	log          audit.Log
	servers      []*server
	instances    []*instance
	nextSidecar  int            // counter of the rotation over sidecars
	callers      *rand.Rand     // source for the choice of the connections that callers use
	attempts     uint64         // ID of the latest attempt
	attemptsSeen map[string]int // number of attempts that all servers have received, by request
	decisions    int            // number of calls of the decision modules
	repeats      bool           // whether discovery sends each update twice
	err          error          // first error of a restart; nil if there was none
}

// newSim returns a simulation with the servers and sidecars of the plan. Those present from the beginning are started. It returns an
// error if a sidecar cannot be started.
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

// run runs events until the queue is empty. It returns an error if there are more than maxEvents or if a restart failed.
func (s *sim) run() error {
	for n := 0; s.queue.Len() > 0; n++ {
		if n > maxEvents {
			return fmt.Errorf("simulation stopped at %v after %d events: probably an endless loop of events", s.now, n)
		}
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
	return s.err
}

// schedule schedules an event. Events at the same time run in the order in which they were scheduled. A time in the past means now.
func (s *sim) schedule(when time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(when, s.now), s.seq, do})
}

// scheduleAfter schedules an event after a delay.
func (s *sim) scheduleAfter(d time.Duration, do func()) { s.schedule(s.now+d, do) }

// record adds an event to the log, with the current time.
func (s *sim) record(e audit.Event) {
	e.At = s.now
	s.log.Add(e)
}

// event is a function that runs at a given time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventQueue is a heap of events with the next one on top.
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
