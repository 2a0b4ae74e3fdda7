package apps

import (
	"fmt"
	"net"
	"strings"

	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// addressUse is an address on which a sidecar listens or which it dials, as its file names it.
type addressUse struct {
	key     addressKey
	text    string
	network string // "tcp", "udp" or "unix"
	host    string // the normalized host; "*" for all addresses of the machine; the path of a unix socket
	port    string
	local   bool // whether it is reachable only on its machine, such as a loopback address or the path of a socket; also set for "*"
}

// addressKey is a key of a sidecar's file that holds addresses.
type addressKey struct {
	table, name string
	network     string
	dials       bool   // whether the sidecar connects to the address; otherwise it listens on it
	list        bool   // whether the value is a comma-separated list of addresses
	purpose     string // what the sidecar uses the address for, as a phrase for messages
}

// addressKeys has all keys whose values are addresses of processes.
var addressKeys = []addressKey{
	{table: "sidecar", name: "listen", network: "tcp", purpose: "takes callers"},
	{table: "http3", name: "http3_listen", network: "udp", purpose: "takes callers over HTTP/3"},
	{table: "admin", name: "admin_listen", network: "tcp", purpose: "answers people"},
	{table: "peers", name: "peers_listen", network: "tcp", purpose: "is found by the other sidecars"},
	{table: "peers", name: "peers_listen", network: "udp", purpose: "is found by the other sidecars"},
	{table: "peers", name: "peers_join", network: "tcp", dials: true, list: true, purpose: "looks for the other sidecars"},
	{table: "discovery", name: "address", network: "tcp", dials: true, purpose: "asks discovery"},
	{table: "consul", name: "agents", network: "tcp", dials: true, list: true, purpose: "asks Consul"},
}

// addressesOf returns the addresses of a file. It omits those that cannot be compared, such as those with port 0, which selects a free
// port.
func addressesOf(f *schema.File) (all []addressUse) {
	for _, k := range addressKeys {
		s := f.Setting(k.table, k.name)
		if s == nil {
			continue
		}
		texts := []string{s.Unquoted()}
		if k.list {
			texts = strings.Split(texts[0], ",")
		}
		for _, text := range texts {
			if u, ok := newAddressUse(k, strings.TrimSpace(text)); ok {
				all = append(all, u)
			}
		}
	}
	return all
}

// newAddressUse normalizes an address. It returns false if the address cannot be compared: it is invalid or has port 0.
func newAddressUse(k addressKey, text string) (addressUse, bool) {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		return addressUse{key: k, text: text, network: "unix", host: path, local: true}, true
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil || port == "0" {
		return addressUse{}, false
	}
	use := addressUse{key: k, text: text, network: k.network, host: strings.ToLower(strings.TrimSuffix(host, ".")), port: port}
	parsed := net.ParseIP(host)
	switch {
	case host == "" || parsed != nil && parsed.IsUnspecified():
		if use.host = "*"; k.dials {
			use.host = "127.0.0.1" // dialling the unspecified address connects to the machine itself
		}
	case use.host == "localhost":
		use.host = "127.0.0.1"
	case parsed != nil:
		use.host = parsed.String() // normalizes notations: ::ffff:127.0.0.1 is 127.0.0.1
	}
	use.local = use.host == "*" || use.host == "::1" || strings.HasPrefix(use.host, "127.") && net.ParseIP(use.host) != nil
	return use, true
}

// overlaps reports whether two addresses have an address in common if both are used on the same machine.
func (u addressUse) overlaps(other addressUse) bool {
	if u.network != other.network || u.port != other.port {
		return false
	}
	if u.host == other.host {
		return true
	}
	switch {
	case u.key.dials: // a listener on all addresses of the machine includes the dialled one if that is local
		return other.host == "*" && u.local
	case other.key.dials:
		return u.host == "*" && other.local
	}
	return u.host == "*" || other.host == "*"
}

// conflict returns why two uses of the same address exclude each other, or "" if both dial it, which is no conflict. The reason names the
// sidecar of the second use as whose.
func conflict(u, o addressUse, whose string) string {
	switch {
	case u.key.dials && o.key.dials:
		return ""
	case u.key.dials || o.key.dials:
		return fmt.Sprintf("is where %s %s, %s", whose, o.key.purpose, o.text)
	}
	return fmt.Sprintf("is taken by %s, which listens on %s", whose, o.text)
}

// CheckAddresses reports addresses that the file of one application uses twice: for two listeners, or for a listener and a peer that it
// dials, such as discovery or Consul.
func CheckAddresses(f *schema.File, found *finding.List) {
	all := addressesOf(f)
	for i, u := range all {
		for _, o := range all[:i] {
			if !u.overlaps(o) || u.key == o.key {
				continue
			}
			if why := conflict(u, o, "this sidecar itself"); why != "" {
				at, other := f.Location(u.key.table, u.key.name), f.Location(o.key.table, o.key.name)
				found.Add(at.File, at.Pos, "%s.%s: %s %s (%s.%s, %s)", u.key.table, u.key.name, u.text, why, o.key.table, o.key.name, other)
				break
			}
		}
	}
}
