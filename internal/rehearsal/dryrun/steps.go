package dryrun

import "quincegap/internal/rehearsal/scenario"

// playStep applies one step of the plan. Steps that virtual time doesn't model have no effect.
func (s *sim) playStep(step scenario.Step) {
	switch step.Kind {
	case scenario.ServerCrash, scenario.ServerSilence, scenario.ServerStart,
		scenario.ServerPause, scenario.ServerSlowdown, scenario.ServerFault:
		s.playServerStep(s.servers[step.Server], &step)
	case scenario.DiscoveryUpdate:
		server := s.servers[step.Server]
		server.updateState(discoveryState{weight: server.known.weight, state: step.State, boot: step.Boot})
		s.notifyAll(server)
	case scenario.DiscoveryWeight:
		server := s.servers[step.Server]
		server.updateState(discoveryState{weight: step.Amount, state: server.known.state, boot: server.known.boot})
		if server.known.state != "" && server.known.state != stateGone {
			s.notifyAll(server)
		}
	case scenario.DiscoveryRepeat:
		s.repeats = step.Amount > 0
	case scenario.SidecarSignal:
		s.playSignal(s.instances[step.Sidecar], step.Name)
	case scenario.SidecarRestart:
		s.restart(s.instances[step.Sidecar])
	}
}

// playServerStep applies a step to a server and, where it is affected, to the server's sidecar.
func (s *sim) playServerStep(server *server, step *scenario.Step) {
	switch step.Kind {
	case scenario.ServerCrash:
		if server.sidecar != nil {
			server.sidecar.kill()
		}
		server.stop()
	case scenario.ServerSilence:
		server.silence()
	case scenario.ServerStart:
		server.stop()
		server.start(true)
		if server.sidecar != nil {
			server.sidecar.kill()
			s.restart(server.sidecar)
		}
	case scenario.ServerPause:
		if server.model != nil {
			server.advance()
			server.model.Pause(s.now, step.Until)
			server.scheduleAdvance()
		}
	case scenario.ServerSlowdown:
		if server.model != nil {
			server.advance()
			server.model.Slow(s.now, step.Amount)
			server.scheduleAdvance()
		}
	default:
		server.faults[step.Name] = step.Amount
	}
}

// playSignal sends a signal to an instance. SIGHUP has no effect in virtual time.
func (s *sim) playSignal(i *instance, name string) {
	switch name {
	case "SIGTERM":
		i.shutDown()
	case "SIGKILL", "SIGSTOP":
		i.kill()
	}
}

// notifyAll notifies all instances of the state of a server, twice if discovery repeats its updates.
func (s *sim) notifyAll(server *server) {
	for _, i := range s.instances {
		i.notify(server)
		if s.repeats {
			s.scheduleAfter(repeatDelay, func() { i.notify(server) })
		}
	}
}

// restart starts an instance again once it has ended. It has no effect on an instance that is up and was not asked to end.
func (s *sim) restart(i *instance) {
	if i.up {
		if i.endsAt > 0 { // otherwise the instance is up and stays so
			s.schedule(i.endsAt+restartBackoff, func() { s.restart(i) })
		}
		return
	}
	if err := i.start(); err != nil && s.err == nil {
		s.err = err
	}
}
