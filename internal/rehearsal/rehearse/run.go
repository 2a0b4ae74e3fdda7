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

// maxSidecars bounds the number of sidecars in a rehearsal on sockets, because each one is a process.
const maxSidecars = 64

// Options configure a rehearsal.
type Options struct {
	Program  string              // path of the sidecar's program
	Env      []string            // environment variables added to those of this process
	Dir      string              // folder for the sidecars' configuration files and logs; it must exist
	Progress func(Progress)      // function called once a second; may be nil
	Events   func([]audit.Event) // function called at the end with all events; may be nil
}

// Progress is the progress of a rehearsal. Its counts are totals since the start.
type Progress struct {
	At                                 time.Duration // time on the rehearsal's clock, in whole seconds
	Requests, Served, Rejected, Failed int64         // counts of requests by external callers
	Attempts                           int64         // number of attempts at the servers of all tiers
}

// Result is the result of a rehearsal.
type Result struct {
	Plan                    *scenario.Plan
	Verdict                 *audit.Verdict
	CPU                     time.Duration // total CPU time of all sidecars
	Memory                  int64         // peak memory of the largest sidecar, in bytes
	UnansweredFaultyCallers int64         // number of faulty requests neither answered nor closed in time
	UnansweredInputs        []string      // descriptions of these requests: count and input
	HTTP3                   int64         // number of attempts over HTTP/3
	Processes               []int         // ids of all sidecar processes, which have all ended
	DivergentViews          string        // the sidecars' views of their peers if they differ at the end, otherwise empty
	RepeatedEffects         int           // effects of an idempotency key after its first, including those of the callers' retries
}

// CheckSockets returns an error that tells why a plan can be played only in virtual time, or nil if it can also be played on sockets.
func CheckSockets(plan *scenario.Plan) error {
	if n := len(plan.SidecarSpecs()); n > maxSidecars {
		return fmt.Errorf("%d sidecars are more than the %d that are played on sockets", n, maxSidecars)
	}
	if plan.Servers[len(plan.Servers)-1].Slot >= maxServerSlots {
		return fmt.Errorf("boxes of the plan need more than the %d addresses available on sockets", maxServerSlots)
	}
	return nil
}

// Run plays a plan on sockets. It fails if the plan cannot be played or the context ends; faults of the sidecars are reported in the
// verdict and are no error.
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
	defer func() { err = errors.Join(err, rehearsal.networkClaim.Close()) }()
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
	defer rehearsal.stopSidecars() // also after a failed start, so that no process is left
	if err := rehearsal.startAll(ctx, program); err != nil {
		return nil, err
	}
	rehearsal.play(ctx, program, options.Progress)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	rehearsal.recordHangingSidecars(ctx)
	result = &Result{Plan: plan}
	if rehearsal.links != nil {
		result.DivergentViews = rehearsal.waitForConvergence(ctx, program)
	}
	cancel()
	rehearsal.stopSidecars()
	rehearsal.calls.Wait()
	rehearsal.judge(result, options.Events)
	return result, nil
}

// findProgram returns the sidecar's program. It fails if the file does not exist; the error says how to build it.
func findProgram(options *Options) (*program, error) {
	path, err := filepath.Abs(options.Program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("find sidecar program: %w (run make to build it)", err)
	}
	p := newProgram(path, options.Dir)
	p.env = options.Env
	return p, nil
}

// create creates the servers, their discovery and the sidecars without starting them. It starts the relays between sidecars, if any.
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

// stopServers stops all servers.
func (r *rehearsal) stopServers() {
	for _, server := range r.servers {
		server.stop()
	}
}

// judge passes the events to the audit and fills in the result. All sidecars must have ended.
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

// recordHangingSidecars records the sidecars whose process runs but does not answer GET /ready.
func (r *rehearsal) recordHangingSidecars(ctx context.Context) {
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

// stopSidecars stops all sidecars, then their discovery.
func (r *rehearsal) stopSidecars() {
	// A terminating sidecar waits for connected callers, so their connections are closed first.
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
