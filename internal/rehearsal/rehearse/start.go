package rehearse

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// startAll starts everything that the plan has at the beginning: servers, then discovery, then sidecars, which join the rotation.
func (r *rehearsal) startAll(ctx context.Context, program *program) error {
	for i, server := range r.servers {
		if r.plan.Servers[i].StartsAt > 0 {
			continue
		}
		if err := server.start(false); err != nil {
			return fmt.Errorf("start %s: %w", r.plan.Name(i), err)
		}
	}
	for _, s := range r.sidecars {
		if err := r.startDiscovery(s); err != nil { //nolint:contextcheck // the agents end with close, which waits for them
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

// startDiscovery starts the discovery of one sidecar: the platform's agent, and a Consul agent if the scenario uses Consul.
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

// startSidecars starts all sidecars concurrently, except those whose server starts later, and waits until they serve. It returns the
// errors of all that fail.
func (r *rehearsal) startSidecars(ctx context.Context, program *program) error {
	var starting sync.WaitGroup
	errs := make([]error, len(r.sidecars))
	for i, s := range r.sidecars {
		if server := r.serverOf(s); server >= 0 && r.plan.Servers[server].StartsAt > 0 {
			continue // the sidecar starts with its server
		}
		starting.Go(func() { errs[i] = s.start(ctx, program) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// serverOf returns the index of the server whose calls go through a sidecar, or -1 if there is none.
func (r *rehearsal) serverOf(s *sidecar) int {
	for server, other := range r.sidecarOf {
		if other == s {
			return server
		}
	}
	return -1
}
