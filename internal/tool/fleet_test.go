package tool

import (
	"bytes"
	"strings"
	"testing"

	"quincegap/internal/rehearsal/fleet"
)

// Runs with the same seed print identical output. Unknown days or restarts and numbers out of range are wrong usage, and the message has a hint.
func TestFleetCommand(t *testing.T) {
	run := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		code := Run(append([]string{"fleet"}, args...), &out, &errs)
		return code, out.String(), errs.String()
	}
	code, once, errs := run("drained", "--seed", "3")
	if code != ExitOK || strings.Count(once, "\n") != 2 || errs != "" {
		t.Fatalf("fleet drained: exit %d, want %d with two lines of output:\n%s%s", code, ExitOK, once, errs)
	}
	if _, again, _ := run("drained", "--seed", "3"); again != once {
		t.Errorf("two runs with the same seed print\n%sand\n%s", once, again)
	}
	if _, list, _ := run("--list"); strings.Count(list, "\n") != len(fleet.Days()) {
		t.Errorf("fleet --list: want %d lines, got\n%s", len(fleet.Days()), list)
	}
	code, out, _ := run("--subsets", "--endpoints", "60", "--instances", "5")
	if code != ExitOK || strings.Count(out, "\n") != 1+len(fleet.Churns)*len(fleet.SubsettingSchemes) {
		t.Errorf("fleet --subsets: exit %d, want %d with a line for each change and scheme:\n%s", code, ExitOK, out)
	}
	code, table, errs := run("--waves", "--rate", "20", "--seeds", "1")
	if code != ExitOK || strings.Count(table, "\n") != 1+len(waveSidecars) || !strings.Contains(table, "0.0 (0)") {
		t.Errorf("fleet --waves: exit %d, want %d with a line for each number of sidecars and no collapse:\n%s%s", code, ExitOK, table, errs)
	}
	for want, args := range map[string][]string{
		`did you mean "trials"?`:     {"trails"},
		"--endpoints has to be 1 to": {"--subsets", "--endpoints", "0"},
		"--subsets takes no days":    {"--subsets", "quiet"},
		"--waves cannot be combined": {"--waves", "quiet"},
		"--seeds has to be 1 to":     {"--waves", "--seeds", "0"},
		"--rate has to be 1 to":      {"--waves", "--rate", "NaN"},
		`did you mean "boxes"?`:      {"--waves", "--restart", "boxs"},
	} {
		if code, _, errs := run(args...); code != ExitUsage || !strings.Contains(errs, want) {
			t.Errorf("fleet %v: exit %d, message %q, want exit %d and message %q", args, code, errs, ExitUsage, want)
		}
	}
}
