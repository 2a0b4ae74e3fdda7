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

// A script is checked, its plan printed, and played in virtual time; a missed expectation ends with ExitFindings.
func TestRehearseVirtual(t *testing.T) {
	path := writeScript(t, shortScript)
	if out := must(t, "rehearse", path, "--check"); out != path+": can be played\n" {
		t.Errorf("%q", out)
	}
	plan := must(t, "rehearse", path, "--plan")
	if !strings.Contains(plan, "0.500 s  box ") || !strings.Contains(plan, "stands still until 0.700 s") {
		t.Error(plan)
	}
	first := must(t, "rehearse", path, "--virtual")
	if !strings.Contains(first, "KEPT") || !strings.Contains(first, "A short morning (seed 1, 2s)") {
		t.Error(first)
	}
	if second := must(t, "rehearse", path, "--virtual", "--seed", "2"); second == first {
		t.Error("two seeds, one result")
	}
	code, out, _ := run("rehearse", writeScript(t, shortScript+"expect service above 1\nexpect attempts above 3\n"), "--virtual")
	if code != ExitFindings || !strings.Contains(out, "MISSED") || !strings.Contains(out, "line 10: attempts is") {
		t.Error(code, out)
	}
	code, out, _ = run("rehearse", writeScript(t, shortScript+"at 1s: 4 boxes die\n"), "--virtual")
	if code != ExitFindings || !strings.Contains(out, "short.morning:9:8: 4 boxes of keeper are to be hit, and 3 are up") {
		t.Error(code, out)
	}
	if code, _, errs := run("rehearse", "no-such.morning"); code != ExitFindings || !strings.Contains(errs, "no-such.morning") {
		t.Error(code, errs)
	}
	if code, _, _ := run("rehearse"); code != ExitUsage {
		t.Error(code)
	}
	code, _, errs := run("rehearse", path, "--quiet", "--sidecar", filepath.Join(t.TempDir(), "none"))
	if code != ExitFindings || !strings.Contains(errs, "none") {
		t.Error(code, errs)
	}
}

// The real program is played twice and compared: one summary, and a folder with the page, the table, the configurations and the logs.
func TestRehearseOnSockets(t *testing.T) {
	program := filepath.Join(t.TempDir(), "quincegap")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", program, "quincegap/cmd/quincegap")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	dir := filepath.Join(t.TempDir(), "out")
	code, out, errs := run("rehearse", writeScript(t, shortScript), "--sidecar", program, "--compare", program, "--report", dir)
	if code == ExitVoid {
		t.Skip(out)
	}
	if code != ExitOK || strings.Count(out, "KEPT") != 2 || !strings.Contains(errs, "asked ") {
		t.Fatal(code, out, errs)
	}
	for _, name := range []string{"report.html", "build-1/n1.json", "build-1/n1.log", "build-2/n1.log"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	f, err := os.Open(filepath.Join(dir, "seconds.csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	if rows, err := csv.NewReader(f).ReadAll(); err != nil || len(rows) != 1+2*2 {
		t.Errorf("%d rows, %v", len(rows), err)
	}
}

// An experiment prints a table, and writes every run; the same design gives the same table.
func TestExperiment(t *testing.T) {
	path := writeScript(t, shortScript)
	dir := t.TempDir()
	first := must(t, "experiment", path, "--seeds", "3", "--load", "0.5,1", "--report", dir)
	if strings.Count(first, "short ") != 2 {
		t.Error(first)
	}
	f, err := os.Open(filepath.Join(dir, "experiment.csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) != 1+6 || len(rows[3]) != 13 || rows[6][1] != "1" || rows[6][2] != "3" {
		t.Errorf("%v, %v", rows, err)
	}
	if second := must(t, "experiment", path, "--seeds", "3", "--load", "0.5,1", "--report", dir, "--workers", "1"); second != first {
		t.Errorf("\n%s\n%s", first, second)
	}
	for _, load := range []string{"0", "x", "2..1", "1,,2", "-1"} {
		if code, _, errs := run("experiment", path, "--load="+load); code != ExitUsage || !strings.Contains(errs, "--load") {
			t.Errorf("--load=%s: %d %s", load, code, errs)
		}
	}
	if code, _, _ := run("experiment", path, "--seeds", "0"); code != ExitUsage {
		t.Error(code)
	}
	loads, err := parseLoads("0.5..2")
	if err != nil || len(loads) != loadSteps || loads[0] != 0.5 || loads[3] != 1 || loads[6] != 2 {
		t.Error(loads, err)
	}
}
