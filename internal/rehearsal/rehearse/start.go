package rehearse

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

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
