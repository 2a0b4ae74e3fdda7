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
	"quincegap/internal/rehearsal/morning"
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
	Plan                    *morning.Plan
	Verdict                 *audit.Verdict
	CPU                     time.Duration // of all sidecars together
	Memory                  int64         // of the largest, in bytes
	UnansweredFaultyCallers int64         // rude callers that got neither an answer nor a close in time
	UnansweredInputs        []string
	HTTP3                   int64 // attempts that came over HTTP/3
	// Processes are the sidecars' that were started; all have ended.
	Processes       []int
	DivergentViews  string // the views of sidecars that find one another, where they were not one and settled in the end
	RepeatedEffects int    // effects of a key beyond its first, callers' own repeats included
}

// CheckSockets tells why a plan can be played in virtual time alone, nil if it can be on sockets too.
func CheckSockets(plan *morning.Plan) error {
	if n := len(plan.SidecarSpecs()); n > maxSidecars {
		return fmt.Errorf("%d sidecars are more than the %d that are played on sockets", n, maxSidecars)
	}
	if plan.Servers[len(plan.Servers)-1].Slot >= maxServerSlots {
		return fmt.Errorf("more addresses of boxes than the %d that there are on sockets", maxServerSlots)
	}
	return nil
}

// Run plays a plan. It returns an error where it could not be played; a sidecar that does wrong is in the verdict.
func Run(ctx context.Context, plan *morning.Plan, o Options) (result *Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newRehearsal(ctx, plan)
	if err := CheckSockets(plan); err != nil {
		return nil, err
	}
	if err := w.claimNetwork(); err != nil {
		return nil, err
	}
	defer w.guard.Close()
	path, err := filepath.Abs(o.Program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("the sidecar's program: %w (make builds it)", err)
	}
	program := newProgram(path, o.Dir)
	program.env = o.Env
	defer close(program.starter)
	w.createSidecars(plan)
	for i := range plan.Tiers {
		w.discovery = append(w.discovery, newTierDiscovery(w, i))
	}
	for i := range plan.Servers {
		w.servers = append(w.servers, newServer(w, i))
	}
	defer func() {
		for _, b := range w.servers {
			b.stop()
		}
	}()
	if w.usesHTTP3() {
		if w.authority, err = w.createCertificate(o.Dir); err != nil {
			return nil, err
		}
	}
	if plan.Sidecars.Peers {
		if err := w.startLinks(); err != nil {
			return nil, err
		}
		defer w.links.Close()
	}
	defer func() { w.endAll(program) }() // also where it could not all be started: no process is left
	if err := w.startAll(ctx, program); err != nil {
		return nil, err
	}
	w.play(ctx, program, o.Progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	w.findHanging(ctx)
	result = &Result{Plan: plan}
	if w.links != nil {
		result.DivergentViews = w.waitForOneView(ctx, program)
	}
	cancel()
	w.endAll(program)
	w.calls.Wait()
	events, lost := w.log.Events()
	if o.Events != nil {
		o.Events(events)
	}
	rules := plan.AuditRules()
	for _, s := range w.sidecars {
		rules.Sidecars = append(rules.Sidecars, s.name)
	}
	result.Verdict, result.RepeatedEffects, result.HTTP3 = audit.Judge(rules, events, lost), w.repeatedEffects, w.counters.http3.Load()
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
	return result, nil
}

// startAll starts all that is there from the beginning: boxes, discovery, then the sidecars, those behind first.
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
		if s.consulAgent, err = startConsulAgent(n, i); err != nil {
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
			continue // it starts with its box
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

// serverOf is the box whose calls go through a sidecar, or -1.
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
			w.noteLate(w.now() - s.At) // a box that ought to be down by now takes calls
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

// playStep plays one step of the plan.
func (w *rehearsal) playStep(ctx context.Context, p *program, s morning.Step, steps *sync.WaitGroup) {
	failed := func(err error) {
		if err != nil && ctx.Err() == nil {
			w.record(audit.Event{At: w.now(), Kind: audit.SidecarDied, Sidecar: s.Sidecar, Server: s.Server, Origin: -1, Text: err.Error()})
		}
	}
	var b *server
	if s.Kind <= morning.DiscoveryUpdate || s.Kind == morning.DiscoveryWeight {
		b = w.servers[s.Server]
	}
	switch s.Kind {
	case morning.ServerCrash:
		if own := w.sidecarOf[s.Server]; own != nil {
			own.signal("SIGKILL")
		}
		b.stop()
	case morning.ServerSilence:
		if own := w.sidecarOf[s.Server]; own != nil {
			own.signal("SIGSTOP")
		}
		steps.Go(b.silence)
	case morning.ServerStart:
		b.stop()
		if err := b.start(true); err != nil {
			failed(fmt.Errorf("%s cannot start: %w", w.plan.Name(s.Server), err))
			return
		}
		if own := w.sidecarOf[s.Server]; own != nil {
			own.signal("SIGKILL") // it went silent with its box
			own.mu.Lock()
			own.stopped = false
			own.mu.Unlock()
			steps.Go(func() { failed(own.restart(ctx, p)) })
		}
	case morning.ServerPause, morning.ServerSlowdown:
		b.mu.Lock()
		if b.model != nil {
			b.advance()
			if s.Kind == morning.ServerPause {
				b.model.Pause(w.now(), s.Until)
			} else {
				b.model.Slow(w.now(), s.Amount)
			}
			b.resetTimer()
		}
		b.mu.Unlock()
	case morning.ServerFault:
		b.mu.Lock()
		b.faults[s.Name] = s.Amount
		b.mu.Unlock()
	case morning.DiscoveryUpdate:
		w.discovery[w.plan.Servers[s.Server].Tier].update(s.Server, s.State, s.Boot)
	case morning.DiscoveryWeight:
		w.discovery[w.plan.Servers[s.Server].Tier].setWeight(s.Server, s.Amount)
	case morning.DiscoveryRepeat:
		for _, n := range w.discovery {
			n.setRepeats(s.Amount > 0)
		}
	case morning.DiscoverySilence:
		for _, n := range w.discovery {
			n.setSilent(s.Amount > 0)
		}
	case morning.SidecarSignal:
		w.sidecars[s.Sidecar].signal(s.Name)
	case morning.SidecarRestart:
		own := w.sidecars[s.Sidecar]
		steps.Go(func() {
			if err := own.restart(ctx, p); err != nil {
				failed(err)
				return
			}
			w.rotation.add(own)
		})
	case morning.LinkFault:
		w.applyLinkFault(s)
	case morning.FaultyCallerCount:
		before := int(w.faultyCallers.Swap(int64(s.Amount)))
		for i := before; i < int(s.Amount); i++ {
			w.calls.Go(func() { w.runFaultyCaller(i) })
		}
	}
}

// findHanging finds sidecars that are there and do not answer.
func (w *rehearsal) findHanging(ctx context.Context) {
	for _, s := range w.sidecars {
		if s.serving() && !s.answers(ctx) {
			select {
			case <-s.ended:
			default:
				w.record(audit.Event{At: w.now(), Kind: audit.SidecarDied, Sidecar: s.index, Server: -1, Origin: -1, Text: "hangs: GET /ready is not answered"})
			}
		}
	}
}

// endAll ends all sidecars and their discovery.
func (w *rehearsal) endAll(p *program) {
	// A sidecar that was told to end waits for callers that are connected.
	w.rotation.idle.close()
	for _, s := range w.sidecars {
		s.idle.close()
	}
	var wg sync.WaitGroup
	for _, s := range w.sidecars {
		wg.Go(func() { s.terminate(p) })
	}
	wg.Wait()
	for _, s := range w.sidecars {
		if s.discovery != nil {
			s.discovery.server.Close()
		}
		if s.consulAgent != nil {
			s.consulAgent.close()
		}
	}
}
