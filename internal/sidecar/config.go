// Package sidecar runs a Balancer on real sockets: callers come in over
// HTTP/1.1, attempts go out to endpoints, and discovery tells which those are.
// It makes no decisions; they are the Balancer's.
package sidecar

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"gingerlead/internal/settings"
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

	getenv func(string) string // where it was loaded from
}

// Limits are those of the machine the sidecar runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LoadConfig reads the configuration file that BALANCER_CONFIG names.
// BALANCER_NAME, BALANCER_LISTEN and BALANCER_DISCOVERY win over the file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return load(getenv, true)
}

// reload reads the file again. Whoever replaced it meant its discovery: the environment is as old as the
// process, and wins no more.
func (c *Config) reload() (*Config, error) {
	return load(c.getenv, false)
}

func load(getenv func(string) string, envDiscovery bool) (*Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("BALANCER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
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
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits, getenv: getenv}
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
		return nil, fmt.Errorf("%s: seed: %q is not a hexadecimal number of 64 bits", path, file.Seed)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("%s: settings: missing", path)
	}
	if c.Settings, _, err = settings.Parse(file.Settings); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// leastSockets leaves room for some connections beside those that are reserved.
const leastSockets = 64

// check names the first value that a sidecar cannot run with.
func (c *Config) check() error {
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
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
	case c.Limits.Sockets < leastSockets:
		return fmt.Errorf("limits.sockets: %v is below %d", c.Limits.Sockets, leastSockets)
	case c.Settings.ConnectTimeout <= 0:
		return fmt.Errorf("settings: allowed.connectTimeout: not above 0")
	}
	return nil
}
