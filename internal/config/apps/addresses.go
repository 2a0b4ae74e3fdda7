package apps

import (
	"fmt"
	"net"
	"strings"

	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// use is one address that a file names: where a sidecar takes connections, or where it asks.
type use struct {
	key     addressKey
	text    string
	network string // tcp, udp or unix
	ip      string // "*" for all of a machine, a path with unix
	port    string
	local   bool // it means the machine itself, and is nobody else's
}

// addressKey is a key of the product's file that holds addresses.
type addressKey struct {
	table, name string
	network     string
	asks        bool // it is asked there; the others listen
	many        bool // several, divided by commas
	what        string
}

// addressKeys are all keys that hold addresses of processes.
var addressKeys = []addressKey{
	{table: "sidecar", name: "listen", network: "tcp", what: "takes callers"},
	{table: "http3", name: "http3_listen", network: "udp", what: "takes callers over HTTP/3"},
	{table: "admin", name: "admin_listen", network: "tcp", what: "answers people"},
	{table: "peers", name: "peers_listen", network: "tcp", what: "is found by the other sidecars"},
	{table: "peers", name: "peers_listen", network: "udp", what: "is found by the other sidecars"},
	{table: "peers", name: "peers_join", network: "tcp", asks: true, many: true, what: "looks for the other sidecars"},
	{table: "discovery", name: "address", network: "tcp", asks: true, what: "asks discovery"},
	{table: "consul", name: "agents", network: "tcp", asks: true, many: true, what: "asks Consul"},
}

// uses are the addresses of a file that can be compared: port 0 is any free one.
func uses(f *schema.File) (all []use) {
	for _, k := range addressKeys {
		s := f.Setting(k.table, k.name)
		if s == nil {
			continue
		}
		texts := []string{s.Unquoted()}
		if k.many {
			texts = strings.Split(texts[0], ",")
		}
		for _, text := range texts {
			if u, ok := newUse(k, strings.TrimSpace(text)); ok {
				all = append(all, u)
			}
		}
	}
	return all
}

func newUse(k addressKey, text string) (use, bool) {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		return use{key: k, text: text, network: "unix", ip: path, local: true}, true
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil || port == "0" {
		return use{}, false
	}
	u := use{key: k, text: text, network: k.network, ip: strings.ToLower(strings.TrimSuffix(host, ".")), port: port}
	parsed := net.ParseIP(host)
	switch {
	case host == "" || parsed != nil && parsed.IsUnspecified():
		if u.ip = "*"; k.asks {
			u.ip = "127.0.0.1" // who asks there asks its own machine
		}
	case u.ip == "localhost":
		u.ip = "127.0.0.1"
	case parsed != nil:
		u.ip = parsed.String() // ::ffff:127.0.0.1 is 127.0.0.1
	}
	u.local = u.ip == "*" || u.ip == "::1" || strings.HasPrefix(u.ip, "127.") && net.ParseIP(u.ip) != nil
	return u, true
}

// meets tells whether two addresses are one where both are used on one machine.
func (u use) meets(o use) bool {
	if u.network != o.network || u.port != o.port {
		return false
	}
	if u.ip == o.ip {
		return true
	}
	switch {
	case u.key.asks: // what listens on all addresses has it, if it is on this machine
		return o.ip == "*" && u.local
	case o.key.asks:
		return u.ip == "*" && o.local
	}
	return u.ip == "*" || o.ip == "*"
}

// clash tells why two addresses that meet cannot be meant; "" where they can. Two that ask one address are.
func clash(u, o use, whose string) string {
	switch {
	case u.key.asks && o.key.asks:
		return ""
	case u.key.asks || o.key.asks:
		return fmt.Sprintf("is where %s %s, %s", whose, o.key.what, o.text)
	}
	return fmt.Sprintf("is taken by %s, which listens on %s", whose, o.text)
}

// Addresses reports what one application's file asks of one address twice: a listener in the place of another,
// or discovery and Consul asked for at its own listeners.
func Addresses(f *schema.File, found *finding.List) {
	all := uses(f)
	for i, u := range all {
		for _, o := range all[:i] {
			if !u.meets(o) || u.key == o.key {
				continue
			}
			if why := clash(u, o, "this sidecar itself"); why != "" {
				at, other := f.Place(u.key.table, u.key.name), f.Place(o.key.table, o.key.name)
				found.Add(at.File, at.Pos, "%s.%s: %s %s (%s.%s, %s)", u.key.table, u.key.name, u.text, why, o.key.table, o.key.name, other)
				break
			}
		}
	}
}

// addresses reports addresses that applications would take from one another, and those where one asks what only
// another one's callers are served. Those of one file are checked with that file.
func (g *graph) addresses() {
	type of struct {
		use
		node *node
	}
	type place struct{ host, ip, network, port string }
	// What can meet an address stands at its machine or, where it is no machine's own, at the address itself. Who
	// only asks stands apart: thousands may ask at one place.
	listens, asks := map[place][]of{}, map[place][]of{}
	places := func(n *node, u use) []place {
		all := []place{{host: n.sidecar.Host, network: u.network, port: u.port}}
		if !u.local {
			all = append(all, place{"", u.ip, u.network, u.port})
		}
		return all
	}
	first := func(n *node, u use) (of, string) {
		for _, at := range places(n, u) {
			for _, met := range []map[place][]of{listens, asks} {
				if u.key.asks {
					met = listens
				}
				for _, o := range met[at] {
					if why := clash(u, o.use, o.node.Name); why != "" && u.meets(o.use) {
						return o, why
					}
				}
			}
		}
		return of{}, ""
	}
	for _, n := range g.nodes {
		own := uses(n.File)
		for _, u := range own {
			if o, why := first(n, u); why != "" {
				at := n.File.Place(u.key.table, u.key.name)
				g.found.Add(at.File, at.Pos, "%s.%s: %s %s (%s)", u.key.table, u.key.name, u.text, why,
					o.node.File.Place(o.key.table, o.key.name))
			}
		}
		for _, u := range own {
			kind := listens
			if u.key.asks {
				kind = asks
			}
			for _, at := range places(n, u) {
				kind[at] = append(kind[at], of{u, n})
			}
		}
	}
}
