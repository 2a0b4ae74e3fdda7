package scenario

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"quincegap/internal/config/finding"
	"quincegap/internal/golden"
)

// The settings of each script in the library, and its plans for three seeds, must not change.
func TestGoldenScripts(t *testing.T) {
	files, err := filepath.Glob("../../../rehearsals/*.morning")
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts of the library: got %v and error %v, want at least one script", files, err)
	}
	var dump bytes.Buffer
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var found finding.List
		scenario := Read(filepath.Base(file), text, &found)
		if scenario == nil {
			t.Fatal(found.Err())
		}
		exported := *scenario
		exported.events, exported.positions = nil, nil // the plans cover the events
		fmt.Fprintf(&dump, "== %s\n%s", filepath.Base(file), golden.Values(exported))
		settings, err := json.Marshal(scenario.Plan(0).Settings(0, 0, 2))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&dump, "settings %s\n", settings)
		for _, seed := range []uint64{0, 7, 99} {
			plan := scenario.Plan(seed)
			var words bytes.Buffer
			if err := plan.WriteText(&words); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&dump, "seed %d: plan %x, in words %x, rules %x\n", seed, sha256.Sum256(golden.Values(plan)),
				sha256.Sum256(words.Bytes()), sha256.Sum256(golden.Values(plan.AuditRules())))
		}
	}
	golden.Text(t, "scripts.txt", dump.Bytes())
}

// The faults that RandomFaults draws from a seed must not change.
func TestGoldenFaults(t *testing.T) {
	var dump bytes.Buffer
	for seed := range uint64(5) {
		for _, line := range RandomFaults(seed, 5, 2e9, 25e9) {
			fmt.Fprintf(&dump, "%d: %s\n", seed, line)
		}
	}
	golden.Text(t, "faults.txt", dump.Bytes())
}

// The texts and positions of findings must not change.
func TestGoldenFindings(t *testing.T) {
	var dump bytes.Buffer
	for _, script := range []string{
		"", "tier a\n", "tier a boxes 0\nclass c\n", "tier a boxes 2..3\nclass c aim 9s deadline 1s\n", "teir a\n",
		"tier a calls b\nclass c\n", "tier a boxes 2\ntier b boxes 2\nclass c\n", "tier a\nclass c\nlength 5s\nat 6s: box 1 dies\n",
		"tier a\nclass c\nat 1s: box 9 dies\n", "tier a\nclass c\nat 1s: 3 rude callerz for 1s\n", "tier a\nclass c\nat 1s: box 1 sings\n",
		"tier a\nclass c\nat 1s: sidecars 1..2 are cut off for 8s\n",
		"tier a\nclass c\nsidecars count 3 peers yes\nat 1s: sidecars 1..3 are cut off for 8s\n",
		"tier a\nclass c\nat 1s: box 1 dies\nat 2s: box 1 pauses for 1s\n", "tier a boxes 5 boxes 6\nclass c\n", "tier a cells\nclass c\n",
		"tier a\nclass c\nexpect service over 2\n", "tier a\nclass c\nexpect joy above 2\n", "tier a\nclass c\nat 1s: 2000 rude callers for 1s\n",
		"tier a\nclass c\nat 1s: load is 101 times for 1s\n", "tier a\nclass c\nat 1s: sidecar 7 gets SIGTERM\n",
		"tier a\nclass c effect keyed window 1s\n",
		"tier a\nclass c\nsidecars count 3 peers yes\nat 1s: messages are 120% lost for 2s\n", "tier a\nclass c\nat 1s: 3 new boxes of b\n",
		"tier a\nclass c\nat 1s: box 1 weighs 20000\n", "tier a\nclass c\nat 1s: 50% of boxes lose 120% of calls for 2s\n",
	} {
		var found finding.List
		Read("s", []byte(script), &found)
		fmt.Fprintf(&dump, "%q: %v\n", script, found.Err())
	}
	golden.Text(t, "findings.txt", dump.Bytes())
}
