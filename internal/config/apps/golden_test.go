package apps

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"quincegap/internal/config/finding"
	"quincegap/internal/golden"
)

// A derived file with its header, digests, help and trailer, which other versions must be able to read.
func TestGoldenDerivedFile(t *testing.T) {
	golden.Text(t, "derived.toml", []byte(generate(t, base)))

	text, err := os.ReadFile(filepath.Join("testdata", "golden", "derived.toml"))
	if err != nil {
		t.Fatal(err)
	}
	p := ParseProvenance(text)
	if p == nil || p.App != "a" || p.Source != "apps.toml" || p.Edited || p.Truncated {
		t.Fatalf("provenance of derived.toml: got %+v, want that of an unedited file of a from apps.toml", p)
	}
	wantKeys := []string{
		"sidecar.application", "sidecar.listen", "sidecar.instances", "discovery.address", "limits.cores", "limits.memory", "limits.sockets",
		"class.c.aim", "class.c.deadline", "class.c.effect",
	}
	if !slices.Equal(p.Keys, wantKeys) {
		t.Errorf("keys of derived.toml: got %v, want %v", p.Keys, wantKeys)
	}
	if state := compare(t, base, string(text)); state.Edited() || len(state.Edits) > 0 {
		t.Errorf("unedited file: got edits %v, edited %v, want none", state.Edits, state.Edited())
	}
}

// The descriptions of manual edits and the results of merging and adopting them, in files with LF and with CR LF.
func TestGoldenEdits(t *testing.T) {
	now := strings.NewReplacer(`"192MiB"`, `"256MiB"`, "instances = 3\n", "", "cores = 1.0 # one", "cores = 4").Replace(base)
	hand := strings.NewReplacer("sockets = 1024\n", "", `aim = "1s"`, "# why\naim = \"1500ms\" # so",
		"[discovery]", "[tenant.\"x y\"]\nquota_per_s = 5\n\n[discovery]").Replace(generate(t, base))
	conflicting := strings.NewReplacer("cores = 1.0", "cores = 3", "memory = \"192MiB\"\n", "").Replace(hand)

	var all strings.Builder
	for _, text := range []string{hand, strings.ReplaceAll(hand, "\n", "\r\n"), conflicting} {
		state := compareLoosely(t, now, text)
		for _, e := range state.Edits {
			fmt.Fprintln(&all, e)
		}
		if len(state.Conflicts()) == 0 {
			fmt.Fprintf(&all, "-- merged --\n%s", strings.ReplaceAll(string(state.Merge()), "\r", "<CR>"))
		}
		var found finding.List
		adopted := model(t, now).Adopt([]*FileState{state}, &found)
		fmt.Fprintf(&all, "-- adopted: %v --\n%s", found.Err(), adopted)
	}
	golden.Text(t, "edits.txt", []byte(all.String()))
}

// compareLoosely is like compare, but ignores findings.
func compareLoosely(t *testing.T, apps, file string) *FileState {
	t.Helper()
	var found finding.List
	return Compare(testSchema, model(t, apps).Apps[0], "apps.toml", "a.toml", []byte(file), &found)
}

// The findings about files that must not be overwritten.
func TestGoldenFilesNotOverwritten(t *testing.T) {
	written := generate(t, base)
	var found finding.List
	for _, text := range []string{
		"[sidecar]\n",
		strings.Replace(written, headerBy+"a", headerBy+"b", 1),
		written[:len(written)/2],
		strings.Replace(written, "cores = 1.0", "cores = 1.0.0", 1),
	} {
		Compare(testSchema, model(t, base).Apps[0], "apps.toml", "a.toml", []byte(text), &found)
	}
	lost := compareLoosely(t, base, strings.Replace(written, "sockets = 1024\n", "", 1))
	CheckLostKeys(lost.Provenance, lost.File, "a.toml", &found)
	golden.Text(t, "in-the-way.txt", []byte(found.Err().Error()+"\n"))
}

// randomInstallation returns an apps.toml with calls, cycles, attempts, hosts and addresses that depend on a seed. Each application alone
// is valid.
func randomInstallation(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 50))
	size := 2 + random.IntN(7)
	var all []app
	for i := range size {
		drawn := app{name: fmt.Sprintf("n%d", i), attempts: 1 + random.IntN(3)}
		for j := range size {
			if random.IntN(size) > 1 {
				continue
			}
			c := call{to: fmt.Sprintf("n%d", j), perRequest: 1 + random.IntN(2)}
			if j <= i || random.IntN(4) == 0 {
				c.mutualDepth = random.IntN(3)
			}
			if random.IntN(20) == 0 {
				c.to = fmt.Sprintf("m%d", j)
			}
			drawn.calls = append(drawn.calls, c)
		}
		all = append(all, drawn)
	}
	file := installationText(4+random.IntN(30), 2+random.IntN(5), all...)
	for i := range size {
		listen := fmt.Sprintf("[apps.n%d.sidecar]\nlisten = \"127.0.0.1:%d\"\n", i, 10000+i)
		now := fmt.Sprintf("[apps.n%d.sidecar]\nlisten = \"%s:%d\"\nhost = \"h%d\"\n",
			i, []string{"", "127.0.0.1", "10.0.0.1"}[random.IntN(3)], 10000+random.IntN(2*size), random.IntN(4))
		file = strings.Replace(file, listen, now, 1)
	}
	for h := range 3 {
		file += fmt.Sprintf("[hosts.h%d]\nhost_cores = %d\nhost_memory = \"%dMiB\"\nhost_sockets = %d\n",
			h, 1+random.IntN(4), 200+random.IntN(600), 1000+random.IntN(3000))
	}
	return file
}

// The findings across applications in order: their text for the first installations, and one digest for all others.
func TestGoldenFindingsAcrossApplications(t *testing.T) {
	const inFull, installations = 12, 600
	var all strings.Builder
	rest := sha256.New()
	for seed := range uint64(installations) {
		lines := messages(findingsAcross(t, randomInstallation(seed)))
		if seed < inFull {
			fmt.Fprintf(&all, "-- %d --\n%s\n", seed, lines)
			continue
		}
		rest.Write(fmt.Appendf(nil, "-- %d --\n%s\n", seed, lines)) // never fails
	}
	fmt.Fprintf(&all, "-- the others --\n%x\n", rest.Sum(nil))
	golden.Text(t, "across.txt", []byte(all.String()))
}
