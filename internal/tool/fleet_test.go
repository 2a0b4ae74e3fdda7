package tool

import (
	"bytes"
	"strings"
	"testing"

	"quincegap/internal/rehearsal/fleet"
)

// The same seed prints the same. An unknown day or restart, and numbers out of range, are wrong usage, with a hint.
func TestFleetCommand(t *testing.T) {
	run := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		code := Run(append([]string{"fleet"}, args...), &out, &errs)
		return code, out.String(), errs.String()
	}
	code, once, errs := run("drained", "--seed", "3")
	if code != ExitOK || strings.Count(once, "\n") != 2 || errs != "" {
		t.Fatalf("code %d: %s%s", code, once, errs)
	}
	if _, again, _ := run("drained", "--seed", "3"); again != once {
		t.Errorf("the same seed prints\n%sand\n%s", once, again)
	}
	if _, list, _ := run("--list"); strings.Count(list, "\n") != len(fleet.Days()) {
		t.Errorf("the list is\n%s", list)
	}
	code, out, _ := run("--subsets", "--endpoints", "60", "--instances", "5")
	if code != ExitOK || strings.Count(out, "\n") != 1+len(fleet.Churns)*len(fleet.SubsettingSchemes) {
		t.Errorf("code %d:\n%s", code, out)
	}
	code, table, errs := run("--waves", "--rate", "20", "--seeds", "1")
	if code != ExitOK || strings.Count(table, "\n") != 1+len(waveSidecars) || !strings.Contains(table, "0.0 (0)") {
		t.Errorf("code %d:\n%s%s", code, table, errs)
	}
	for want, args := range map[string][]string{
		`did you mean "trials"?`: {"trails"},
		"--endpoints are 1 to":   {"--subsets", "--endpoints", "0"},
		"--subsets plays no day": {"--subsets", "quiet"},
		"--waves goes with no":   {"--waves", "quiet"},
		"--seeds are 1 to":       {"--waves", "--seeds", "0"},
		"--rate is 1 to":         {"--waves", "--rate", "NaN"},
		`did you mean "boxes"?`:  {"--waves", "--restart", "boxs"},
	} {
		if code, _, errs := run(args...); code != ExitUsage || !strings.Contains(errs, want) {
			t.Errorf("%v: code %d, %q, wanted %q", args, code, errs, want)
		}
	}
}
