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
	Name      string       // of this sidecar, in logs and among its peers
	Listen    string       // host:port of the front for HTTP/1.1
	Discovery string       // host:port of the discovery server; empty if Consul is the only source
	Seed      uint64       // of the Balancer's random draws
	Limits    Limits       // of the machine
	Known     endpointList // the last known endpoints, by the platform; may be out of date
	Settings  settings.Settings

	tuning *tuning      // the settings of the product's file, or their defaults
	token  string       // for discovery; never logged
	file   *schema.File // the product's file; nil without one

	consulOnly  bool // there is no discovery: Consul has all endpoints
	hasPlatform bool // a platform's file has the settings of appfile.PlatformTables

	follower  Follower    // follows a source of endpoints beside discovery; nil for none
	admin     Admin       // serves the admin pages; nil for none
	openPeers PeersOpener // nil if this sidecar joins no group

	peerAddresses []string // of the sidecars that a platform names

	storeFS store.FS // the disk of the memory in tests; nil for memory.memory_dir

	// The sources that a reload reads again.
	getenv  func(string) string
	product Product
}

// Product is how the product's file is read, and what is built from it. Without such a file all fields are nil.
type Product struct {
	// Load reads and checks the file.
	Load func() (*schema.File, error)
	// Resolve returns the path of a file that the settings name, relative to the file.
	Resolve func(path string) string
	// Follow returns the follower that the file configures; nil for none.
	Follow func(*schema.File) (Follower, error)
	// Admin returns the admin server that the file configures; nil for none.
	Admin func(f *schema.File, name string) Admin
	// OpenPeers returns the opener for the group that the file configures; nil for none.
	OpenPeers func(f *schema.File) (PeersOpener, error)
}

// Admin serves the admin pages, which show the endpoints and the group of sidecars, until stop is called.
type Admin func(endpoints EndpointView, fleet FleetView) (stop func(), err error)

// EndpointView returns the mode of the endpoint sources and all endpoints; false if they are not available in time.
type EndpointView = func() (source string, rows []endpointsource.Row, ok bool)

// FleetView returns what this sidecar knows of its group and, if all is set, what all sidecars of the group report; false if there
// is no group.
type FleetView = func(all bool) (peers.FleetReport, bool)

// Limits are the resources of the machine that the sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`
}

// check returns an error that names the first value that a sidecar cannot run with.
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

// Idle connections to endpoints are closed after idleTimeoutShare of the endpoint's own timeout, which the platform configures, or
// after defaultIdleTimeout. A request that is written while the endpoint closes the connection would end in a reset.
const (
	idleTimeoutShare   = 0.5
	defaultIdleTimeout = 10 * time.Second
)

// idleTimeout is how long an idle connection to an endpoint is kept open.
func (c *Config) idleTimeout(t *tuning) time.Duration {
	switch idle := c.Settings.ConnIdle; {
	case t.endpoints.KeepIdle > 0:
		return t.endpoints.KeepIdle
	case idle > 0:
		return time.Duration(idleTimeoutShare * float64(idle))
	}
	return defaultIdleTimeout
}
