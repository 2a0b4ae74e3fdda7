// Package archtest holds the rules of docs/architecture.md as a test.
package archtest

import (
	"encoding/json"
	"io"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// module is the path that the project's own packages begin with.
const module = "quincegap/"

// folders are the tree as docs/architecture.md has it, the highest first. A package imports lower folders only, and of its
// own folder those of later ranks. A folder without ranks has no order of its own.
var folders = []struct {
	path  string
	ranks string // packages; ranks are split by a bar, the highest first
}{
	{"cmd", ""},
	{"internal/tool", "."},
	{"internal/product", "."},
	{"internal/mesh", "assembly operations/meshctl | agent dataplane/outbound control/controlplane operations/eventlog | dataplane/inbound operations/eventfeed | transport control/storage operations/settings operations/logging | operations/events control/ratelimit discovery discovery/membership control/consensus control/lease dataplane/admission | dataplane/outcome control/configuration transport/codec"},
	{"internal/rehearsal", "rehearse report | experiment fleet | dryrun | morning | emulator audit"},
	{"internal/standalone", "."},
	{"internal/simadapter", "."},
	{"internal/network", "consul admin gossip | http1 http3 | exchange"},
	{"internal/standin", "application authority booking consul disk h3 relay udp"},
	{"internal/lifecycle", "."},
	{"internal/files", "certfile store | atomicfile secretfile"},
	{"internal/modules", "endpointsource idempotency peers protocolfallback route timeslot"},
	{"internal/config", "apps | appfile | schema | doc | finding settings"},
	{"internal/balancer", "."},
	{"internal/structures", "hashring | deadlinequeue rendezvous throttle weightedring weightedsample"},
	{"internal/golden", "."},
	{"internal/doctest", "."},
}

// pure are the folders whose packages do no I/O, but for those named; forbidden is what they may not import for it. The
// flow of time is an argument.
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

// place is where a package stands: its folder and the rank in it; false if it is in none.
func place(path string) (folder, rank int, ok bool) {
	for i, f := range folders {
		name, in := ".", path == f.path
		if !in && f.path != "" {
			name, in = strings.CutPrefix(path, f.path+"/")
		}
		switch {
		case !in:
			continue
		case f.ranks == "":
			return i, 0, true
		}
		for r, names := range strings.Split(f.ranks, "|") {
			if slices.Contains(strings.Fields(names), name) {
				return i, r, true
			}
		}
	}
	return 0, 0, false
}

func isPure(path string) bool {
	folder, _, _ := place(path)
	return slices.Contains(pure, folders[folder].path) && !slices.Contains(impure, path)
}

func TestImportsGoOneWay(t *testing.T) {
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", module+"...").Output()
	if err != nil {
		t.Fatal(err)
	}
	seen, there := 0, map[string]bool{}
	for d := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p struct {
			ImportPath string
			Imports    []string
		}
		if err := d.Decode(&p); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		own := func(path string) (string, bool) { return strings.CutPrefix(path, module) }
		from, _ := own(p.ImportPath)
		if strings.HasPrefix(from, "docs") || strings.HasPrefix(from, "journal") || strings.HasPrefix(from, "internal/archtest") {
			continue
		}
		seen++
		there[from] = true
		folder, rank, ok := place(from)
		if !ok {
			t.Errorf("%s has no place: add it here and to docs/architecture.md", from)
			continue
		}
		for _, i := range p.Imports {
			if isPure(from) && slices.Contains(forbidden, i) {
				t.Errorf("%s imports %s, and is to do no I/O", p.ImportPath, i)
			}
			to, ok := own(i)
			if !ok {
				continue
			}
			f, r, _ := place(to)
			if f < folder || f == folder && r <= rank {
				t.Errorf("%s imports %s, which is higher up, or beside it", from, to)
			}
		}
	}
	for _, f := range folders {
		for _, name := range strings.Fields(strings.ReplaceAll(f.ranks, "|", " ")) {
			if path := strings.TrimSuffix(f.path+"/"+name, "/."); path != "" && !there[path] {
				t.Errorf("%s is listed, and is not there", path)
			}
		}
	}
	if seen < 10 {
		t.Errorf("only %d packages were looked at", seen)
	}
}
