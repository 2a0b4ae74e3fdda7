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

// memoryLimitShare is the share of limits.memory_mb that the garbage collector keeps the heap below; the rest is for the stacks of
// system threads and for what the kernel counts.
const memoryLimitShare = 0.75

// Run serves until a signal arrives on stop, and then shuts down. A signal on reload makes it read its configuration files again. It
// returns the first error of the start, of a front, or of the shutdown.
func Run(c *Config, stop, reload <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(c.Limits.MemoryMB<<20)))
	l, err := newLoop(c)
	if err != nil {
		return err
	}
	var open net.ListenConfig
	listener, err := open.Listen(context.Background(), "tcp", c.Listen)
	if err != nil {
		return err
	}
	s, err := newServer(c, l, listener)
	if err != nil {
		return err
	}
	return s.run(listener.Addr(), stop, reload)
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
	s.config.logUnused()
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

// serve serves by all fronts until they are stopped, or returns the first error.
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

// reload reads the configuration files again. It follows the discovery that they name now, and applies the settings of the product's
// file that may change. A file with a fault, or with a change of a setting that may not change, has no effect.
func (s *server) reload() {
	fresh, err := s.config.reload()
	if err != nil {
		for line := range strings.Lines(err.Error()) {
			log.Printf("reload: %s", strings.TrimSuffix(line, "\n"))
		}
		log.Printf("reload: refused; the old configuration stays")
		return
	}
	// One event for the loop and one pointer for the handlers: the new settings are never in force in part.
	fresh.tuning.routes.KeepStates(s.tuning.Load().routes)
	s.tuning.Store(fresh.tuning)
	followAnew := s.config.file != nil && slices.ContainsFunc(schema.Changed(s.config.file, fresh.file), configuresFollower)
	s.loop.post(func() {
		s.loop.http1.SetMaxIdle(s.config.idleTimeout(fresh.tuning))
		s.loop.applyEndpoints(s.loop.merger.UpdateSettings(s.loop.now(), fresh.tuning.endpointSource))
		if followAnew {
			s.loop.startFollower(fresh.follower)
		}
		s.loop.switchDiscovery(fresh.Discovery, fresh.token)
	})
	s.group.reload()
	s.config.file = fresh.file
	// The line is logged once the settings are in force, because tools wait for it.
	log.Printf("reload: discovery is %s", fresh.Discovery)
}

// configuresFollower reports whether a setting configures the source that is followed beside discovery.
func configuresFollower(s *schema.Setting) bool {
	return s.Path[0] == "consul" || s.Path[0] == endpointsource.SettingsTable.Name && s.Key.Name == "source"
}
