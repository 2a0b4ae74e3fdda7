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

// memoryLimitShare is the part of the memory limit at which the collector works harder; the rest is for stacks
// of system threads and what the kernel counts.
const memoryLimitShare = 0.75

// Run serves until a signal arrives on stop, and then ends what was taken. A signal on reload makes it read
// its configuration file again. Its error is one of the start, or of a front that could not go on.
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

// serve takes requests by all fronts until they are stopped, or returns the first error.
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

// reload reads the configuration files again: it takes up the discovery that they name now, and of the
// product's file the keys that may change. A file that cannot be used, or that changes a key that may not,
// changes nothing.
func (s *server) reload() {
	c, err := s.config.reload()
	if err != nil {
		for line := range strings.Lines(err.Error()) {
			log.Printf("reload: %s", strings.TrimSuffix(line, "\n"))
		}
		log.Printf("reload: refused; the old configuration stays")
		return
	}
	// One event for the loop and one pointer for the handlers: no half of it is ever in force.
	c.tuning.routes.KeepStates(s.tuning.Load().routes)
	s.tuning.Store(c.tuning)
	followAnew := s.config.file != nil && slices.ContainsFunc(schema.Changed(s.config.file, c.file), namesFollower)
	s.loop.post(func() {
		s.loop.http1.SetMaxIdle(s.config.idleTimeout(c.tuning))
		s.loop.applyEndpoints(s.loop.merger.UpdateSettings(s.loop.now(), c.tuning.endpointSource))
		if followAnew {
			s.loop.startFollower(c.follower)
		}
		s.loop.switchDiscovery(c.Discovery, c.token)
	})
	s.group.reload()
	s.config.file = c.file
	// Said when it is in force: who waits for this line finds it so.
	log.Printf("reload: discovery is %s", c.Discovery)
}

// namesFollower reports whether a setting configures the source that is followed beside discovery.
func namesFollower(x *schema.Setting) bool {
	return x.Path[0] == "consul" || x.Path[0] == endpointsource.SettingsTable.Name && x.Key.Name == "source"
}
