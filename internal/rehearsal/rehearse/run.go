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

// mostSidecars are played on sockets, each a process.
const mostSidecars = 64

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
	At                                       time.Duration
	Asked, Served, Refused, Failed, Attempts int64 // so far
}

// Result is what came of one.
type Result struct {
	Plan    *morning.Plan
	Verdict *audit.Verdict
	CPU     time.Duration // of all sidecars together
	Memory  int64         // of the largest, in bytes
	Hanging int64         // rude callers that got neither an answer nor a close in time
	HungOn  []string
	HTTP3   int64 // attempts that came over HTTP/3
	// Processes are the sidecars' that were started; all have ended.
	Processes []int
	Apart     string // the views of sidecars that find one another, where they were not one and settled in the end
	Again     int    // effects of a key beyond its first, callers' own repeats included
}

// Check tells why a plan can be played in virtual time alone, nil if it can be on sockets too.
func Check(plan *morning.Plan) error {
	if n := len(plan.Senders()); n > mostSidecars {
		return fmt.Errorf("%d sidecars are more than the %d that are played on sockets", n, mostSidecars)
	}
	if plan.Boxes[len(plan.Boxes)-1].Slot >= mostBoxSlots {
		return fmt.Errorf("more addresses of boxes than the %d that there are on sockets", mostBoxSlots)
	}
	return nil
}

// Run plays a plan. It returns an error where it could not be played; a sidecar that does wrong is in the verdict.
func Run(ctx context.Context, plan *morning.Plan, o Options) (result *Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWorld(ctx, plan)
	if err := Check(plan); err != nil {
		return nil, err
	}
	if err := w.claim(); err != nil {
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
	w.sidecarsOf(plan)
	for i := range plan.Tiers {
		w.news = append(w.news, newNews(w, i))
	}
	for i := range plan.Boxes {
		w.boxes = append(w.boxes, newBox(w, i))
	}
	defer func() {
		for _, b := range w.boxes {
			b.stop()
		}
	}()
	if w.speaksHTTP3() {
		if w.authority, err = w.certify(o.Dir); err != nil {
			return nil, err
		}
	}
	if plan.Sidecars.Peers {
		if err := w.link(); err != nil {
			return nil, err
		}
		defer w.links.Close()
	}
	defer func() { w.endAll(program) }() // also where it could not all be started: no process is left
	if err := w.open(ctx, program); err != nil {
		return nil, err
	}
	w.play(ctx, program, o.Progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	w.hangs(ctx)
	result = &Result{Plan: plan}
	if w.links != nil {
		result.Apart = w.apart(ctx, program)
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
	result.Verdict, result.Again, result.HTTP3 = audit.Judge(rules, events, lost), w.again, w.counters.http3.Load()
	for i := range w.hanging {
		if n := w.hanging[i].Load(); n > 0 {
			result.Hanging += n
			result.HungOn = append(result.HungOn, fmt.Sprintf("%d that sent %.40q", n, rudeness[i]))
		}
	}
	for _, s := range w.sidecars {
		result.Processes = append(result.Processes, s.pids...)
		result.CPU += s.cpu
		result.Memory = max(result.Memory, s.memory)
	}
	return result, nil
}

// open starts all that is there from the beginning: boxes, discovery, then the sidecars, those behind first.
func (w *world) open(ctx context.Context, p *program) error {
	for i, b := range w.boxes {
		if w.plan.Boxes[i].From == 0 {
			if err := b.start(false); err != nil {
				return fmt.Errorf("%s: %w", w.plan.Name(i), err)
			}
		}
	}
	for i, s := range w.sidecars {
		var err error
		if s.agent, err = startAgent(w.news[s.tier], i, s.late); err != nil {
			return err
		}
		if !w.plan.Discovery.Consul {
			continue
		}
		n := w.news[s.tier]
		if s.agency, err = startAgency(n, i); err != nil {
			return err
		}
		n.mu.Lock()
		n.agencies = append(n.agencies, s.agency)
		n.mu.Unlock()
	}
	var wg sync.WaitGroup
	errs := make([]error, len(w.sidecars))
	for i, s := range w.sidecars {
		if box := w.boxBefore(s); box >= 0 && w.plan.Boxes[box].From > 0 {
			continue // it starts with its box
		}
		wg.Go(func() { errs[i] = s.start(ctx, p) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, s := range w.sidecars[:w.plan.Sidecars.Count] {
		w.front.add(s)
	}
	return nil
}

// boxBefore is the box whose calls go through a sidecar, or -1.
func (w *world) boxBefore(s *sidecar) int {
	for box, o := range w.behind {
		if o == s {
			return box
		}
	}
	return -1
}

// play runs the steps and the arrivals in real time, and waits until every caller has ended.
func (w *world) play(ctx context.Context, p *program, progress func(Progress)) {
	// Some time to settle, then the clock begins. What was noted before lies below 0.
	const settle = 300 * time.Millisecond
	w.begins.Store(int64(time.Since(w.made) + settle))
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer func() {
		stop()
		watchers.Wait() // progress is told to nobody who has gone
	}()
	watchers.Go(func() { w.watch(watching) })
	if progress != nil {
		watchers.Go(func() { w.tellProgress(watching, progress) })
	}
	var callers, steps sync.WaitGroup
	steps.Go(func() {
		for _, s := range w.plan.Steps {
			if s.At > w.plan.Length || !w.until(ctx, s.At) {
				return
			}
			w.noteLate(w.now() - s.At) // a box that ought to be down by now takes calls
			w.step(ctx, p, s, &steps)
		}
	})
	for n := range w.plan.Arrivals {
		if !w.until(ctx, w.plan.Arrivals[n].At) {
			break
		}
		callers.Go(func() { w.arrive(n) })
	}
	callers.Wait()
	w.rude.Store(0)
	steps.Wait()
}

func (w *world) until(ctx context.Context, at time.Duration) bool {
	if wait := at - w.now(); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

func (w *world) tellProgress(ctx context.Context, progress func(Progress)) {
	for s := 1; w.until(ctx, time.Duration(s)*time.Second); s++ {
		c := &w.counters
		progress(Progress{w.now().Truncate(time.Second), c.asked.Load(), c.served.Load(), c.refused.Load(), c.failed.Load(), c.attempts.Load()})
	}
}

// step plays one step of the plan.
func (w *world) step(ctx context.Context, p *program, s morning.Step, steps *sync.WaitGroup) {
	failed := func(err error) {
		if err != nil && ctx.Err() == nil {
			w.add(audit.Event{At: w.now(), Kind: audit.Died, Sidecar: s.Sidecar, Box: s.Box, Origin: -1, Text: err.Error()})
		}
	}
	var b *box
	if s.Do <= morning.Tell || s.Do == morning.Weigh {
		b = w.boxes[s.Box]
	}
	switch s.Do {
	case morning.Crash:
		if own := w.behind[s.Box]; own != nil {
			own.signal("SIGKILL")
		}
		b.stop()
	case morning.Silence:
		if own := w.behind[s.Box]; own != nil {
			own.signal("SIGSTOP")
		}
		steps.Go(b.silence)
	case morning.Start:
		b.stop()
		if err := b.start(true); err != nil {
			failed(fmt.Errorf("%s cannot start: %w", w.plan.Name(s.Box), err))
			return
		}
		if own := w.behind[s.Box]; own != nil {
			own.signal("SIGKILL") // it went silent with its box
			own.mu.Lock()
			own.stopped = false
			own.mu.Unlock()
			steps.Go(func() { failed(own.revive(ctx, p)) })
		}
	case morning.Pause, morning.Slow:
		b.mu.Lock()
		if b.model != nil {
			b.advance()
			if s.Do == morning.Pause {
				b.model.Pause(w.now(), s.Until)
			} else {
				b.model.Slow(w.now(), s.By)
			}
			b.arm()
		}
		b.mu.Unlock()
	case morning.Fault:
		b.mu.Lock()
		b.faults[s.What] = s.By
		b.mu.Unlock()
	case morning.Tell:
		w.news[w.plan.Boxes[s.Box].Tier].tell(s.Box, s.State, s.Boot)
	case morning.Weigh:
		w.news[w.plan.Boxes[s.Box].Tier].weigh(s.Box, s.By)
	case morning.Again:
		for _, n := range w.news {
			n.repeat(s.By > 0)
		}
	case morning.Quiet:
		for _, n := range w.news {
			n.silent(s.By > 0)
		}
	case morning.Signal:
		w.sidecars[s.Sidecar].signal(s.What)
	case morning.Revive:
		own := w.sidecars[s.Sidecar]
		steps.Go(func() {
			if err := own.revive(ctx, p); err != nil {
				failed(err)
				return
			}
			w.front.add(own)
		})
	case morning.Link:
		w.befall(s)
	case morning.Rude:
		before := int(w.rude.Swap(int64(s.By)))
		for i := before; i < int(s.By); i++ {
			w.calls.Go(func() { w.beRude(i) })
		}
	}
}

// hangs finds sidecars that are there and do not answer.
func (w *world) hangs(ctx context.Context) {
	for _, s := range w.sidecars {
		if s.serving() && !s.answers(ctx) {
			select {
			case <-s.ended:
			default:
				w.add(audit.Event{At: w.now(), Kind: audit.Died, Sidecar: s.index, Box: -1, Origin: -1, Text: "hangs: GET /ready is not answered"})
			}
		}
	}
}

// endAll ends all sidecars and their discovery.
func (w *world) endAll(p *program) {
	// A sidecar that was told to end waits for callers that are connected.
	w.front.idle.close()
	for _, s := range w.sidecars {
		s.idle.close()
	}
	var wg sync.WaitGroup
	for _, s := range w.sidecars {
		wg.Go(func() { s.end(p) })
	}
	wg.Wait()
	for _, s := range w.sidecars {
		if s.agent != nil {
			s.agent.server.Close()
		}
		if s.agency != nil {
			s.agency.close()
		}
	}
}
