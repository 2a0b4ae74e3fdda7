package apps

import "testing"

// Every pair of keys that hold addresses, with what may and may not be the same.
func TestPairsOfAddresses(t *testing.T) {
	key := func(table string) addressKey {
		for _, k := range addressKeys {
			if k.table == table {
				return k
			}
		}
		t.Fatal(table)
		return addressKey{}
	}
	for _, x := range []struct {
		a, at, b, bt string
		wrong        bool
	}{
		{"sidecar", "127.0.0.1:80", "admin", "127.0.0.1:80", true},
		{"sidecar", "127.0.0.1:80", "admin", ":80", true},
		{"sidecar", "[::]:80", "admin", "10.0.0.1:80", true},
		{"sidecar", "127.0.0.1:80", "admin", "127.0.0.2:80", false},
		{"sidecar", "127.0.0.1:0", "admin", "127.0.0.1:0", false},
		{"sidecar", "127.0.0.1:80", "http3", "127.0.0.1:80", false}, // TCP and UDP: that is meant
		{"http3", ":443", "http3", "127.0.0.1:443", true},
		{"admin", "unix:/run/a", "admin", "unix:/run/a", true},
		{"admin", "unix:/run/a", "sidecar", "127.0.0.1:80", false},
		{"sidecar", "localhost:80", "discovery", "127.0.0.1:80", true},
		{"sidecar", ":80", "discovery", "127.0.0.1:80", true},
		{"sidecar", ":80", "discovery", "10.0.0.1:80", false}, // it may be another machine's
		{"sidecar", "10.0.0.1:80", "discovery", "10.0.0.1:80", true},
		{"sidecar", "127.0.0.1:80", "discovery", "0.0.0.0:80", true},
		{"sidecar", "127.0.0.1:80", "discovery", "[::ffff:127.0.0.1]:80", true},
		{"http3", "127.0.0.1:443", "discovery", "127.0.0.1:443", false},
		{"admin", "127.0.0.1:80", "consul", "127.0.0.1:80", true},
		{"admin", "127.0.0.1:80", "consul", "127.0.0.1:81", false},
		{"discovery", "127.0.0.1:80", "consul", "127.0.0.1:80", false}, // one agent may answer both
		{"sidecar", "front.example.org:80", "discovery", "Front.example.org.:80", true},
	} {
		a, okA := newAddressUse(key(x.a), x.at)
		b, okB := newAddressUse(key(x.b), x.bt)
		wrong := okA && okB && a.overlaps(b) && conflict(a, b, "") != ""
		mirrored := okA && okB && b.overlaps(a) && conflict(b, a, "") != ""
		if wrong != x.wrong || mirrored != x.wrong {
			t.Errorf("%s %s and %s %s: %v, %v", x.a, x.at, x.b, x.bt, wrong, mirrored)
		}
	}
}
