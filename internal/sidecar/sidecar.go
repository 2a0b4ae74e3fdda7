package sidecar

import (
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
)

// memoryShare is the part of the memory limit at which the collector works harder; the rest is for stacks
// of system threads and what the kernel counts.
const memoryShare = 0.75

// Run serves until a signal arrives on stop, and then ends what was taken. A signal on reload makes it read
// its configuration file again.
func Run(c *Config, stop, reload <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(c.Limits.MemoryMB<<20)))
	l, err := newLoop(c)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return newServer(c, l).run(listener, stop, reload)
}

func (s *server) run(listener net.Listener, stop, reload <-chan os.Signal) error {
	go s.loop.run()
	go func() {
		for range reload {
			s.reload()
		}
	}()
	stopped := make(chan error, 1)
	go func() {
		log.Printf("%v: stopping", <-stop)
		stopped <- s.stop()
	}()
	log.Printf("%s: serving on %s", s.config.Name, listener.Addr())
	s.callers.Listener = listener
	if err := s.http.Serve(&s.callers); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}

// reload takes up the discovery that the configuration file names now. All else is as it was at the start.
// A file that cannot be used changes nothing.
func (s *server) reload() {
	c, err := s.config.reload()
	if err != nil {
		log.Printf("reload: %v; the old configuration stays", err)
		return
	}
	log.Printf("reload: discovery is %s", c.Discovery)
	s.loop.post(func() { s.loop.follow(c.Discovery) })
}
