package standalone

import (
	"context"
	"log"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"

	"quincegap/internal/config/schema"
	"quincegap/internal/modules/endpointsource"
)

// memoryLimitShare is the share of limits.memory_mb that is set as the Go runtime's soft memory limit. The rest is for the stacks of
// system threads and for memory that the kernel attributes to the process.
const memoryLimitShare = 0.75

// Run serves until a signal arrives on stop, and then shuts down. On a signal on reload it reads its configuration files again. It
// returns the first error of the start, of a front, or of the shutdown.
func Run(config *Config, stop, reload <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(config.Limits.MemoryMB<<20)))
	loop, err := newLoop(config)
	if err != nil {
		return err
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return err
	}
	server, err := newServer(config, loop, listener)
	if err != nil {
		return err
	}
	return server.run(listener.Addr(), stop, reload)
}

// run joins the group, runs the loop and serves until a signal arrives on stop.
func (s *server) run(address net.Addr, stop, reload <-chan os.Signal) error {
	if err := s.joinGroup(); err != nil {
		return err
	}
	defer s.group.close()
	go s.loop.run()
	defer s.loop.memory.close()
	go func() {
		for range reload {
			s.reload()
		}
	}()
	stopped := make(chan error, 1)
	go func() {
		log.Printf("%v: stopping", <-stop)
		stopped <- s.shutDown()
	}()
	s.config.logOverriddenSettings()
	if s.config.admin != nil {
		stopAdmin, err := s.config.admin(s.loop.endpointView, s.group.fleet)
		if err != nil {
			return err
		}
		defer stopAdmin()
	}
	log.Printf("%s: serving on %s", s.config.Name, address)
	if err := s.serve(); err != nil {
		return err
	}
	return <-stopped
}

// serve runs all fronts until they are stopped. It returns as soon as one of them fails.
func (s *server) serve() error {
	served := make(chan error, len(s.fronts))
	for _, f := range s.fronts {
		go func() { served <- f.Serve() }()
	}
	for range s.fronts {
		if err := <-served; err != nil {
			return err
		}
	}
	return nil
}

// reload reads the configuration files again. It switches to the discovery server that they name, and applies the changed settings of the
// product's file. If a file has a fault, or changes a setting that takes effect only at a start, nothing is applied.
func (s *server) reload() {
	fresh, err := s.config.reload()
	if err != nil {
		for line := range strings.Lines(err.Error()) {
			log.Printf("reload: %s", strings.TrimSuffix(line, "\n"))
		}
		log.Printf("reload: rejected; the previous configuration remains in effect")
		return
	}
	// The loop applies the new settings in one event and the handlers read them through one pointer, so they are never partly applied.
	fresh.tuning.routes.KeepStates(s.tuning.Load().routes)
	s.tuning.Store(fresh.tuning)
	restartFollower := s.config.file != nil && slices.ContainsFunc(schema.Changed(s.config.file, fresh.file), configuresFollower)
	s.loop.post(func() {
		s.loop.http1.SetMaxIdle(s.config.idleTimeout(fresh.tuning))
		s.loop.applyEndpoints(s.loop.merger.UpdateSettings(s.loop.now(), fresh.tuning.endpointSource))
		if restartFollower {
			s.loop.startFollower(fresh.follower)
		}
		s.loop.switchDiscovery(fresh.Discovery, fresh.token)
	})
	s.group.reloadKeys()
	s.config.file = fresh.file
	// This line is logged after the settings have been applied, because tools wait for it.
	log.Printf("reload: discovery is %s", fresh.Discovery)
}

// configuresFollower reports whether a setting configures the source of endpoints other than discovery.
func configuresFollower(s *schema.Setting) bool {
	return s.Path[0] == "consul" || s.Path[0] == endpointsource.SettingsTable.Name && s.Key.Name == "source"
}
