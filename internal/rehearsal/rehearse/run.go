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

// maxSidecars bounds how many sidecars are played on sockets, each of which is a process.
const maxSidecars = 64

// Options are how a rehearsal is run.
type Options struct {
	Program  string              // path of the sidecar's program
	Env      []string            // its environment beside this process's own
	Dir      string              // folder of its configurations and logs; it must exist
	Progress func(Progress)      // is called once a second; nil for none
	Events   func([]audit.Event) // gets all events at the end; nil for none
}

// Progress is how far a rehearsal has come. Its counts are of all that has happened so far.
type Progress struct {
	At                                 time.Duration // on the rehearsal's clock, in whole seconds
	Requests, Served, Rejected, Failed int64         // requests of callers from outside
	Attempts                           int64         // at servers of all tiers
}

// Result is the result of a rehearsal.
type Result struct {
	Plan                    *scenario.Plan
	Verdict                 *audit.Verdict
	CPU                     time.Duration // of all sidecars together
	Memory                  int64         // of the largest sidecar, in bytes
	UnansweredFaultyCallers int64         // faulty requests that were neither answered nor closed in time
	UnansweredInputs        []string      // which these were
	HTTP3                   int64         // attempts that came over HTTP/3
	Processes               []int         // ids of all sidecar processes; all have ended
	DivergentViews          string        // of sidecars that find one another; empty if they had one settled view at the end
	RepeatedEffects         int           // effects of a key beyond its first, the callers' own retries included
}

// CheckSockets returns why a plan can be played in virtual time only; nil if it can be played on sockets too.
func CheckSockets(plan *scenario.Plan) error {
	if n := len(plan.SidecarSpecs()); n > maxSidecars {
		return fmt.Errorf("%d sidecars are more than the %d that are played on sockets", n, maxSidecars)
	}
	if plan.Servers[len(plan.Servers)-1].Slot >= maxServerSlots {
		return fmt.Errorf("more addresses of boxes than the %d that there are on sockets", maxServerSlots)
	}
	return nil
}

// Run plays a plan. It returns an error if the plan could not be played; what a sidecar did wrong is in the verdict.
func Run(ctx context.Context, plan *scenario.Plan, options Options) (result *Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rehearsal := newRehearsal(ctx, plan)
	if err := CheckSockets(plan); err != nil {
		return nil, err
	}
	if err := rehearsal.claimNetwork(); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, rehearsal.guard.Close()) }()
	program, err := findProgram(&options)
	if err != nil {
		return nil, err
	}
	defer close(program.starter)
	defer rehearsal.stopServers()
	if err := rehearsal.create(ctx, options.Dir); err != nil {
		return nil, err
	}
	if rehearsal.links != nil {
		defer rehearsal.links.Close()
	}
	defer rehearsal.endAll() // also if not all could be started: no process is left
	if err := rehearsal.startAll(ctx, program); err != nil {
		return nil, err
	}
	rehearsal.play(ctx, program, options.Progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	rehearsal.findHanging(ctx)
	result = &Result{Plan: plan}
	if rehearsal.links != nil {
		result.DivergentViews = rehearsal.waitForOneView(ctx, program)
	}
	cancel()
	rehearsal.endAll()
	rehearsal.calls.Wait()
	rehearsal.judge(result, options.Events)
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

// create creates the servers, their discovery and the sidecars, and starts none of them.
func (r *rehearsal) create(ctx context.Context, dir string) (err error) {
	r.createSidecars()
	for tier := range r.plan.Tiers {
		r.discovery = append(r.discovery, newTierDiscovery(r, tier))
	}
	for index := range r.plan.Servers {
		r.servers = append(r.servers, newServer(r, index))
	}
	if r.usesHTTP3() {
		if r.authority, err = r.createCertificate(dir); err != nil {
			return err
		}
	}
	if r.plan.Sidecars.Peers {
		return r.startLinks() //nolint:contextcheck // the relays end with Close, which waits for them
	}
	return ctx.Err()
}

// stopServers ends all servers.
func (r *rehearsal) stopServers() {
	for _, server := range r.servers {
		server.stop()
	}
}

// judge judges the events, and adds up what the sidecars used. All have ended.
func (r *rehearsal) judge(result *Result, eventsTo func([]audit.Event)) {
	events, lost := r.log.Events()
	if eventsTo != nil {
		eventsTo(events)
	}
	rules := r.plan.AuditRules()
	for _, s := range r.sidecars {
		rules.Sidecars = append(rules.Sidecars, s.name)
	}
	result.Verdict = audit.Judge(rules, events, lost)
	result.RepeatedEffects = r.repeatedEffects
	result.HTTP3 = r.counters.http3.Load()
	for i := range r.unanswered {
		if n := r.unanswered[i].Load(); n > 0 {
			result.UnansweredFaultyCallers += n
			result.UnansweredInputs = append(result.UnansweredInputs, fmt.Sprintf("%d that sent %.40q", n, faultyRequests[i]))
		}
	}
	for _, s := range r.sidecars {
		result.Processes = append(result.Processes, s.pids...)
		result.CPU += s.cpu
		result.Memory = max(result.Memory, s.memory)
	}
}

// startAll starts what is there from the beginning: servers, discovery, then the sidecars.
func (r *rehearsal) startAll(ctx context.Context, program *program) error {
	for i, server := range r.servers {
		if r.plan.Servers[i].StartsAt > 0 {
			continue
		}
		if err := server.start(false); err != nil {
			return fmt.Errorf("%s: %w", r.plan.Name(i), err)
		}
	}
	for _, s := range r.sidecars {
		if err := r.startDiscovery(s); err != nil { //nolint:contextcheck // its agents end with close, which waits for them
			return err
		}
	}
	if err := r.startSidecars(ctx, program); err != nil {
		return err
	}
	for _, s := range r.firstTierSidecars() {
		r.rotation.add(s)
	}
	return nil
}

// startDiscovery starts the discovery of one sidecar: the platform's, and Consul's where the scenario has it.
func (r *rehearsal) startDiscovery(s *sidecar) (err error) {
	tier := r.discovery[s.tier]
	if s.discovery, err = startDiscoveryAgent(tier, s.index, s.notificationDelay); err != nil {
		return err
	}
	if !r.plan.Discovery.Consul {
		return nil
	}
	if s.consulAgent, err = startConsulAgent(tier, s.index); err != nil {
		return err
	}
	tier.addConsulAgent(s.consulAgent)
	return nil
}

// startSidecars starts all sidecars at once, but for those whose server starts later, and waits until they serve.
func (r *rehearsal) startSidecars(ctx context.Context, program *program) error {
	var starting sync.WaitGroup
	errs := make([]error, len(r.sidecars))
	for i, s := range r.sidecars {
		if server := r.serverOf(s); server >= 0 && r.plan.Servers[server].StartsAt > 0 {
			continue // it starts with its server
		}
		starting.Go(func() { errs[i] = s.start(ctx, program) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// serverOf returns the server whose calls go through a sidecar, or -1.
func (r *rehearsal) serverOf(s *sidecar) int {
	for server, other := range r.sidecarOf {
		if other == s {
			return server
		}
	}
	return -1
}

// settleTime is from when all sidecars serve to when callers come. What is recorded before lies below 0 on the clock.
const settleTime = 300 * time.Millisecond

// play plays the steps and the arrivals in real time, and waits until every caller has ended.
func (r *rehearsal) play(ctx context.Context, program *program, progress func(Progress)) {
	r.clockOffset.Store(int64(time.Since(r.createdAt) + settleTime))
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer func() {
		stop()
		watchers.Wait() // progress is not called once Run has returned
	}()
	watchers.Go(func() { r.watchLateness(watching) })
	if progress != nil {
		watchers.Go(func() { r.reportProgress(watching, progress) })
	}
	var callers, steps sync.WaitGroup
	steps.Go(func() { r.playSteps(ctx, program, &steps) })
	for n := range r.plan.Arrivals {
		if !r.waitUntil(ctx, r.plan.Arrivals[n].At) {
			break
		}
		callers.Go(func() { r.playArrival(n) })
	}
	callers.Wait()
	r.faultyCallers.Store(0)
	steps.Wait()
}

// playSteps plays the steps when they are due. What takes longer goes on among steps.
func (r *rehearsal) playSteps(ctx context.Context, program *program, steps *sync.WaitGroup) {
	for i := range r.plan.Steps {
		step := &r.plan.Steps[i]
		if step.At > r.plan.Length || !r.waitUntil(ctx, step.At) {
			return
		}
		r.recordLateness(r.now() - step.At) // late, a server that should be down by now takes calls
		r.playStep(ctx, program, step, steps)
	}
}

// waitUntil waits until a time on the rehearsal's clock; false if the context ends before.
func (r *rehearsal) waitUntil(ctx context.Context, at time.Duration) bool {
	if wait := at - r.now(); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// reportProgress reports progress once a second, until the context ends.
func (r *rehearsal) reportProgress(ctx context.Context, progress func(Progress)) {
	c := &r.counters
	for second := 1; r.waitUntil(ctx, time.Duration(second)*time.Second); second++ {
		progress(Progress{
			At:       r.now().Truncate(time.Second),
			Requests: c.requests.Load(), Served: c.served.Load(), Rejected: c.rejected.Load(), Failed: c.failed.Load(),
			Attempts: c.attempts.Load(),
		})
	}
}

// findHanging records sidecars that run and do not answer.
func (r *rehearsal) findHanging(ctx context.Context) {
	for _, s := range r.sidecars {
		if s.serving() && !s.isReady(ctx) {
			select {
			case <-s.ended:
			default:
				s.recordDeath("hangs: GET /ready is not answered")
			}
		}
	}
}

// endAll ends all sidecars and their discovery.
func (r *rehearsal) endAll() {
	// A sidecar that was asked to end waits for callers that are connected.
	r.rotation.idle.close()
	for _, s := range r.sidecars {
		s.idle.close()
	}
	var ending sync.WaitGroup
	for _, s := range r.sidecars {
		ending.Go(s.terminate)
	}
	ending.Wait()
	for _, s := range r.sidecars {
		if s.discovery != nil {
			s.discovery.close()
		}
		if s.consulAgent != nil {
			s.consulAgent.close()
		}
	}
}
