package rehearse

import (
	"context"
	"fmt"
	"sync"

	"quincegap/internal/rehearsal/audit"
	"quincegap/internal/rehearsal/scenario"
)

// playStep plays one step of the plan. What takes longer goes on among steps.
func (w *rehearsal) playStep(ctx context.Context, p *program, step scenario.Step, steps *sync.WaitGroup) {
	switch step.Kind {
	case scenario.ServerCrash, scenario.ServerSilence, scenario.ServerStart, scenario.ServerPause, scenario.ServerSlowdown, scenario.ServerFault:
		w.playServerStep(ctx, p, &step, steps)
	case scenario.DiscoveryUpdate:
		w.discovery[w.plan.Servers[step.Server].Tier].update(step.Server, step.State, step.Boot)
	case scenario.DiscoveryWeight:
		w.discovery[w.plan.Servers[step.Server].Tier].setWeight(step.Server, step.Amount)
	case scenario.DiscoveryRepeat:
		for _, tier := range w.discovery {
			tier.setRepeats(step.Amount > 0)
		}
	case scenario.DiscoverySilence:
		for _, tier := range w.discovery {
			tier.setSilent(step.Amount > 0)
		}
	case scenario.SidecarSignal:
		w.sidecars[step.Sidecar].signal(step.Name)
	case scenario.SidecarRestart:
		sidecar := w.sidecars[step.Sidecar]
		steps.Go(func() {
			if err := sidecar.restart(ctx, p); err != nil {
				w.recordFailure(ctx, &step, err)
				return
			}
			w.rotation.add(sidecar)
		})
	case scenario.LinkFault:
		w.applyLinkFault(step)
	case scenario.FaultyCallerCount:
		before := int(w.faultyCallers.Swap(int64(step.Amount)))
		for i := before; i < int(step.Amount); i++ {
			w.calls.Go(func() { w.runFaultyCaller(i) })
		}
	}
}

// recordFailure notes that a step could not be played, unless the rehearsal is over.
func (w *rehearsal) recordFailure(ctx context.Context, step *scenario.Step, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	w.record(audit.Event{
		At: w.now(), Kind: audit.SidecarDied, Sidecar: step.Sidecar, Server: step.Server, Origin: -1, Text: err.Error(),
	})
}

// playServerStep plays a step that happens to a server, and to its sidecar with it.
func (w *rehearsal) playServerStep(ctx context.Context, p *program, step *scenario.Step, steps *sync.WaitGroup) {
	server, sidecar := w.servers[step.Server], w.sidecarOf[step.Server]
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
			w.recordFailure(ctx, step, fmt.Errorf("%s cannot start: %w", w.plan.Name(step.Server), err))
			return
		}
		if sidecar != nil {
			sidecar.signal("SIGKILL") // it went silent with its server
			sidecar.mu.Lock()
			sidecar.stopped = false
			sidecar.mu.Unlock()
			steps.Go(func() { w.recordFailure(ctx, step, sidecar.restart(ctx, p)) })
		}
	case scenario.ServerPause, scenario.ServerSlowdown:
		server.slow(step)
	default:
		server.mu.Lock()
		server.faults[step.Name] = step.Amount
		server.mu.Unlock()
	}
}

// slow has the model of a server pause, or change its speed.
func (b *server) slow(step *scenario.Step) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.model == nil {
		return
	}
	b.advance()
	if step.Kind == scenario.ServerPause {
		b.model.Pause(b.rehearsal.now(), step.Until)
	} else {
		b.model.Slow(b.rehearsal.now(), step.Amount)
	}
	b.resetTimer()
}
