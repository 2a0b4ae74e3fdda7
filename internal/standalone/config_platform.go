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

// loadPlatform reads the configuration that the platform gives.
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

// CheckPlatform returns why a sidecar would not run with a platform's configuration, nil if it would.
func CheckPlatform(text []byte) error {
	c, err := parsePlatform(text, func(string) string { return "" }, false)
	if err == nil {
		_, err = balancer.New(c.Settings.Settings, c.Seed, nil)
	}
	return err
}

// platformFile is the platform's file, in JSON. Its keys are data.
type platformFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // 64 bits in hexadecimal
	Limits    Limits          `json:"limits"`
	Known     *endpointList   `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// parsePlatform reads the platform's file and what of the environment wins over it. Its errors name the field.
func parsePlatform(text []byte, getenv func(string) string, useEnvDiscovery bool) (*Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits}
	fromEnv := map[string]*string{envName: &c.Name, envListen: &c.Listen}
	if useEnvDiscovery {
		fromEnv[envDiscovery] = &c.Discovery
	}
	for variable, value := range fromEnv {
		if v := getenv(variable); v != "" {
			*value = v
		}
	}
	if file.Known != nil {
		c.Known = *file.Known
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, _, err = settings.Parse(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}
