package tool

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/network/admin"
)

func TestMembers(t *testing.T) {
	dir := t.TempDir()
	address := "unix:" + filepath.Join(dir, "s")
	stop, err := admin.Serve(address, admin.Views{Members: func() (admin.Members, bool) {
		return admin.Members{Name: "front", Source: "overlay", Endpoints: []endpointsource.Row{
			{UID: "a", Address: "h:1", State: "ready", Weight: 2, Platform: "ready", Consul: "ready", Why: "the platform says so", AgoMS: 61500},
			{UID: "b", Address: "h:2", State: "draining", Platform: "ready", Consul: "draining", Why: `check "http" is critical`, AgoMS: 300},
		}}, true
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	out := must(t, "members", address)
	for _, want := range []string{
		"a         h:1      ready     2       1m1.5s  ready     ready",
		`check "http" is critical`,
		"front: 1 of 2 endpoints ready; the source is overlay",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing in\n%s", want, out)
		}
	}
	if out = must(t, "members", "--unused", address); strings.Contains(out, "h:1") || !strings.Contains(out, "h:2") {
		t.Error(out)
	}
	dump := filepath.Join(dir, "dump.json")
	if err := os.WriteFile(dump, []byte(must(t, "members", "--json", address)), 0o600); err != nil {
		t.Fatal(err)
	}
	if out = must(t, "members", dump); !strings.Contains(out, "1 of 2 endpoints ready") {
		t.Error(out)
	}
	for _, at := range []string{"unix:/nowhere", "nothing", "127.0.0.1:1"} {
		if code, _, errs := run("members", at); code != ExitFindings || !strings.Contains(errs, at) {
			t.Errorf("%s: exit %d, %s", at, code, errs)
		}
	}
}
