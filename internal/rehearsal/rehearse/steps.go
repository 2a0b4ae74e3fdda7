package rehearse

import (
	"context"
	"fmt"
	"sync"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// playStep plays one step of the plan. Actions that take longer continue in goroutines of the wait group steps.
func (r *rehearsal) playStep(ctx context.Context, program *program, step *scenario.Step, steps *sync.WaitGroup) {
	switch step.Kind {
	case scenario.ServerCrash, scenario.ServerSilence, scenario.ServerStart,
		scenario.ServerPause, scenario.ServerSlowdown, scenario.ServerFault:
		r.playServerStep(ctx, program, step, steps)
	case scenario.DiscoveryUpdate:
		r.discovery[r.plan.Servers[step.Server].Tier].update(step.Server, step.State, step.Boot)
	case scenario.DiscoveryWeight:
		r.discovery[r.plan.Servers[step.Server].Tier].setWeight(step.Server, step.Amount)
	case scenario.DiscoveryRepeat:
		for _, tier := range r.discovery {
			tier.setRepeats(step.Amount > 0)
		}
	case scenario.DiscoverySilence:
		for _, tier := range r.discovery {
			tier.setSilent(step.Amount > 0)
		}
	case scenario.SidecarSignal:
		r.sidecars[step.Sidecar].signal(step.Name)
	case scenario.SidecarRestart:
		sidecar := r.sidecars[step.Sidecar]
		steps.Go(func() {
			if err := sidecar.restart(ctx, program); err != nil {
				r.recordFailure(ctx, step, err)
				return
			}
			r.rotation.add(sidecar)
		})
	case scenario.LinkFault:
		r.applyLinkFault(step)
	case scenario.FaultyCallerCount:
		before := int(r.faultyCallers.Swap(int64(step.Amount)))
		for i := before; i < int(step.Amount); i++ {
			r.calls.Go(func() { r.runFaultyCaller(i) })
		}
	}
}

// recordFailure records the error of a step that could not be played. It does nothing if err is nil or the rehearsal is over.
func (r *rehearsal) recordFailure(ctx context.Context, step *scenario.Step, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	r.record(audit.Event{
		At: r.now(), Kind: audit.SidecarDied, Sidecar: step.Sidecar, Server: step.Server, Origin: -1, Text: err.Error(),
	})
}

// playServerStep plays a step of a server, and applies it to the server's sidecar where it affects the whole machine.
func (r *rehearsal) playServerStep(ctx context.Context, program *program, step *scenario.Step, steps *sync.WaitGroup) {
	server, sidecar := r.servers[step.Server], r.sidecarOf[step.Server]
	switch step.Kind {
	case scenario.ServerCrash:
		if sidecar != nil {
			sidecar.signal("SIGKILL")
		}
		server.stop()
	case scenario.ServerSilence:
		if sidecar != nil {
			sidecar.signal("SIGSTOP")
		}
		steps.Go(server.silence)
	case scenario.ServerStart:
		server.stop()
		if err := server.start(true); err != nil {
			r.recordFailure(ctx, step, fmt.Errorf("%s cannot start: %w", r.plan.Name(step.Server), err))
			return
		}
		if sidecar != nil {
			sidecar.killWithServer()
			steps.Go(func() { r.recordFailure(ctx, step, sidecar.restart(ctx, program)) })
		}
	case scenario.ServerPause, scenario.ServerSlowdown:
		server.changeSpeed(step)
	default:
		server.setFault(step.Name, step.Amount)
	}
}
