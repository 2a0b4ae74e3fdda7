package standalone

import (
	"log"
	"slices"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/files/secretfile"
	"quincegap/internal/modules/endpointsource"
)

// Names of the environment variables. The last three variables override the platform's file.
const (
	envConfig    = "BALANCER_CONFIG" // path of the platform's file
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
)

// LoadConfig reads the platform's configuration file, whose path is in BALANCER_CONFIG. BALANCER_NAME, BALANCER_LISTEN and
// BALANCER_DISCOVERY override the file. Its errors name the file and the field.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return LoadWith(getenv, Product{})
}

// LoadWith reads the product's file as well. If BALANCER_CONFIG is set, the platform's file takes precedence for the settings that both
// files have. Otherwise all settings come from the product's file.
func LoadWith(getenv func(string) string, product Product) (*Config, error) {
	c := &Config{getenv: getenv, product: product}
	return c.load(true)
}

// reload reads the files again and returns the new configuration. BALANCER_DISCOVERY no longer overrides the file: the environment
// dates from the start of the process, and the file may have been replaced to name another discovery server. The error lists the
// changed settings that take effect only at a start.
func (c *Config) reload() (*Config, error) {
	fresh, err := c.load(false)
	if err != nil || c.file == nil {
		return fresh, err
	}
	var rejected finding.List
	for _, s := range schema.Changed(c.file, fresh.file) {
		if s.Key.Change != schema.AtStart || c.hasPlatform && slices.Contains(appfile.PlatformTables(), s.Path[0]) {
			continue
		}
		rejected.Add(s.Location.File, s.Location.Pos, "%s has changed; the change requires a restart", s.ID())
	}
	return fresh, rejected.Err()
}

// logOverriddenSettings logs the settings of the product's file that have no effect because the platform's file sets them.
func (c *Config) logOverriddenSettings() {
	if c.file == nil || !c.hasPlatform {
		return
	}
	for _, s := range c.file.Settings() {
		if s.ID() == "sidecar.application" && c.openPeers != nil {
			continue // the group of sidecars uses it
		}
		if slices.Contains(appfile.PlatformTables(), s.Path[0]) {
			log.Printf("%s: %s is not used: the platform's configuration sets it", s.Location, s.ID())
		}
	}
}

// load reads all files into a new Config and leaves c unchanged. With useEnvDiscovery, BALANCER_DISCOVERY overrides the platform's file.
func (c *Config) load(useEnvDiscovery bool) (*Config, error) {
	var file *schema.File
	if c.product.Load != nil {
		var err error
		if file, err = c.product.Load(); err != nil {
			return nil, err
		}
	}
	hasPlatform := file == nil || c.getenv(envConfig) != ""
	var fresh *Config
	var err error
	if hasPlatform {
		fresh, err = loadPlatform(c.getenv, useEnvDiscovery)
	} else {
		fresh, err = fromProductFile(file)
	}
	if err != nil {
		return nil, err
	}
	fresh.hasPlatform = hasPlatform
	fresh.getenv = c.getenv
	fresh.product = c.product
	fresh.file = file
	fresh.tuning = tuningOf(file)
	if !hasPlatform {
		if err := fresh.readToken(); err != nil {
			return nil, err
		}
	}
	if file == nil {
		return fresh, nil
	}
	if err := fresh.openSources(); err != nil {
		return nil, err
	}
	return fresh, nil
}

// readToken reads the token for discovery, if the product's file names one.
func (c *Config) readToken() (err error) {
	path := appfile.DiscoveryTable.In(c.file).TokenFile
	if path == "" {
		return nil
	}
	c.token, err = secretfile.ReadToken(c.product.Resolve(path))
	return err
}

// openSources builds the components that the product's file configures: the source of endpoints other than discovery, the admin pages,
// and the group of sidecars.
func (c *Config) openSources() (err error) {
	if c.tuning.endpointSource.Mode == endpointsource.ModeConsul {
		c.Settings.MustSubscribe = false // the Balancer's list comes from Consul, so it need not subscribe to discovery
	}
	if c.follower, err = c.product.Follow(c.file); err != nil {
		return err
	}
	c.admin = c.product.Admin(c.file, c.Name)
	c.openPeers, err = c.product.OpenPeers(c.file)
	return err
}
