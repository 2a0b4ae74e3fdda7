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

// peersCases has lines of [peers], and a part of the error that they cause; "" for none.
var peersCases = []struct{ lines, want string }{
	{
		lines: `peers_listen = "127.0.0.1:7946"`,
	},
	{
		lines: `peers_listen = "10.0.0.7:7946"
peers_key_file = "good"
peers_join = "10.0.0.8:7946"`,
	},
	{
		lines: `peers_join = "10.0.0.8:7946"`,
		want:  "f.toml:12:2: peers.peers_listen: missing: without it",
	},
	{
		lines: `peers_listen = "10.0.0.7:7946"`,
		want:  "not on loopback",
	},
	{
		lines: `peers_listen = "0.0.0.0:7946"
peers_key_file = "good"`,
		want: "no address that the others could reach",
	},
	{
		lines: `peers_listen = "127.0.0.1:7946"
peers_join = "127.0.0.1:7946"`,
		want: "f.toml:14:1: peers.peers_join: 127.0.0.1:7946 is where this sidecar itself is found",
	},
	{
		lines: `peers_listen = "127.0.0.2:7946"
peers_advertise = "192.0.2.7:7946"
peers_join = "10.0.0.8:7946, 192.0.2.7:7946"`,
		want: "192.0.2.7:7946 is this sidecar's own address",
	},
	{
		lines: `peers_listen = "127.0.0.1:8080"`,
		want:  "127.0.0.1:8080 is taken by this sidecar itself",
	},
	{
		lines: `peers_listen = "127.0.0.1:7946"
peers_most = 4000`,
		want: "more than a tenth of limits.memory",
	},
	{
		lines: `peers_listen = "front:7946"`,
		want:  "is not IP:port",
	},
	{
		lines: `peers_listen = "127.0.0.1:7946"
forget_after = "1m"
settle_after = "30s"`,
		want: "not above ten times settle_after",
	},
	{
		lines: `peers_listen = "127.0.0.1:7946"
peers_key_file = "short"`,
		want: "key 1 has 8 bytes; 16, 24 or 32 are wanted",
	},
	{
		lines: `peers_listen = "127.0.0.1:7946"
peers_key_file = "odd"`,
		want: "key 1 is not in base64",
	},
	{
		lines: `peers_listen = "127.0.0.1:7946"
peers_service = "x"`,
		want: "peers_service is set, and consul.agents is not",
	},
}

// Settings of [peers] that cannot work are reported when the file is loaded, with their location.
func TestPeersAreChecked(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"good":  base64.StdEncoding.EncodeToString(make([]byte, 32)),
		"short": base64.StdEncoding.EncodeToString(make([]byte, 8)),
		"odd":   "not-base64",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, "f.toml")
	for _, test := range peersCases {
		if err := os.WriteFile(path, []byte(peersFile+test.lines+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := SidecarConfig(path, func(string) string { return "" })
		switch {
		case test.want == "" && err != nil:
			t.Errorf("%s:\ngot error %v, want none", test.lines, err)
		case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
			t.Errorf("%s:\ngot error %v\nwant one that contains %q", test.lines, err, test.want)
		}
	}
}
