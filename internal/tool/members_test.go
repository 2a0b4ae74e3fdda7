package tool

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quincegap/internal/modules/endpointsource"
	"quincegap/internal/network/admin"
)

// The command members prints the endpoints of a running sidecar or of a dump, and fails for other sources.
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
	out := mustRun(t, "members", address)
	for _, want := range []string{
		"a         h:1      ready     2       1m1.5s  ready     ready",
		`check "http" is critical`,
		"front: 1 of 2 endpoints ready; the source is overlay",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("members: output lacks %q:\n%s", want, out)
		}
	}
	if out = mustRun(t, "members", "--unused", address); strings.Contains(out, "h:1") || !strings.Contains(out, "h:2") {
		t.Errorf("members --unused: want only the endpoint at h:2, got\n%s", out)
	}
	dump := filepath.Join(dir, "dump.json")
	if err := os.WriteFile(dump, []byte(mustRun(t, "members", "--json", address)), 0o600); err != nil {
		t.Fatal(err)
	}
	if out = mustRun(t, "members", dump); !strings.Contains(out, "1 of 2 endpoints ready") {
		t.Errorf("members of a dump: want 1 of 2 endpoints ready, got\n%s", out)
	}
	for _, source := range []string{"unix:/nowhere", "nothing", "127.0.0.1:1"} {
		if code, _, errs := run("members", source); code != ExitFindings || !strings.Contains(errs, source) {
			t.Errorf("members %s: exit %d, message %q, want exit %d and a message with the source", source, code, errs, ExitFindings)
		}
	}
}
