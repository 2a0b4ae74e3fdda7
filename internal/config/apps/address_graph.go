package apps

// addressOwner is an address that the file of an application names, to listen on or to dial.
type addressOwner struct {
	addressUse
	node *node
}

// addressPlace identifies what two addresses have in common that may be the same: a port of a host of apps.toml, or of an IP address.
type addressPlace struct{ host, ip, network, port string }

// addressIndex holds addresses by place. Those that are only dialled are kept apart, since thousands of sidecars may dial one.
type addressIndex struct {
	listeners, dialers map[addressPlace][]addressOwner
}

// placesOf returns the places at which an address can be the same as another: its machine and, unless it is local to the machine, the
// address itself.
func placesOf(n *node, u addressUse) []addressPlace {
	all := []addressPlace{{host: n.sidecar.Host, network: u.network, port: u.port}}
	if !u.local {
		all = append(all, addressPlace{ip: u.host, network: u.network, port: u.port})
	}
	return all
}

// conflict returns the first address with which an address of an application conflicts, and the reason; "" if there is none.
func (a *addressIndex) conflict(n *node, u addressUse) (other addressOwner, why string) {
	for _, place := range placesOf(n, u) {
		// Two sidecars may dial one address.
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

// add adds an address of an application.
func (a *addressIndex) add(n *node, u addressUse) {
	index := a.listeners
	if u.key.dials {
		index = a.dialers
	}
	for _, place := range placesOf(n, u) {
		index[place] = append(index[place], addressOwner{u, n})
	}
}

// checkAddresses reports addresses on which two applications would listen, and those that one application dials and another one listens
// on for its callers. Conflicts within one file are reported by CheckAddresses.
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
