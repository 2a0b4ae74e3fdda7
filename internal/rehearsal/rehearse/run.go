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
