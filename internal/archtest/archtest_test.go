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

// modulePrefix is the prefix of the import paths of the project's packages.
const modulePrefix = "quincegap/"

// minPackages is the minimum number of packages that go list has to return. A smaller number means that the test does not see the project.
const minPackages = 10

// folder is a folder of the source tree. Its packages may import packages of lower folders and packages of lower ranks in the same folder.
type folder struct {
	path  string
	ranks [][]string // package names by rank, highest first ("." is the folder's own package); nil permits no imports within the folder
}

// folders lists the folders in the order of docs/architecture.md, highest first.
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
			"dataplane/admission", "transport/sockets",
		},
		{"dataplane/outcome", "control/configuration", "transport/codec", "transport/membudget"},
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
	{"internal/standin", [][]string{{"application", "authority", "booking", "consul", "disk", "h3", "pipe", "relay", "udp"}}},
	{"internal/lifecycle", [][]string{{".", "earlysignals"}}},
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

// pure lists the folders whose packages do no I/O and get the time as an argument. impure lists the exceptions: packages of these folders
// that may do I/O. forbiddenImports lists the packages that pure packages must not import.
var (
	pure   = []string{"internal/balancer", "internal/structures", "internal/modules", "internal/config", "internal/rehearsal", "internal/mesh"}
	impure = []string{
		"internal/rehearsal/rehearse", "internal/mesh/assembly", "internal/mesh/agent", "internal/mesh/dataplane/outbound",
		"internal/mesh/control/controlplane", "internal/mesh/dataplane/inbound", "internal/mesh/transport", "internal/mesh/transport/sockets", "internal/mesh/control/storage",
		"internal/mesh/operations/settings", "internal/mesh/operations/eventlog", "internal/mesh/operations/eventfeed",
		"internal/mesh/operations/meshctl",
	}
	forbiddenImports = []string{"os", "net/http", "os/exec", "os/signal", "syscall", "log", "path/filepath"}
)

// unlayered lists path prefixes of packages that have no layer; they are not checked.
var unlayered = []string{"docs", "journal", "internal/archtest"}

// layer is the position of a package: the index of its folder in folders, and its rank in that folder. Smaller numbers are higher layers.
type layer struct{ folder, rank int }

// above reports whether l is higher than other, so that a package of layer l may import a package of layer other.
func (l layer) above(other layer) bool {
	return l.folder < other.folder || l.folder == other.folder && l.rank < other.rank
}

// layerOf returns the layer of the package with a path relative to the module, and false if the package has no layer.
func layerOf(path string) (layer, bool) {
	for i, f := range folders {
		name, ok := f.relativePath(path)
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

// relativePath returns the path of a package relative to the folder ("." for the folder's own package), and false if the package is not in
// the folder.
func (f folder) relativePath(path string) (string, bool) {
	if path == f.path {
		return ".", true
	}
	return strings.CutPrefix(path, f.path+"/")
}

// isPure reports whether the package at path must not do I/O.
func isPure(path string) bool {
	l, _ := layerOf(path)
	return slices.Contains(pure, folders[l.folder].path) && !slices.Contains(impure, path)
}

// listedPackage is a package in the JSON output of go list, with the fields that the tests need.
type listedPackage struct {
	ImportPath string
	Imports    []string
}

// listPackages returns the packages of the module, without those of unlayered, by their paths relative to the module.
func listPackages(t *testing.T) map[string]listedPackage {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), "go", "list", "-json=ImportPath,Imports", modulePrefix+"...").Output()
	if err != nil {
		t.Fatal("list the packages with go list:", err)
	}
	packages := map[string]listedPackage{}
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for {
		var p listedPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal("decode the output of go list:", err)
		}
		path := strings.TrimPrefix(p.ImportPath, modulePrefix)
		if !slices.ContainsFunc(unlayered, func(prefix string) bool { return strings.HasPrefix(path, prefix) }) {
			packages[path] = p
		}
	}
}

// Each package imports only packages of lower layers, and pure packages import no package for I/O.
func TestImportsGoOneWay(t *testing.T) {
	packages := listPackages(t)
	if len(packages) < minPackages {
		t.Errorf("go list returned %d packages, want at least %d", len(packages), minPackages)
	}
	for path, p := range packages {
		importer, ok := layerOf(path)
		if !ok {
			t.Errorf("package %s has no layer: add it to folders in this file and to docs/architecture.md", path)
			continue
		}
		for _, imported := range p.Imports {
			checkImport(t, path, importer, imported)
		}
	}
}

// checkImport checks that the package at path, which has the layer importer, may import the package imported.
func checkImport(t *testing.T, path string, importer layer, imported string) {
	t.Helper()
	if isPure(path) && slices.Contains(forbiddenImports, imported) {
		t.Errorf("package %s must not do I/O, but imports %s", path, imported)
	}
	to, ok := strings.CutPrefix(imported, modulePrefix)
	if !ok {
		return
	}
	if other, _ := layerOf(to); !importer.above(other) {
		t.Errorf("package %s imports %s, which is not in a lower layer", path, to)
	}
}

// Each package listed in folders exists.
func TestListedPackagesExist(t *testing.T) {
	packages := listPackages(t)
	for _, f := range folders {
		for _, name := range slices.Concat(f.ranks...) {
			path := strings.TrimSuffix(f.path+"/"+name, "/.")
			if _, ok := packages[path]; !ok {
				t.Errorf("folders lists package %s, which does not exist", path)
			}
		}
	}
}
