package tool

import (
	"encoding/csv"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const shortScript = `title "A short morning"
length 2s
tier keeper boxes 3 cells 2 cores 2 slots 20 queue 5 work 10ms
class ask effect keyed scope cell window 10s aim 500ms deadline 2s
sidecars count 1
callers rate 20/s patience 1
rules slack 250ms
at 500ms: 1 boxes pause for 200ms
`

// writeScript writes a script to a temporary file, and returns its path.
func writeScript(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "short.morning")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The command rehearse checks a script, prints its plan and plays it in virtual time. A missed expectation exits with ExitFindings.
func TestRehearseVirtual(t *testing.T) {
	path := writeScript(t, shortScript)
	if out := mustRun(t, "rehearse", path, "--check"); out != path+": can be played\n" {
		t.Errorf("rehearse --check: got %q, want that the script can be played", out)
	}
	plan := mustRun(t, "rehearse", path, "--plan")
	if !strings.Contains(plan, "0.500 s  box ") || !strings.Contains(plan, "stands still until 0.700 s") {
		t.Errorf("rehearse --plan: want the pause from 0.500 s to 0.700 s in\n%s", plan)
	}
	first := mustRun(t, "rehearse", path, "--virtual")
	if !strings.Contains(first, "KEPT") || !strings.Contains(first, "A short morning (seed 1, 2s)") {
		t.Errorf("rehearse --virtual: want the title, the seed and KEPT in\n%s", first)
	}
	if second := mustRun(t, "rehearse", path, "--virtual", "--seed", "2"); second == first {
		t.Error("rehearse --virtual prints the same result for two seeds")
	}
	code, out, _ := run("rehearse", writeScript(t, shortScript+"expect service above 1\nexpect attempts above 3\n"), "--virtual")
	if code != ExitFindings || !strings.Contains(out, "MISSED") || !strings.Contains(out, "line 10: attempts is") {
		t.Errorf("missed expectation: exit %d, want %d with the line of the expectation:\n%s", code, ExitFindings, out)
	}
	code, out, _ = run("rehearse", writeScript(t, shortScript+"at 1s: 4 boxes die\n"), "--virtual")
	if code != ExitFindings || !strings.Contains(out, "short.morning:9:8: 4 boxes of keeper are to be hit, and 3 are up") {
		t.Errorf("script that hits too many boxes: exit %d, want %d with a finding on line 9:\n%s", code, ExitFindings, out)
	}
	if code, _, errs := run("rehearse", "no-such.morning"); code != ExitFindings || !strings.Contains(errs, "no-such.morning") {
		t.Errorf("missing script: exit %d, message %q, want exit %d and the file's name", code, errs, ExitFindings)
	}
	if code, _, _ := run("rehearse"); code != ExitUsage {
		t.Errorf("rehearse without a script: exit %d, want %d", code, ExitUsage)
	}
	code, _, errs := run("rehearse", path, "--quiet", "--sidecar", filepath.Join(t.TempDir(), "none"))
	if code != ExitFindings || !strings.Contains(errs, "none") {
		t.Errorf("missing sidecar program: exit %d, message %q, want exit %d and the program's path", code, errs, ExitFindings)
	}
}

// The command rehearse plays a script with the real program and a second build, prints one summary, and writes a folder with the page, the
// table, the configurations and the logs.
func TestRehearseOnSockets(t *testing.T) {
	program := filepath.Join(t.TempDir(), "quincegap")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", program, "quincegap/cmd/quincegap")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build of the sidecar: %v: %s", err, out)
	}
	dir := filepath.Join(t.TempDir(), "out")
	code, out, errs := run("rehearse", writeScript(t, shortScript), "--sidecar", program, "--compare", program, "--report", dir)
	if code == ExitVoid {
		t.Skip(out)
	}
	if code != ExitOK || strings.Count(out, "KEPT") != 2 || !strings.Contains(errs, "asked ") {
		t.Fatalf("rehearse --compare: exit %d, want %d with two plays that are KEPT, and progress:\n%s%s", code, ExitOK, out, errs)
	}
	for _, name := range []string{"report.html", "build-1/n1.json", "build-1/n1.log", "build-2/n1.log"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("file %s of the report is missing or empty: %v", name, err)
		}
	}
	table, err := os.Open(filepath.Join(dir, "seconds.csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := table.Close(); err != nil {
			t.Error(err)
		}
	}()
	if rows, err := csv.NewReader(table).ReadAll(); err != nil || len(rows) != 1+2*2 {
		t.Errorf("seconds.csv: got %d rows and error %v, want a header and 2 rows for each of 2 plays", len(rows), err)
	}
}

// The command experiment prints a table, and writes a CSV file with a row for each run. The table does not depend on the number of workers.
func TestExperiment(t *testing.T) {
	path := writeScript(t, shortScript)
	dir := t.TempDir()
	first := mustRun(t, "experiment", path, "--seeds", "3", "--load", "0.5,1", "--report", dir)
	if strings.Count(first, "short ") != 2 {
		t.Errorf("experiment: want 2 lines of results in\n%s", first)
	}
	table, err := os.Open(filepath.Join(dir, "experiment.csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := table.Close(); err != nil {
			t.Error(err)
		}
	}()
	rows, err := csv.NewReader(table).ReadAll()
	if err != nil || len(rows) != 1+6 || len(rows[3]) != 13 || rows[6][1] != "1" || rows[6][2] != "3" {
		t.Errorf("experiment.csv: got %v and error %v, want a header and 6 rows of 13 cells, the last with load 1 and seed 3", rows, err)
	}
	if second := mustRun(t, "experiment", path, "--seeds", "3", "--load", "0.5,1", "--report", dir, "--workers", "1"); second != first {
		t.Errorf("experiment prints different tables with all workers and with one:\n%s\n%s", first, second)
	}
	for _, load := range []string{"0", "x", "2..1", "1,,2", "-1"} {
		if code, _, errs := run("experiment", path, "--load="+load); code != ExitUsage || !strings.Contains(errs, "--load") {
			t.Errorf("experiment --load=%s: exit %d, message %q, want exit %d and the flag's name", load, code, errs, ExitUsage)
		}
	}
	if code, _, _ := run("experiment", path, "--seeds", "0"); code != ExitUsage {
		t.Errorf("experiment --seeds 0: exit %d, want %d", code, ExitUsage)
	}
	loads, err := parseLoads("0.5..2")
	if err != nil || len(loads) != loadSteps || loads[0] != 0.5 || loads[3] != 1 || loads[6] != 2 {
		t.Errorf("parseLoads of 0.5..2: got %v and error %v, want %d loads with 1 in the middle", loads, err, loadSteps)
	}
}
