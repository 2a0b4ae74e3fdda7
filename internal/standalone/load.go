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

// The environment's variables. The last three win over the platform's file.
const (
	envConfig    = "BALANCER_CONFIG" // the path of the platform's file
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
)

// LoadConfig reads the configuration file that BALANCER_CONFIG names.
// BALANCER_NAME, BALANCER_LISTEN and BALANCER_DISCOVERY win over the file.
// Its errors name the file and the field.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return LoadWith(getenv, Product{})
}

// LoadWith reads the product's file as well. Where BALANCER_CONFIG names a file, that wins: it is the platform's word. Without it the
// product's file says all.
func LoadWith(getenv func(string) string, product Product) (*Config, error) {
	c := &Config{getenv: getenv, product: product}
	return c.load(true)
}

// reload reads the files again. Whoever replaced them meant their discovery: the environment is as old as the
// process, and wins no more.
func (c *Config) reload() (*Config, error) {
	fresh, err := c.load(false)
	if err != nil || c.file == nil {
		return fresh, err
	}
	var refused finding.List
	for _, s := range schema.Changed(c.file, fresh.file) {
		if s.Key.Change != schema.AtStart || c.hasPlatform && slices.Contains(appfile.PlatformTables(), s.Path[0]) {
			continue
		}
		refused.Add(s.Location.File, s.Location.Pos, "%s has changed, which takes effect at a start only", s.ID())
	}
	return fresh, refused.Err()
}

// logUnused logs what of the product's file a platform takes the place of.
func (c *Config) logUnused() {
	if c.file == nil || !c.hasPlatform {
		return
	}
	for _, s := range c.file.Settings() {
		if s.ID() == "sidecar.application" && c.openPeers != nil {
			continue // the others go by it
		}
		if slices.Contains(appfile.PlatformTables(), s.Path[0]) {
			log.Printf("%s: %s is not used: the platform's configuration says it", s.Location, s.ID())
		}
	}
}

// load reads all files anew, complete, before anything is taken up.
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

// openSources opens what the product's file asks for beside discovery: another source of endpoints, the view for people, and
// the other sidecars.
func (c *Config) openSources() (err error) {
	if c.tuning.endpointSource.Mode == endpointsource.ModeConsul {
		c.Settings.MustSubscribe = false // discovery is not asked for what counts
	}
	if c.follower, err = c.product.Follow(c.file); err != nil {
		return err
	}
	c.admin = c.product.Admin(c.file, c.Name)
	c.openPeers, err = c.product.OpenPeers(c.file)
	return err
}
