package apps

import "testing"

// Conflicts between addresses of each pair of keys. Each pair is checked in both orders.
func TestPairsOfAddresses(t *testing.T) {
	key := func(table string) addressKey {
		for _, k := range addressKeys {
			if k.table == table {
				return k
			}
		}
		t.Fatalf("no key with addresses in table %s", table)
		return addressKey{}
	}
	for _, test := range []struct {
		keyA, addressA string // the key and address of the first use
		keyB, addressB string // the key and address of the second use
		conflict       bool
	}{
		{"sidecar", "127.0.0.1:80", "admin", "127.0.0.1:80", true},
		{"sidecar", "127.0.0.1:80", "admin", ":80", true},
		{"sidecar", "[::]:80", "admin", "10.0.0.1:80", true},
		{"sidecar", "127.0.0.1:80", "admin", "127.0.0.2:80", false},
		{"sidecar", "127.0.0.1:0", "admin", "127.0.0.1:0", false},
		{"sidecar", "127.0.0.1:80", "http3", "127.0.0.1:80", false}, // TCP and UDP
		{"http3", ":443", "http3", "127.0.0.1:443", true},
		{"admin", "unix:/run/a", "admin", "unix:/run/a", true},
		{"admin", "unix:/run/a", "sidecar", "127.0.0.1:80", false},
		{"sidecar", "localhost:80", "discovery", "127.0.0.1:80", true},
		{"sidecar", ":80", "discovery", "127.0.0.1:80", true},
		{"sidecar", ":80", "discovery", "10.0.0.1:80", false}, // 10.0.0.1 may be another machine
		{"sidecar", "10.0.0.1:80", "discovery", "10.0.0.1:80", true},
		{"sidecar", "127.0.0.1:80", "discovery", "0.0.0.0:80", true},
		{"sidecar", "127.0.0.1:80", "discovery", "[::ffff:127.0.0.1]:80", true},
		{"http3", "127.0.0.1:443", "discovery", "127.0.0.1:443", false},
		{"admin", "127.0.0.1:80", "consul", "127.0.0.1:80", true},
		{"admin", "127.0.0.1:80", "consul", "127.0.0.1:81", false},
		{"discovery", "127.0.0.1:80", "consul", "127.0.0.1:80", false}, // two keys may dial the same agent
		{"sidecar", "front.example.org:80", "discovery", "Front.example.org.:80", true},
	} {
		a, okA := newAddressUse(key(test.keyA), test.addressA)
		b, okB := newAddressUse(key(test.keyB), test.addressB)
		got := okA && okB && a.overlaps(b) && conflict(a, b, "") != ""
		mirrored := okA && okB && b.overlaps(a) && conflict(b, a, "") != ""
		if got != test.conflict || mirrored != test.conflict {
			t.Errorf("conflict of %s %s and %s %s: got %v, in reverse order %v, want %v",
				test.keyA, test.addressA, test.keyB, test.addressB, got, mirrored, test.conflict)
		}
	}
}
