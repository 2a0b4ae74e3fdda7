package product

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const peersFile = `[sidecar]
application = "booking-front.example.org"
listen = "127.0.0.1:8080"
[discovery]
address = "127.0.0.1:9000"
[limits]
memory = "64MiB"
[class.find-trip]
aim = "2s"
deadline = "6s"
effect = "safe"
[peers]
`

// Settings that cannot work are found at load, with their line.
func TestPeersAreChecked(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"good": base64.StdEncoding.EncodeToString(make([]byte, 32)), "short": base64.StdEncoding.EncodeToString(make([]byte, 8)), "odd": "not-base64"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, "f.toml")
	for lines, want := range map[string]string{
		"peers_listen = \"127.0.0.1:7946\"": "",
		"peers_listen = \"10.0.0.7:7946\"\npeers_key_file = \"good\"\npeers_join = \"10.0.0.8:7946\"": "",
		"peers_join = \"10.0.0.8:7946\"":                                     "f.toml:12:2: peers.peers_listen: missing: without it",
		"peers_listen = \"10.0.0.7:7946\"":                                   "not on loopback",
		"peers_listen = \"0.0.0.0:7946\"\npeers_key_file = \"good\"":         "no address that the others could reach",
		"peers_listen = \"127.0.0.1:7946\"\npeers_join = \"127.0.0.1:7946\"": "f.toml:14:1: peers.peers_join: 127.0.0.1:7946 is where this sidecar itself is found",
		"peers_listen = \"127.0.0.2:7946\"\npeers_advertise = \"192.0.2.7:7946\"\npeers_join = \"10.0.0.8:7946, 192.0.2.7:7946\"": "192.0.2.7:7946 is this sidecar's own address",
		"peers_listen = \"127.0.0.1:8080\"":                                                "127.0.0.1:8080 is taken by this sidecar itself",
		"peers_listen = \"127.0.0.1:7946\"\npeers_most = 4000":                             "more than a tenth of limits.memory",
		"peers_listen = \"front:7946\"":                                                    "is not IP:port",
		"peers_listen = \"127.0.0.1:7946\"\nforget_after = \"1m\"\nsettle_after = \"30s\"": "not above ten times settle_after",
		"peers_listen = \"127.0.0.1:7946\"\npeers_key_file = \"short\"":                    "key 1 has 8 bytes; 16, 24 or 32 are wanted",
		"peers_listen = \"127.0.0.1:7946\"\npeers_key_file = \"odd\"":                      "key 1 is not in base64",
		"peers_listen = \"127.0.0.1:7946\"\npeers_service = \"x\"":                         "peers_service is set, and consul.agents is not",
	} {
		if err := os.WriteFile(path, []byte(peersFile+lines+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := SidecarConfig(path, func(string) string { return "" })
		switch {
		case want == "" && err != nil:
			t.Errorf("%s: %v", lines, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%s:\n%v\nshould say %q", lines, err, want)
		}
	}
}
