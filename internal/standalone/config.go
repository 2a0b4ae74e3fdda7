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

// Config is the configuration of a sidecar. LoadConfig and LoadWith return it.
type Config struct {
	Name      string       // name of this sidecar, in logs and among its peers
	Listen    string       // host:port on which the HTTP/1.1 front listens
	Discovery string       // host:port of the discovery server; empty if Consul is the only source
	Seed      uint64       // seed of the Balancer's random draws
	Limits    Limits       // resources of the machine that the sidecar may use
	Known     endpointList // last endpoints that the platform knew; may be out of date
	Settings  settings.Settings

	tuning *tuning      // settings of the product's file, or their defaults
	token  string       // bearer token for discovery, or empty; never logged
	file   *schema.File // product's file; nil if there is none

	consulOnly  bool // Consul is the only source of endpoints; there is no discovery server
	hasPlatform bool // the settings of appfile.PlatformTables come from a platform's file

	follower  Follower    // follows a source of endpoints other than discovery; nil for none
	admin     Admin       // serves the admin pages; nil for none
	openPeers PeersOpener // nil if this sidecar joins no group

	peerAddresses []string // addresses of other sidecars, from the platform

	storeFS store.FS // file system of the store, set by tests; nil to use memory.memory_dir

	// Sources of the configuration, which a reload reads again.
	getenv  func(string) string
	product Product
}

// Product has the functions that read the product's file and build components from it. All fields are nil if there is no such file.
type Product struct {
	// Load reads and checks the file.
	Load func() (*schema.File, error)
	// Resolve resolves a path in the settings, which is relative to the directory of the product's file.
	Resolve func(path string) string
	// Follow returns the Follower that the file configures; nil for none.
	Follow func(*schema.File) (Follower, error)
	// Admin returns the admin server that the file configures; nil for none.
	Admin func(f *schema.File, name string) Admin
	// OpenPeers returns the opener for the group that the file configures; nil for none.
	OpenPeers func(f *schema.File) (PeersOpener, error)
}

// Admin starts to serve the admin pages, which show the endpoints and the group of sidecars. They are served until stop is called.
type Admin func(endpoints EndpointView, fleet FleetView) (stop func(), err error)

// EndpointView returns the mode of the endpoint sources and one row for each endpoint; ok is false if they are not available in time.
type EndpointView = func() (source string, rows []endpointsource.Row, ok bool)

// FleetView returns this sidecar's report on its group or, if all is set, the reports of all sidecars of the group; false if there is no
// group.
type FleetView = func(all bool) (peers.FleetReport, bool)

// Limits are the resources of the machine that the sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // memory in MiB
	Sockets  int     `json:"sockets"`
}

// validate returns an error that names the first invalid value, or nil if the sidecar can run with the configuration.
func (c *Config) validate() error {
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

// An idle connection to an endpoint is closed after idleTimeoutShare of the endpoint's own idle timeout, which the platform configures,
// or after defaultIdleTimeout. It must be closed before the endpoint does so: a request that is written while the endpoint closes the
// connection ends in a reset.
const (
	idleTimeoutShare   = 0.5
	defaultIdleTimeout = 10 * time.Second
)

// idleTimeout returns how long an idle connection to an endpoint stays open.
func (c *Config) idleTimeout(t *tuning) time.Duration {
	switch idle := c.Settings.ConnIdle; {
	case t.endpoints.KeepIdle > 0:
		return t.endpoints.KeepIdle
	case idle > 0:
		return time.Duration(idleTimeoutShare * float64(idle))
	}
	return defaultIdleTimeout
}
