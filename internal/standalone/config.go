package standalone

import (
	"errors"
	"fmt"
	"net"
	"time"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
	"quincegap/internal/config/settings"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/peers"
)

// Config is the configuration of a sidecar, as LoadConfig and LoadWith read it.
type Config struct {
	Name      string       // of this sidecar, in logs and among others
	Listen    string       // host:port of HTTP/1.1
	Discovery string       // host:port; empty where Consul is all there is
	Seed      uint64       // of the Balancer's random draws
	Limits    Limits       // of the machine
	Known     endpointList // the endpoints as this sidecar last had them; may be old
	Settings  settings.Settings

	tuning *tuning      // what the product's file may set, or its defaults
	token  string       // for discovery; never logged
	file   *schema.File // the product's file; nil without one

	consulOnly  bool // there is no discovery: all endpoints are in Consul
	hasPlatform bool // a platform says what appfile.PlatformTables has

	follower  Follower    // a source of endpoints beside discovery; nil for none
	admin     Admin       // nil for none
	openPeers PeersOpener // nil where this sidecar looks for no others

	peerAddresses []string // that a platform names, one for each sidecar

	storeFS store.FS // where memory is kept, in place of memory.memory_dir; nil for that

	getenv  func(string) string // where it was loaded from:
	product Product
}

// Product is what the wiring knows of the product's file. Without one, all are nil.
type Product struct {
	// Load reads and checks the file.
	Load func() (*schema.File, error)
	// Resolve finds a path that the file names.
	Resolve func(path string) string
	// Follow gives the source that the file asks for; nil for none.
	Follow func(*schema.File) (Follower, error)
	// Admin serves the view that the file asks for; nil for none.
	Admin func(f *schema.File, name string) Admin
	// OpenPeers opens the view of the others that the file asks for; nil for none.
	OpenPeers func(f *schema.File) (PeersOpener, error)
}

// Admin serves a view for people until stop is called: of the endpoints, and of the other sidecars.
type Admin func(view func() (source string, rows []endpointsource.Row, ok bool), others func(all bool) (peers.FleetReport, bool)) (stop func(), err error)

// Limits are those of the machine the sidecar runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`
}

// check names the first value that a sidecar cannot run with.
func (c *Config) check() error {
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if name == "discovery" && c.consulOnly {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s: %q is not host:port", name, address)
		}
	}
	switch {
	case c.Name == "":
		return errors.New("name: missing")
	case c.Limits.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case c.Limits.MemoryMB <= 0:
		return fmt.Errorf("limits.memory_mb: %v is not above 0", c.Limits.MemoryMB)
	case c.Limits.Sockets < appfile.MinSockets:
		return fmt.Errorf("limits.sockets: %v is below %d", c.Limits.Sockets, appfile.MinSockets)
	case c.Settings.ConnectTimeout <= 0:
		return errors.New("settings: allowed.connectTimeout: not above 0")
	}
	return nil
}

// Idle connections to endpoints are kept for idleTimeoutShare of what the platform configures, or for
// defaultIdleTimeout: a request that is written while the endpoint closes its connection would be lost as a reset.
const (
	idleTimeoutShare   = 0.5
	defaultIdleTimeout = 10 * time.Second
)

// idleTimeout is how long an idle connection to an endpoint is kept.
func (c *Config) idleTimeout(t *tuning) time.Duration {
	switch idle := c.Settings.ConnIdle; {
	case t.endpoints.KeepIdle > 0:
		return t.endpoints.KeepIdle
	case idle > 0:
		return time.Duration(idleTimeoutShare * float64(idle))
	}
	return defaultIdleTimeout
}
