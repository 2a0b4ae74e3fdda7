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

// layers are the packages, the highest first. A package imports lower layers only, and, where its layer is
// marked so, others of its own.
var layers = []struct {
	name    string
	own     bool
	members []string
}{
	{"programs", false, []string{"cmd/..."}},
	{"tools", false, []string{"internal/tool"}},
	{"wiring", false, []string{"internal/product"}},
	{"rehearsals", false, []string{"internal/rehearse"}},
	{"input and output", false, []string{"internal/sidecar", "internal/consul", "internal/admin", "internal/wire", "internal/standin/..."}},
	{"protocols", false, []string{"internal/http1", "internal/http3"}},
	{"exchange", false, []string{"internal/exchange"}},
	{"certificates", false, []string{"internal/certfile"}},
	{"store", false, []string{"internal/store"}},
	{"files", false, []string{"internal/atomicfile", "internal/secretfile"}},
	{"pages", false, []string{"internal/report"}},
	{"experiments", false, []string{"internal/experiment"}},
	{"fleet bench", false, []string{"internal/fleet"}},
	{"virtual time", false, []string{"internal/dryrun"}},
	{"mornings", false, []string{"internal/morning"}},
	{"modules without I/O", false, []string{"internal/apps", "internal/membership", "internal/reach", "internal/emulator", "internal/audit", "internal/recall", "internal/route"}},
	{"data", true, []string{"internal/appfile", "internal/schema", "internal/doc", "internal/finding", "internal/settings"}},
	{"decisions", false, []string{""}},
	{"structures", false, []string{"internal/odds", "internal/due", "internal/ring", "internal/arcs", "internal/throttle"}},
}

// pure are the packages that do no I/O, and what they may not import for it. The flow of time is an argument.
var (
	pure = []string{"", "internal/odds", "internal/due", "internal/ring", "internal/arcs", "internal/throttle", "internal/fleet", "internal/apps", "internal/membership", "internal/reach", "internal/recall", "internal/route", "internal/appfile", "internal/schema", "internal/doc", "internal/settings",
		"internal/emulator", "internal/audit", "internal/morning", "internal/dryrun", "internal/experiment", "internal/report"}
	forbidden = []string{"os", "net/http", "os/exec", "os/signal", "syscall", "log", "path/filepath"}
)

func layer(path string) int {
	for i, l := range layers {
		for _, m := range l.members {
			if prefix, ok := strings.CutSuffix(m, "/..."); path == m || ok && strings.HasPrefix(path, prefix+"/") {
				return i
			}
		}
	}
	return -1
}

func TestImportsGoOneWay(t *testing.T) {
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", "gingerlead/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
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
		own := func(path string) (string, bool) {
			if path == "gingerlead" {
				return "", true
			}
			return strings.CutPrefix(path, "gingerlead/")
		}
		from, _ := own(p.ImportPath)
		if strings.HasPrefix(from, "docs") || strings.HasPrefix(from, "journal") || strings.HasPrefix(from, "internal/archtest") {
			continue
		}
		seen++
		at := layer(from)
		if at < 0 {
			t.Errorf("%s is in no layer: add it here and to docs/architecture.md", from)
			continue
		}
		for _, i := range p.Imports {
			if slices.Contains(pure, from) && slices.Contains(forbidden, i) {
				t.Errorf("%s imports %s, and is to do no I/O", p.ImportPath, i)
			}
			to, ok := own(i)
			if !ok {
				continue
			}
			if below := layer(to); below < at || below == at && !layers[at].own {
				t.Errorf("%s (%s) imports %s (%s)", from, layers[at].name, to, layers[max(0, below)].name)
			}
		}
	}
	if seen < 10 {
		t.Errorf("only %d packages were looked at", seen)
	}
}
