package rehearse

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// maxSidecars are played on sockets, each a process.
const maxSidecars = 64

// Options are how a rehearsal is run.
type Options struct {
	Program  string              // the sidecar
	Env      []string            // for it, beside this process's own
	Dir      string              // where its configurations and logs go; it must exist
	Progress func(Progress)      // called once a second; nil for none
	Events   func([]audit.Event) // gets all events in the end; nil for none
}

// Progress is how far a rehearsal has come.
type Progress struct {
	At                                           time.Duration
	Requests, Served, Rejected, Failed, Attempts int64 // so far
}

// Result is what came of one.
type Result struct {
	Plan                    *scenario.Plan
	Verdict                 *audit.Verdict
	CPU                     time.Duration // of all sidecars together
	Memory                  int64         // of the largest, in bytes
	UnansweredFaultyCallers int64         // faulty callers that got neither an answer nor a close in time
	UnansweredInputs        []string
	HTTP3                   int64 // attempts that came over HTTP/3
	// Processes are the sidecars' that were started; all have ended.
	Processes       []int
	DivergentViews  string // the views of sidecars that find one another, where they were not one and settled in the end
	RepeatedEffects int    // effects of a key beyond its first, callers' own repeats included
}

// CheckSockets tells why a plan can be played in virtual time alone, nil if it can be on sockets too.
func CheckSockets(plan *scenario.Plan) error {
	if n := len(plan.SidecarSpecs()); n > maxSidecars {
		return fmt.Errorf("%d sidecars are more than the %d that are played on sockets", n, maxSidecars)
	}
	if plan.Servers[len(plan.Servers)-1].Slot >= maxServerSlots {
		return fmt.Errorf("more addresses of boxes than the %d that there are on sockets", maxServerSlots)
	}
	return nil
}

// Run plays a plan. It returns an error where it could not be played; a sidecar that does wrong is in the verdict.
func Run(ctx context.Context, plan *scenario.Plan, options Options) (result *Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newRehearsal(ctx, plan)
	if err := CheckSockets(plan); err != nil {
		return nil, err
	}
	if err := w.claimNetwork(); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, w.guard.Close()) }()
	program, err := findProgram(&options)
	if err != nil {
		return nil, err
	}
	defer close(program.starter)
	defer w.stopServers()
	if err := w.create(ctx, options.Dir); err != nil {
		return nil, err
	}
	if w.links != nil {
		defer w.links.Close()
	}
	defer w.endAll() // also where it could not all be started: no process is left
	if err := w.startAll(ctx, program); err != nil {
		return nil, err
	}
	w.play(ctx, program, options.Progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	w.findHanging(ctx)
	result = &Result{Plan: plan}
	if w.links != nil {
		result.DivergentViews = w.waitForOneView(ctx, program)
	}
	cancel()
	w.endAll()
	w.calls.Wait()
	w.judge(result, options.Events)
	return result, nil
}

// findProgram returns the sidecar to start; the error says how to build it.
func findProgram(options *Options) (*program, error) {
	path, err := filepath.Abs(options.Program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("the sidecar's program: %w (make builds it)", err)
	}
	p := newProgram(path, options.Dir)
	p.env = options.Env
	return p, nil
}

// create makes all that there ever is, without starting it.
func (w *rehearsal) create(ctx context.Context, dir string) (err error) {
	w.createSidecars(w.plan)
	for tier := range w.plan.Tiers {
		w.discovery = append(w.discovery, newTierDiscovery(w, tier))
	}
	for index := range w.plan.Servers {
		w.servers = append(w.servers, newServer(w, index))
	}
	if w.usesHTTP3() {
		if w.authority, err = w.createCertificate(dir); err != nil {
			return err
		}
	}
	if w.plan.Sidecars.Peers {
		return w.startLinks() //nolint:contextcheck // the relays end with Close, which waits for them
	}
	return ctx.Err()
}

// stopServers ends all servers.
func (w *rehearsal) stopServers() {
	for _, server := range w.servers {
		server.stop()
	}
}

// judge judges what has been seen, and adds up what the sidecars used. All have ended.
func (w *rehearsal) judge(result *Result, eventsTo func([]audit.Event)) {
	events, lost := w.log.Events()
	if eventsTo != nil {
		eventsTo(events)
	}
	rules := w.plan.AuditRules()
	for _, s := range w.sidecars {
		rules.Sidecars = append(rules.Sidecars, s.name)
	}
	result.Verdict = audit.Judge(rules, events, lost)
	result.RepeatedEffects = w.repeatedEffects
	result.HTTP3 = w.counters.http3.Load()
	for i := range w.unanswered {
		if n := w.unanswered[i].Load(); n > 0 {
			result.UnansweredFaultyCallers += n
			result.UnansweredInputs = append(result.UnansweredInputs, fmt.Sprintf("%d that sent %.40q", n, faultyRequests[i]))
		}
	}
	for _, s := range w.sidecars {
		result.Processes = append(result.Processes, s.pids...)
		result.CPU += s.cpu
		result.Memory = max(result.Memory, s.memory)
	}
}

// startAll starts all that is there from the beginning: servers, discovery, then the sidecars, those behind first.
func (w *rehearsal) startAll(ctx context.Context, p *program) error {
	for i, b := range w.servers {
		if w.plan.Servers[i].StartsAt == 0 {
			if err := b.start(false); err != nil {
				return fmt.Errorf("%s: %w", w.plan.Name(i), err)
			}
		}
	}
	for i, s := range w.sidecars {
		var err error
		if s.discovery, err = startDiscoveryAgent(w.discovery[s.tier], i, s.notificationDelay); err != nil {
			return err
		}
		if !w.plan.Discovery.Consul {
			continue
		}
		n := w.discovery[s.tier]
		if s.consulAgent, err = startConsulAgent(n, i); err != nil { //nolint:contextcheck // the agent ends with close, which waits for it
			return err
		}
		n.mu.Lock()
		n.consulAgents = append(n.consulAgents, s.consulAgent)
		n.mu.Unlock()
	}
	var wg sync.WaitGroup
	errs := make([]error, len(w.sidecars))
	for i, s := range w.sidecars {
		if box := w.serverOf(s); box >= 0 && w.plan.Servers[box].StartsAt > 0 {
			continue // it starts with its server
		}
		wg.Go(func() { errs[i] = s.start(ctx, p) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, s := range w.sidecars[:w.plan.Sidecars.Count] {
		w.rotation.add(s)
	}
	return nil
}

// serverOf is the server whose calls go through a sidecar, or -1.
func (w *rehearsal) serverOf(s *sidecar) int {
	for box, o := range w.sidecarOf {
		if o == s {
			return box
		}
	}
	return -1
}

// play runs the steps and the arrivals in real time, and waits until every caller has ended.
func (w *rehearsal) play(ctx context.Context, p *program, progress func(Progress)) {
	// Some time to settle, then the clock begins. What was noted before lies below 0.
	const settle = 300 * time.Millisecond
	w.clockOffset.Store(int64(time.Since(w.createdAt) + settle))
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer func() {
		stop()
		watchers.Wait() // progress is told to nobody who has gone
	}()
	watchers.Go(func() { w.watchLateness(watching) })
	if progress != nil {
		watchers.Go(func() { w.reportProgress(watching, progress) })
	}
	var callers, steps sync.WaitGroup
	steps.Go(func() {
		for _, s := range w.plan.Steps {
			if s.At > w.plan.Length || !w.waitUntil(ctx, s.At) {
				return
			}
			w.noteLate(w.now() - s.At) // a server that ought to be down by now takes calls
			w.playStep(ctx, p, s, &steps)
		}
	})
	for n := range w.plan.Arrivals {
		if !w.waitUntil(ctx, w.plan.Arrivals[n].At) {
			break
		}
		callers.Go(func() { w.playArrival(n) })
	}
	callers.Wait()
	w.faultyCallers.Store(0)
	steps.Wait()
}

func (w *rehearsal) waitUntil(ctx context.Context, at time.Duration) bool {
	if wait := at - w.now(); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

func (w *rehearsal) reportProgress(ctx context.Context, progress func(Progress)) {
	for s := 1; w.waitUntil(ctx, time.Duration(s)*time.Second); s++ {
		c := &w.counters
		progress(Progress{w.now().Truncate(time.Second), c.requests.Load(), c.served.Load(), c.rejected.Load(), c.failed.Load(), c.attempts.Load()})
	}
}

// findHanging finds sidecars that are there and do not answer.
func (w *rehearsal) findHanging(ctx context.Context) {
	for _, s := range w.sidecars {
		if s.serving() && !s.answers(ctx) {
			select {
			case <-s.ended:
			default:
				s.recordDeath("hangs: GET /ready is not answered")
			}
		}
	}
}

// endAll ends all sidecars and their discovery.
func (w *rehearsal) endAll() {
	// A sidecar that was told to end waits for callers that are connected.
	w.rotation.idle.close()
	for _, s := range w.sidecars {
		s.idle.close()
	}
	var wg sync.WaitGroup
	for _, s := range w.sidecars {
		wg.Go(func() { s.terminate() })
	}
	wg.Wait()
	for _, s := range w.sidecars {
		if s.discovery != nil {
			s.discovery.close()
		}
		if s.consulAgent != nil {
			s.consulAgent.close()
		}
	}
}
