// Package archtest checks the rules of docs/architecture.md on which packages may import which.
package archtest

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// module is the prefix of the import paths of the project's packages.
const module = "quincegap/"

// minPackages is the least number of packages that the test has to find: fewer mean that it does not see the project.
const minPackages = 10

// folder is a part of the tree. Its packages may import those of lower folders and, of the folder itself, those of later ranks.
type folder struct {
	path  string
	ranks [][]string // packages, the highest rank first; "." is the folder itself; nil if the packages have no order
}

// folders is the tree as docs/architecture.md shows it, the highest first.
var folders = []folder{
	{"cmd", nil},
	{"internal/tool", [][]string{{"."}}},
	{"internal/product", [][]string{{"."}}},
	{"internal/mesh", [][]string{
		{"assembly", "operations/meshctl"},
		{"agent", "dataplane/outbound", "control/controlplane", "operations/eventlog"},
		{"dataplane/inbound", "operations/eventfeed"},
		{"transport", "control/storage", "operations/settings", "operations/logging"},
		{
			"operations/events", "control/ratelimit", "discovery", "discovery/membership", "control/consensus", "control/lease",
			"dataplane/admission",
		},
		{"dataplane/outcome", "control/configuration", "transport/codec"},
	}},
	{"internal/rehearsal", [][]string{
		{"rehearse", "report"},
		{"experiment", "fleet"},
		{"dryrun"},
		{"scenario"},
		{"emulator", "audit"},
	}},
	{"internal/standalone", [][]string{{"."}}},
	{"internal/simadapter", [][]string{{"."}}},
	{"internal/network", [][]string{
		{"consul", "admin", "gossip"},
		{"http1", "http3"},
		{"exchange"},
	}},
	{"internal/standin", [][]string{{"application", "authority", "booking", "consul", "disk", "h3", "relay", "udp"}}},
	{"internal/lifecycle", [][]string{{"."}}},
	{"internal/files", [][]string{
		{"certfile", "store"},
		{"atomicfile", "secretfile"},
	}},
	{"internal/modules", [][]string{{"endpointsource", "idempotency", "peers", "protocolfallback", "route", "timeslot"}}},
	{"internal/config", [][]string{
		{"apps"},
		{"appfile"},
		{"schema"},
		{"doc"},
		{"finding", "settings"},
	}},
	{"internal/balancer", [][]string{{"."}}},
	{"internal/structures", [][]string{
		{"hashring"},
		{"deadlinequeue", "rendezvous", "throttle", "weightedring", "weightedsample"},
	}},
	{"internal/golden", [][]string{{"."}}},
	{"internal/doctest", [][]string{{"."}}},
}

// pure are the folders whose packages do no I/O and get the time as an argument, except for those in impure. forbidden is what they must
// not import.
var (
	pure   = []string{"internal/balancer", "internal/structures", "internal/modules", "internal/config", "internal/rehearsal", "internal/mesh"}
	impure = []string{
		"internal/rehearsal/rehearse", "internal/mesh/assembly", "internal/mesh/agent", "internal/mesh/dataplane/outbound",
		"internal/mesh/control/controlplane", "internal/mesh/dataplane/inbound", "internal/mesh/transport", "internal/mesh/control/storage",
		"internal/mesh/operations/settings", "internal/mesh/operations/eventlog", "internal/mesh/operations/eventfeed",
		"internal/mesh/operations/meshctl",
	}
	forbidden = []string{"os", "net/http", "os/exec", "os/signal", "syscall", "log", "path/filepath"}
)

// outside are folders of packages that have no layer.
var outside = []string{"docs", "journal", "internal/archtest"}

// layer is the position of a package: the index of its folder and its rank in it. Smaller ones are higher.
type layer struct{ folder, rank int }

// above reports whether a package may import one of the layer other.
func (l layer) above(other layer) bool {
	return l.folder < other.folder || l.folder == other.folder && l.rank < other.rank
}

// layerOf returns the layer of a package by its path in the module; false if it has none.
func layerOf(path string) (layer, bool) {
	for i, f := range folders {
		name, ok := f.nameOf(path)
		if !ok {
			continue
		}
		if f.ranks == nil {
			return layer{i, 0}, true
		}
		for rank, names := range f.ranks {
			if slices.Contains(names, name) {
				return layer{i, rank}, true
			}
		}
	}
	return layer{}, false
}

// nameOf returns the name of a package in the folder; false if it is not below it.
func (f folder) nameOf(path string) (string, bool) {
	if path == f.path {
		return ".", true
	}
	return strings.CutPrefix(path, f.path+"/")
}

// isPure reports whether a package must do no I/O.
func isPure(path string) bool {
	l, _ := layerOf(path)
	return slices.Contains(pure, folders[l.folder].path) && !slices.Contains(impure, path)
}

// listedPackage has the fields of the output of go list that the test needs.
type listedPackage struct {
	ImportPath string
	Imports    []string
}

// listPackages returns the packages of the module that have a layer, by their paths in the module.
func listPackages(t *testing.T) map[string]listedPackage {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), "go", "list", "-json=ImportPath,Imports", module+"...").Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := map[string]listedPackage{}
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for {
		var p listedPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal(err)
		}
		path := strings.TrimPrefix(p.ImportPath, module)
		if !slices.ContainsFunc(outside, func(prefix string) bool { return strings.HasPrefix(path, prefix) }) {
			packages[path] = p
		}
	}
}

func TestImportsGoOneWay(t *testing.T) {
	packages := listPackages(t)
	if len(packages) < minPackages {
		t.Errorf("only %d packages were looked at", len(packages))
	}
	for path, p := range packages {
		own, ok := layerOf(path)
		if !ok {
			t.Errorf("%s has no layer: add it here and to docs/architecture.md", path)
			continue
		}
		for _, imported := range p.Imports {
			checkImport(t, path, own, imported)
		}
	}
}

// checkImport checks one import of a package with a path and a layer.
func checkImport(t *testing.T, path string, own layer, imported string) {
	t.Helper()
	if isPure(path) && slices.Contains(forbidden, imported) {
		t.Errorf("%s imports %s, and is to do no I/O", path, imported)
	}
	to, ok := strings.CutPrefix(imported, module)
	if !ok {
		return
	}
	if other, _ := layerOf(to); !own.above(other) {
		t.Errorf("%s imports %s, which is higher up, or beside it", path, to)
	}
}

func TestListedPackagesExist(t *testing.T) {
	packages := listPackages(t)
	for _, f := range folders {
		for _, name := range slices.Concat(f.ranks...) {
			path := strings.TrimSuffix(f.path+"/"+name, "/.")
			if _, ok := packages[path]; !ok {
				t.Errorf("%s is listed, and does not exist", path)
			}
		}
	}
}
