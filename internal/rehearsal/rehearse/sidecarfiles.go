package rehearse

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Templates of the tables in a sidecar's configuration file: for tiers that use HTTP/3, for sidecars that follow only Consul, and for
// sidecars that discover each other.
const (
	http3File = `[http3-endpoints]
http3_to_endpoints = "prefer"
http3_ca_file = %q
http3_server_name = %q
http3_silence = "2s"

`
	consulFile = `[membership]
source = "consul"

[consul]
agents = %q
service = %q
cell_meta = "cell"
model_meta = "model"
zone_meta = "zone"
start_meta = "started_ms"
uid_meta = "uid"
pace = "50ms"
wait = "5s"
`
	peersFile = `[sidecar]
application = "rehearsal.example.org"

[admin]
admin_listen = "unix:%s"

[peers]
peers_listen = %q
peers_advertise = %q
peers_join = %q
peers_most = 200

`
)

// maxJoinAddresses bounds the peer addresses that a sidecar is configured to join.
const maxJoinAddresses = 3

// writeSettings writes the file with the platform's settings. From the second start on, the file includes the current server list.
func (s *sidecar) writeSettings(dir string, starts int) error {
	plan := s.rehearsal.plan
	seed := uint64(s.index)<<32 ^ plan.Seed
	config := map[string]any{
		"name": s.name, "listen": s.address, "discovery": s.rehearsal.discoveryAddress(s.index),
		"seed":     fmt.Sprintf("%016x", seed+uint64(starts)),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": plan.Sidecars.MemoryMB, "sockets": plan.Sidecars.Sockets},
		"settings": plan.Settings(s.tier, s.number, s.count),
	}
	if starts > 1 {
		tier := s.rehearsal.discovery[s.tier]
		tier.mu.Lock()
		config["known"], _ = tier.changesSince(0)
		tier.mu.Unlock()
	}
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", s.name, err)
	}
	s.settingsPath = filepath.Join(dir, s.name+".json")
	return os.WriteFile(s.settingsPath, text, 0o600)
}

// writeConfigFile writes the product's configuration file if the scenario needs one, and returns the command-line arguments that name it.
func (s *sidecar) writeConfigFile(dir string) (args []string, err error) {
	text, tier := "", s.rehearsal.plan.Tiers[s.tier]
	if tier.HTTP3 {
		text += fmt.Sprintf(http3File, s.rehearsal.authority, serverCertificateName)
	}
	if s.rehearsal.plan.Discovery.Consul {
		text += fmt.Sprintf(consulFile, s.rehearsal.consulAddress(s.index), tier.Name)
	}
	if s.rehearsal.links != nil && s.tier == 0 {
		text += s.peersTables(dir)
	}
	if text == "" {
		return nil, nil
	}
	path := filepath.Join(dir, s.name+".toml")
	return []string{"-config", path}, os.WriteFile(path, []byte(text), 0o600)
}

// peersTables returns the tables for peer discovery: the sidecar listens behind its relay and joins the first maxJoinAddresses sidecars.
func (s *sidecar) peersTables(dir string) string {
	var join []string
	for i := range min(maxJoinAddresses, s.rehearsal.plan.Sidecars.Count) {
		if i != s.index {
			join = append(join, s.rehearsal.relayAddress(i))
		}
	}
	text := fmt.Sprintf(peersFile,
		s.adminSocket(dir), s.rehearsal.peersAddress(s.index), s.rehearsal.relayAddress(s.index), strings.Join(join, ","))
	if len(join) == 0 {
		text = strings.Replace(text, "peers_join = \"\"\n", "", 1)
	}
	return text
}

// adminSocket returns the path of the sidecar's admin socket.
func (s *sidecar) adminSocket(dir string) string { return filepath.Join(dir, s.name+".sock") }
