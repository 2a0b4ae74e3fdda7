// Package standalone runs a Balancer on real sockets: callers come in over
// HTTP/1.1, attempts go out to endpoints, and discovery tells which those are.
// It makes no decisions; they are the Balancer's.
package standalone

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/config/settings"
	"quincegap/internal/files/secretfile"
	"quincegap/internal/files/store"
	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/modules/peers"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     endpointList // the endpoints as this sidecar last had them; may be old
	Settings  settings.Settings

	tuning *tuning      // what the product's file may set, or its defaults
	token  string       // for discovery; never logged
	file   *schema.File // the product's file; nil without one

	consulOnly  bool // it is all in Consul
	hasPlatform bool // a platform says what appfile.ByPlatform has

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
	Load    func() (*schema.File, error)         // reads and checks the file
	Resolve func(path string) string             // a path that the file names
	Follow  func(*schema.File) (Follower, error) // the source that the file asks for; nil for none
	// Admin serves the view that the file asks for; nil for none.
	Admin func(f *schema.File, name string) Admin
	// PeersOpener opens the view of the others that the file asks for; nil for none.
	OpenPeers func(f *schema.File) (PeersOpener, error)
}

// Admin serves a view for people until stop is called: of the endpoints, and of the other sidecars.
type Admin func(view func() (source string, rows []endpointsource.Row, ok bool), others func(all bool) (peers.FleetReport, bool)) (stop func(), err error)

// Limits are those of the machine the sidecar runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LoadConfig reads the configuration file that BALANCER_CONFIG names.
// BALANCER_NAME, BALANCER_LISTEN and BALANCER_DISCOVERY win over the file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return LoadWith(getenv, Product{})
}

// LoadWith reads the product's file as well. Where BALANCER_CONFIG names a file, that wins: it is the platform's word. Without it the
// product's file says all.
func LoadWith(getenv func(string) string, product Product) (*Config, error) {
	c := &Config{getenv: getenv, product: product}
	return c.load(true)
}

// reload reads the file again. Whoever replaced it meant its discovery: the environment is as old as the
// process, and wins no more.
func (c *Config) reload() (*Config, error) {
	fresh, err := c.load(false)
	if err != nil || c.file == nil {
		return fresh, err
	}
	var refused finding.List
	for _, s := range schema.Changed(c.file, fresh.file) {
		if s.Key.Change == schema.AtStart && !(c.hasPlatform && slices.Contains(appfile.ByPlatform(), s.Path[0])) {
			refused.Add(s.Place.File, s.Place.Pos, "%s has changed, which takes effect at a start only", s.ID())
		}
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
		if slices.Contains(appfile.ByPlatform(), s.Path[0]) {
			log.Printf("%s: %s is not used: the platform's configuration says it", s.Place, s.ID())
		}
	}
}

// load reads all files anew, whole, before anything is taken up.
func (c *Config) load(envDiscovery bool) (*Config, error) {
	var file *schema.File
	if c.product.Load != nil {
		var err error
		if file, err = c.product.Load(); err != nil {
			return nil, err
		}
	}
	var fresh *Config
	var err error
	platformSays := file == nil || c.getenv("BALANCER_CONFIG") != ""
	if platformSays {
		fresh, err = loadPlatform(c.getenv, envDiscovery)
	} else {
		fresh, err = fromProductFile(file)
	}
	if err != nil {
		return nil, err
	}
	fresh.hasPlatform = platformSays
	fresh.getenv, fresh.product = c.getenv, c.product
	fresh.file, fresh.tuning = file, tuningOf(file)
	if !platformSays {
		if secret := appfile.DiscoveryTable.In(file).TokenFile; secret != "" {
			if fresh.token, err = secretfile.ReadToken(c.product.Resolve(secret)); err != nil {
				return nil, err
			}
		}
	}
	if file == nil {
		return fresh, nil
	}
	if fresh.tuning.endpointSource.Mode == endpointsource.ModeConsul {
		fresh.Settings.MustSubscribe = false // discovery is not asked for what counts
	}
	if fresh.follower, err = c.product.Follow(file); err != nil {
		return nil, err
	}
	fresh.admin = c.product.Admin(file, fresh.Name)
	fresh.openPeers, err = c.product.OpenPeers(file)
	return fresh, err
}

// loadPlatform reads the configuration that the platform gives.
func loadPlatform(getenv func(string) string, envDiscovery bool) (*Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("BALANCER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	c, err := parsePlatform(text, getenv, envDiscovery)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// CheckPlatform tells why a sidecar would not run with a platform's configuration, nil if it would.
func CheckPlatform(text []byte) error {
	c, err := parsePlatform(text, func(string) string { return "" }, false)
	if err == nil {
		_, err = balancer.New(c.Settings.Settings, c.Seed, nil)
	}
	return err
}

func parsePlatform(text []byte, getenv func(string) string, envDiscovery bool) (*Config, error) {
	var err error
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     *endpointList   `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits}
	fromEnv := map[string]*string{"BALANCER_NAME": &c.Name, "BALANCER_LISTEN": &c.Listen}
	if envDiscovery {
		fromEnv["BALANCER_DISCOVERY"] = &c.Discovery
	}
	for variable, value := range fromEnv {
		if v := getenv(variable); v != "" {
			*value = v
		}
	}
	if file.Known != nil {
		c.Known = *file.Known
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	if c.Settings, _, err = settings.Parse(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
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
		return fmt.Errorf("name: missing")
	case c.Limits.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case c.Limits.MemoryMB <= 0:
		return fmt.Errorf("limits.memory_mb: %v is not above 0", c.Limits.MemoryMB)
	case c.Limits.Sockets < appfile.LeastSockets:
		return fmt.Errorf("limits.sockets: %v is below %d", c.Limits.Sockets, appfile.LeastSockets)
	case c.Settings.ConnectTimeout <= 0:
		return fmt.Errorf("settings: allowed.connectTimeout: not above 0")
	}
	return nil
}

const (
	// standaloneGrace is how long after the client's deadline an answer still counts, and standaloneQuantum the
	// smallest time between two rounds of decisions, where no platform tells.
	standaloneGrace   = 20 * time.Millisecond
	standaloneQuantum = 5 * time.Millisecond
	// standaloneTotalValueWeight weighs all that is served against the worst-served class.
	standaloneTotalValueWeight = 0.9
)

// fromProductFile is the configuration that the product's file gives where there is no platform.
func fromProductFile(f *schema.File) (*Config, error) {
	who, limits, found := appfile.SidecarTable.In(f), appfile.LimitsTable.In(f), appfile.DiscoveryTable.In(f)
	attempts, warmup := appfile.AttemptsTable.In(f), appfile.WarmupTable.In(f)
	c := &Config{
		Name: cmp.Or(who.Instance, who.Application), Listen: who.Listen, Discovery: found.Address,
		Limits: Limits{Cores: limits.Cores, MemoryMB: limits.Memory >> 20, Sockets: limits.Sockets},
	}
	c.Seed = rand.Uint64()
	if who.Seed != "" {
		c.Seed, _ = strconv.ParseUint(who.Seed, 16, 64) // its form was checked
	}
	s := &c.Settings
	s.GraceToAnswer = standaloneGrace
	s.Settings = balancer.Settings{
		Instances: who.Instances, Ordinal: who.Ordinal, Tiers: 1, Quantum: standaloneQuantum, TotalValueWeight: standaloneTotalValueWeight,
		MayCancel: attempts.Cancel, MayHealthCheck: attempts.Probes, MaxAttempts: attempts.Most, HedgedRequests: attempts.Copies,
		MaxRetryAfter: attempts.MaxRetryAfter, ConnectTimeout: attempts.ConnectTimeout,
		MustSubscribe: found.Mode == appfile.Ask, ResubscribeInterval: found.AskEvery, PropagatesDeadline: true,
		SlowStartMinShare: warmup.ColdShare, SlowStartWindow: warmup.WarmAfter, OverloadMultiple: warmup.TipMultiple, OverloadDuration: warmup.TipWindow,
	}
	if len(appfile.CallsTable.All(f)) > 0 {
		s.Tiers = 2 // a call may wait at the applications behind this one too
	}
	for _, v := range appfile.ClassTable.All(f) {
		s.Classes = append(s.Classes, balancer.Class{
			Name: v.Name, LatencyTarget: v.Value.Aim, Deadline: v.Value.Deadline, Value: v.Value.Worth,
			LateValueShare: v.Value.LateWorth, Idempotency: v.Value.Effect, KeyScope: v.Value.KeyScope, KeyWindow: v.Value.KeyWindow,
		})
	}
	for _, v := range appfile.TenantTable.All(f) {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: v.Name, QuotaPerSecond: v.Value.Quota})
	}
	c.consulOnly = found.Address == "" && endpointsource.SettingsTable.In(f).Mode == endpointsource.ModeConsul
	return c, c.check()
}

// Idle connections to endpoints are kept for idleTimeoutShare of what the platform tells, or defaultIdleTimeout: a request
// that is written while the endpoint closes its connection would be lost as a reset.
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
