package apps

// addressOwner is an address that an application's file names, where it listens or dials.
type addressOwner struct {
	addressUse
	node *node
}

// addressPlace is what two addresses share that can be one: the port on a host of apps.toml, or on an IP address.
type addressPlace struct{ host, ip, network, port string }

// addressIndex holds addresses by place. Those that only dial stand apart: thousands may dial one.
type addressIndex struct {
	listeners, dialers map[addressPlace][]addressOwner
}

// placesOf are where an address can meet another: at its machine or, where it is not only the machine's own, at the address itself.
func placesOf(n *node, u addressUse) []addressPlace {
	all := []addressPlace{{host: n.sidecar.Host, network: u.network, port: u.port}}
	if !u.local {
		all = append(all, addressPlace{ip: u.host, network: u.network, port: u.port})
	}
	return all
}

// conflict is the first address that one of an application conflicts with, and why.
func (x *addressIndex) conflict(n *node, u addressUse) (other addressOwner, why string) {
	for _, place := range placesOf(n, u) {
		// Two that dial have nothing to conflict about.
		candidates := [][]addressOwner{x.listeners[place]}
		if !u.key.dials {
			candidates = append(candidates, x.dialers[place])
		}
		for _, owners := range candidates {
			for _, other := range owners {
				if why := conflict(u, other.addressUse, other.node.Name); why != "" && u.overlaps(other.addressUse) {
					return other, why
				}
			}
		}
	}
	return addressOwner{}, ""
}

// add takes up an address of an application.
func (x *addressIndex) add(n *node, u addressUse) {
	index := x.listeners
	if u.key.dials {
		index = x.dialers
	}
	for _, place := range placesOf(n, u) {
		index[place] = append(index[place], addressOwner{u, n})
	}
}

// checkAddresses reports addresses that applications would take from one another, and those where one dials what only another one's
// callers are served. Those of one file are checked with that file.
func (g *graph) checkAddresses() {
	index := addressIndex{listeners: map[addressPlace][]addressOwner{}, dialers: map[addressPlace][]addressOwner{}}
	for _, n := range g.nodes {
		own := addressesOf(n.File)
		for _, u := range own {
			if other, why := index.conflict(n, u); why != "" {
				at := n.File.Location(u.key.table, u.key.name)
				otherAt := other.node.File.Location(other.key.table, other.key.name)
				g.found.Add(at.File, at.Pos, "%s.%s: %s %s (%s)", u.key.table, u.key.name, u.text, why, otherAt)
			}
		}
		for _, u := range own {
			index.add(n, u)
		}
	}
}
