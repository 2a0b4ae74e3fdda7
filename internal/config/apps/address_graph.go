package apps

// addressOwner is an address with the application whose file names it, to listen on or to dial.
type addressOwner struct {
	addressUse
	node *node
}

// addressPlace is an index key that two addresses share if they may be the same: a port on a host of apps.toml, or on an IP address.
type addressPlace struct{ host, ip, network, port string }

// addressIndex has addresses by place. Dialled addresses are stored separately, since thousands of sidecars may dial the same one.
type addressIndex struct {
	listeners, dialers map[addressPlace][]addressOwner
}

// placesOf returns the places under which an address is indexed: its port on its machine and, unless it is local to the machine, its port
// on its IP address.
func placesOf(n *node, u addressUse) []addressPlace {
	all := []addressPlace{{host: n.sidecar.Host, network: u.network, port: u.port}}
	if !u.local {
		all = append(all, addressPlace{ip: u.host, network: u.network, port: u.port})
	}
	return all
}

// conflict returns the first indexed address with which an address of an application conflicts, and the reason, which is "" if there is
// no conflict.
func (a *addressIndex) conflict(n *node, u addressUse) (other addressOwner, why string) {
	for _, place := range placesOf(n, u) {
		// Two sidecars may dial the same address, so that dialled addresses are not compared with one another.
		candidates := [][]addressOwner{a.listeners[place]}
		if !u.key.dials {
			candidates = append(candidates, a.dialers[place])
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

// add adds an address of an application to the index.
func (a *addressIndex) add(n *node, u addressUse) {
	index := a.listeners
	if u.key.dials {
		index = a.dialers
	}
	for _, place := range placesOf(n, u) {
		index[place] = append(index[place], addressOwner{u, n})
	}
}

// checkAddresses reports addresses on which two applications would listen, and addresses that one application dials while another listens
// on them for its callers. CheckAddresses reports conflicts within one file.
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
