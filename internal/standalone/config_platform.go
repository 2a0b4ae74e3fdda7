package standalone

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

// loadPlatform reads the platform's configuration file, whose path is in BALANCER_CONFIG. With useEnvDiscovery, BALANCER_DISCOVERY
// overrides the file. Its errors name the variable or the file.
func loadPlatform(getenv func(string) string, useEnvDiscovery bool) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, errors.New(envConfig + ": not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	c, err := parsePlatform(text, getenv, useEnvDiscovery)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// CheckPlatform returns an error for the first fault in a platform's configuration that prevents a sidecar from starting; nil for none.
func CheckPlatform(text []byte) error {
	c, err := parsePlatform(text, func(string) string { return "" }, false)
	if err == nil {
		_, err = balancer.New(c.Settings.Settings, c.Seed, nil)
	}
	return err
}

// platformFile is the platform's configuration file, in JSON. The platform defines its keys.
type platformFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal number of 64 bits
	Limits    Limits          `json:"limits"`
	Known     *endpointList   `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// parsePlatform parses the platform's file and applies the environment variables that override it: BALANCER_NAME, BALANCER_LISTEN and,
// with useEnvDiscovery, BALANCER_DISCOVERY. Its errors name the field.
func parsePlatform(text []byte, getenv func(string) string, useEnvDiscovery bool) (*Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	config := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits}
	fromEnv := map[string]*string{envName: &config.Name, envListen: &config.Listen}
	if useEnvDiscovery {
		fromEnv[envDiscovery] = &config.Discovery
	}
	for variable, value := range fromEnv {
		if v := getenv(variable); v != "" {
			*value = v
		}
	}
	if file.Known != nil {
		config.Known = *file.Known
	}
	var err error
	if config.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if config.Settings, _, err = settings.Parse(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return config, nil
}
