package apps

import (
	"fmt"
	"strings"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
)

// maxAppsNamed bounds the number of applications that a finding about a host names.
const maxAppsNamed = 4

// roundingSlack is the relative error that rounding may add to the sum of the sidecars' cores.
const roundingSlack = 1e-9

// hostLoad is the sum of the limits of all sidecars on a host.
type hostLoad struct {
	cores   float64
	memory  int64 // the memory in bytes
	sockets int
	apps    []string
}

// checkHosts reports hosts whose sidecars may use more than the host has, and unknown hosts. If installation is nil no hosts are declared,
// and unknown hosts are not reported.
func (g *graph) checkHosts(hosts []schema.Named[Host], installation *schema.File) {
	loads := map[string]*hostLoad{}
	var names []string
	for _, h := range hosts {
		loads[h.Name] = &hostLoad{}
		names = append(names, h.Name)
	}
	for _, n := range g.nodes {
		host := n.sidecar.Host
		switch {
		case host == "":
		case loads[host] != nil:
			loads[host].add(n)
		case installation != nil:
			at := n.File.Location("sidecar", "host")
			g.found.Add(at.File, at.Pos, "sidecar.host: %s; hosts stand in [hosts.NAME]", finding.UnknownName("host", host, names))
		}
	}
	for _, h := range hosts {
		if load := loads[h.Name]; len(load.apps) > 0 {
			g.checkHost(h, load, installation)
		}
	}
}

// add adds the limits of an application's sidecar to the sum.
func (h *hostLoad) add(n *node) {
	limits := appfile.LimitsTable.In(n.File)
	h.cores += limits.Cores
	h.memory += limits.Memory
	h.sockets += limits.Sockets
	h.apps = append(h.apps, n.Name)
}

// describeApps names the applications whose sidecars run on a host.
func (h *hostLoad) describeApps() string {
	text := strings.Join(h.apps[:min(maxAppsNamed, len(h.apps))], ", ")
	if len(h.apps) > maxAppsNamed {
		text += fmt.Sprintf(" and %d more", len(h.apps)-maxAppsNamed)
	}
	return text
}

// checkHost reports each resource of one host of which its sidecars may use more than the host has.
func (g *graph) checkHost(h schema.Named[Host], load *hostLoad, installation *schema.File) {
	report := func(key, format string, args ...any) {
		at := installation.Location("hosts", h.Name, key)
		g.found.Add(at.File, at.Pos, "hosts.%s.%s: %s (%s)", h.Name, key, fmt.Sprintf(format, args...), load.describeApps())
	}
	if load.cores > h.Value.Cores*(1+roundingSlack) {
		report("host_cores", "its sidecars may use %.4g cores of %.4g", load.cores, h.Value.Cores)
	}
	if load.memory > h.Value.Memory {
		report("host_memory", "its sidecars may use %d MiB of %d MiB", load.memory>>20, h.Value.Memory>>20)
	}
	if load.sockets > h.Value.Sockets {
		report("host_sockets", "its sidecars may use %d sockets of %d", load.sockets, h.Value.Sockets)
	}
}
