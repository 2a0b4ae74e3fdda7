package apps

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// base is an apps.toml with one application.
const base = `# ours
[apps.a.sidecar]
listen = "127.0.0.1:8080"
instances = 3

[apps.a.discovery]
address = "127.0.0.1:8500"

[apps.a.limits]
cores = 1.0 # one
memory = "192MiB"
sockets = 1024

[apps.a.class.c]
aim = "1s"
deadline = "3s"
effect = "safe"
`

// model reads an apps.toml without findings.
func model(t interface{ Fatal(...any) }, text string) *Model {
	var found finding.List
	m := Read(testSchema, "apps.toml", []byte(text), &found)
	if found.Len() > 0 {
		t.Fatal(found.Err(), text)
	}
	return m
}

// compare compares a file with the first application of an apps.toml. There must be no findings.
func compare(t interface{ Fatal(...any) }, apps, file string) *FileState {
	var found finding.List
	state := Compare(testSchema, model(t, apps).Apps[0], "apps.toml", "a.toml", []byte(file), &found)
	if found.Len() > 0 {
		t.Fatal(found.Err(), file)
	}
	return state
}

// generate returns the derived file of the first application of an apps.toml.
func generate(t interface{ Fatal(...any) }, apps string) string {
	return string(Generate(model(t, apps).Apps[0], "apps.toml"))
}

// Generating is deterministic, and the generated file is read as unedited.
func TestGenerateIsTheSameEveryTime(t *testing.T) {
	file := generate(t, base)
	if file != generate(t, base) {
		t.Error("the same apps.toml gave two different files")
	}
	p := ParseProvenance([]byte(file))
	if p == nil || p.App != "a" || p.Source != "apps.toml" || p.Edited || p.Truncated || len(p.KeyDigests) != 10 {
		t.Errorf("provenance of a generated file: got %+v, want that of an unedited file of a from apps.toml with 10 keys", p)
	}
	if state := compare(t, base, file); state.Edited() || len(state.Edits) > 0 {
		t.Errorf("generated file: got edits %+v, edited %v, want none", state.Edits, state.Edited())
	}
}

// mergeCase is an edit of a derived file combined with a change of apps.toml.
type mergeCase struct {
	name               string
	fileEdit, appsEdit [2]string // the text that is replaced in the derived file and in apps.toml, and its replacement
	conflict           bool
	want               []string // texts that the merged file contains
}

var mergeCases = []mergeCase{
	{
		name:     "above",
		fileEdit: [2]string{"cores = 1.0", "cores = 2"},
		appsEdit: [2]string{`"192MiB"`, `"256MiB"`},
		want:     []string{"cores = 2\n", `memory = "256MiB"`},
	},
	{
		name:     "below",
		fileEdit: [2]string{"sockets = 1024", "sockets = 512"},
		appsEdit: [2]string{`"192MiB"`, `"256MiB"`},
		want:     []string{"sockets = 512\n", `memory = "256MiB"`},
	},
	{
		name:     "on it",
		fileEdit: [2]string{`"192MiB"`, `"128MiB"`},
		appsEdit: [2]string{`"192MiB"`, `"256MiB"`},
		conflict: true,
	},
	{
		name:     "on it, the same",
		fileEdit: [2]string{`"192MiB"`, `"256MiB"`},
		appsEdit: [2]string{`"192MiB"`, `"256MiB"`},
		want:     []string{`memory = "256MiB"`},
	},
	{
		name:     "on it, the same otherwise written",
		fileEdit: [2]string{`"1s"`, `"2000ms"`},
		appsEdit: [2]string{`"1s"`, `"2s"`},
		want:     []string{`aim = "2000ms"`},
	},
	{
		name:     "a comment on it",
		fileEdit: [2]string{`memory = "192MiB"`, "# why\nmemory = \"192MiB\" # so"},
		appsEdit: [2]string{`"192MiB"`, `"256MiB"`},
		want:     []string{"# why\nmemory = \"256MiB\" # so"},
	},
	{
		name:     "taken away here, changed there",
		fileEdit: [2]string{"sockets = 1024\n", ""},
		appsEdit: [2]string{"sockets = 1024", "sockets = 99"},
		conflict: true,
	},
	{
		name:     "changed here, taken away there",
		fileEdit: [2]string{"sockets = 1024", "sockets = 512"},
		appsEdit: [2]string{"sockets = 1024\n", ""},
		conflict: true,
	},
	{
		name:     "taken away here",
		fileEdit: [2]string{"sockets = 1024\n", ""},
		appsEdit: [2]string{`"192MiB"`, `"256MiB"`},
		want:     []string{`memory = "256MiB"`},
	},
	{
		name:     "taken away there",
		fileEdit: [2]string{"cores = 1.0", "cores = 2"},
		appsEdit: [2]string{"sockets = 1024\n", ""},
		want:     []string{"cores = 2"},
	},
	{
		name:     "taken away on both",
		fileEdit: [2]string{"sockets = 1024\n", ""},
		appsEdit: [2]string{"sockets = 1024\n", ""},
	},
	{
		name:     "added on both, the same",
		fileEdit: [2]string{"[discovery]", "[discovery]\nmode = \"ask\""},
		appsEdit: [2]string{"[apps.a.discovery]", "[apps.a.discovery]\nmode = \"ask\""},
		want:     []string{"mode = \"ask\""},
	},
	{
		name:     "added on both, otherwise",
		fileEdit: [2]string{"[discovery]", "[discovery]\nmode = \"ask\""},
		appsEdit: [2]string{"[apps.a.discovery]", "[apps.a.discovery]\nmode = \"push\""},
		conflict: true,
	},
	{
		name:     "a table here",
		fileEdit: [2]string{"[discovery]", "[tenant.x]\nquota_per_s = 5\n[discovery]"},
		appsEdit: [2]string{`"192MiB"`, `"256MiB"`},
		want:     []string{"[tenant.x]\nquota_per_s = 5\n", `memory = "256MiB"`},
	},
	{
		name:     "a table there",
		fileEdit: [2]string{"cores = 1.0", "cores = 2"},
		appsEdit: [2]string{"[apps.a.discovery]", "[apps.a.tenant.x]\nquota_per_s = 5\n[apps.a.discovery]"},
		want:     []string{"[tenant.x]\n", "quota_per_s = 5\n", "cores = 2"},
	},
	{
		name:     "a table gone there",
		fileEdit: [2]string{"cores = 1.0", "cores = 2"},
		appsEdit: [2]string{"instances = 3\n", ""},
		want:     []string{"cores = 2"},
	},
}

// An edit is merged with a change of apps.toml above, below or beside it. Changes of the same key conflict unless both values are equal.
func TestMerge(t *testing.T) {
	for _, test := range mergeCases {
		t.Run(test.name, func(t *testing.T) {
			checkMerge(t, test, "\n")
			checkMerge(t, test, "\r\n")
		})
	}
}

// checkMerge checks a merge of files with the given line ends.
func checkMerge(t *testing.T, test mergeCase, newline string) {
	t.Helper()
	written := generate(t, base)
	edited := strings.Replace(written, test.fileEdit[0], test.fileEdit[1], 1)
	apps := strings.Replace(base, test.appsEdit[0], test.appsEdit[1], 1)
	if edited == written || apps == base {
		t.Fatal("the test case does not change both the derived file and apps.toml")
	}
	state := compare(t, apps, strings.ReplaceAll(edited, "\n", newline))
	if !state.Edited() || (len(state.Conflicts()) > 0) != test.conflict {
		t.Fatalf("edited %v, edits %v; want an edited file, conflict %v", state.Edited(), state.Edits, test.conflict)
	}
	if test.conflict {
		return
	}
	merged := string(state.Merge())
	if newline == "\r\n" && strings.Count(merged, "\n") != strings.Count(merged, "\r\n") {
		t.Error("the merged file mixes line ends")
	}
	plain := strings.ReplaceAll(merged, "\r", "")
	for _, want := range test.want {
		if !strings.Contains(plain, want) {
			t.Errorf("%q is missing in the merged file\n%s", want, plain)
		}
	}
	// Merging again changes nothing, and the edits are still recognized.
	again := compare(t, apps, merged)
	if got := string(again.Merge()); got != merged {
		t.Errorf("merging again changed the file to\n%s", got)
	}
	for _, edit := range state.Edits {
		if !slices.ContainsFunc(again.Edits, func(other Edit) bool { return other.ID() == edit.ID() }) {
			t.Errorf("the merged file no longer has the edit of %s", edit.ID())
		}
	}
}

// Compare adds a finding for a file that must not be overwritten or cannot be read.
func TestCompareReportsFilesItMustNotOverwrite(t *testing.T) {
	file := generate(t, base)
	for name, test := range map[string][2]string{
		"no header":   {"[sidecar]\n", "was not written by quincegapctl"},
		"another app": {strings.Replace(file, " for a from", " for b from", 1), "was written for b, not for a"},
		"truncated":   {file[:len(file)/2], "its end is missing"},
		"unreadable":  {strings.Replace(file, "cores = 1.0", "cores = 1.0x", 1), "cannot be read"},
		"invalid":     {strings.Replace(file, "cores = 1.0", "cores = -1.0", 1), "is below"},
	} {
		var found finding.List
		Compare(testSchema, model(t, base).Apps[0], "apps.toml", "a.toml", []byte(test[0]), &found)
		if found.Len() != 1 || !strings.Contains(found.All()[0].Message, test[1]) {
			t.Errorf("file with fault %q: got findings %v, want one that contains %q", name, found.Err(), test[1])
		}
	}
}

// A generated file that is truncated at any byte is recognized as edited or truncated.
func TestTruncationIsDetected(t *testing.T) {
	file := generate(t, base)
	for n := range len(file) {
		if p := ParseProvenance([]byte(file[:n])); p != nil && !p.Edited && !p.Truncated {
			t.Fatalf("file truncated to %d bytes: recognized as unedited and complete", n)
		}
	}
}

// Adopting an edit changes only the lines of apps.toml that it has to, and the derived file then has no edits.
func TestAdopt(t *testing.T) {
	withDefaults := "[defaults.attempts]\nmost_attempts = 3 # all\n\n" + base
	for _, test := range []struct {
		name, apps string
		fileEdit   [2]string // the text that is replaced in the derived file, and its replacement
		want       string    // the lines of apps.toml that are removed and added, or the finding
		fault      bool
	}{
		{"set", base, [2]string{"cores = 1.0", "cores = 2"}, "-cores = 1.0 # one +cores = 2 # one", false},
		{"add", base, [2]string{"[discovery]", "[discovery]\nmode = \"ask\""}, `+mode = "ask"`, false},
		{"a table", base, [2]string{"[discovery]", "[tenant.x]\nquota_per_s = 5\n[discovery]"}, "+[apps.a.tenant.x] +quota_per_s = 5 +", false},
		{"take away", base, [2]string{"sockets = 1024\n", ""}, "-sockets = 1024", false},
		{"set a default", withDefaults, [2]string{"most_attempts = 3", "most_attempts = 2"}, "+[apps.a.attempts] +most_attempts = 2 +", false},
		{"take a default away", withDefaults, [2]string{"most_attempts = 3\n", ""}, "comes from [defaults] in line 2", true},
		{"rename", base, [2]string{`application = "a"`, `application = "b"`}, "cannot be adopted", true},
	} {
		edited := strings.Replace(generate(t, test.apps), test.fileEdit[0], test.fileEdit[1], 1)
		state := compare(t, test.apps, edited)
		var found finding.List
		after := string(model(t, test.apps).Adopt([]*FileState{state}, &found))
		if test.fault {
			if found.Len() != 1 || !strings.Contains(found.All()[0].Message, test.want) {
				t.Errorf("%s: got findings %v, want one that contains %q", test.name, found.Err(), test.want)
			}
			continue
		}
		if got := lines(test.apps, after); got != test.want || found.Len() > 0 {
			t.Errorf("%s: changed lines: got %q, want %q; findings %v", test.name, got, test.want, found.Err())
		}
		// apps.toml now has the values of the file: no edit is left.
		if state := compare(t, after, edited); len(state.Edits) > 0 {
			t.Errorf("%s: edits remain after adoption: %v", test.name, state.Edits)
		}
	}
}

// lines lists the lines that were removed, then those that were added.
func lines(before, after string) string {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	var out []string
	for _, l := range a {
		if !slices.Contains(b, l) {
			out = append(out, "-"+l)
		}
	}
	count := map[string]int{}
	for _, l := range a {
		count[l]++
	}
	for _, l := range b {
		if count[l]--; count[l] < 0 {
			out = append(out, "+"+l)
		}
	}
	return strings.Join(out, " ")
}

// mergedKeys are the keys that random edits change.
var mergedKeys = [][]string{
	{"sidecar", "instances"},
	{"limits", "sockets"},
	{"attempts", "most_attempts"},
	{"tenant", "x", "quota_per_s"},
	{"tenant", "y", "quota_per_s"},
}

// drawChanges returns a copy of a map in which each key is randomly left alone, set or deleted.
func drawChanges(rt *rapid.T, name string, from map[string]string) map[string]string {
	to := maps.Clone(from)
	for _, key := range mergedKeys {
		switch rapid.SampledFrom([]string{"keep", "keep", "set", "drop"}).Draw(rt, name) {
		case "set":
			to[doc.DottedPath(key)] = fmt.Sprint(rapid.IntRange(64, 66).Draw(rt, "value"))
		case "drop":
			delete(to, doc.DottedPath(key))
		}
	}
	return to
}

// applyChanges changes a text that has the values of the map from, so that it has those of the map to.
func applyChanges(text string, prefix []string, from, to map[string]string) string {
	for _, key := range mergedKeys {
		id := doc.DottedPath(key)
		if from[id] == to[id] {
			continue
		}
		d := parseTOML([]byte(text))
		path := append(slices.Clone(prefix), key...)
		if to[id] == "" {
			text = string(d.Delete(path, help(key)))
		} else {
			text = string(d.Set(path, to[id]))
		}
	}
	return text
}

// mergeMaps returns the values that a merged file should have, and the keys that conflict.
func mergeMaps(initial, inFile, inApps map[string]string) (want map[string]string, conflicts map[string]bool) {
	want = maps.Clone(inApps)
	conflicts = map[string]bool{}
	for _, key := range mergedKeys {
		id := doc.DottedPath(key)
		switch {
		case inFile[id] == initial[id] || inFile[id] == inApps[id]:
		case inApps[id] == initial[id]:
			want[id] = inFile[id]
		default:
			conflicts[id] = true
		}
	}
	return want, conflicts
}

// Random edits of the derived file and of apps.toml are compared with a merge of maps: each key comes from the side that has changed it,
// and conflicts only if both sides have changed it to different values. Comments are retained, and no edits remain after adoption.
func TestRandomMergesMatchMaps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := strings.Replace(strings.Replace(base, "instances = 3\n", "", 1), "sockets = 1024\n", "", 1)
		initial := drawChanges(rt, "base", map[string]string{})
		appsText := applyChanges(start, []string{"apps", "a"}, nil, initial)
		inFile := drawChanges(rt, "here", initial)
		inApps := drawChanges(rt, "there", initial)
		edited := applyChanges(generate(rt, appsText), nil, initial, inFile)
		edited = strings.Replace(edited, "[limits]", "# by hand\n[limits]", 1)
		nowText := applyChanges(appsText, []string{"apps", "a"}, initial, inApps)

		state := compare(rt, nowText, edited)
		want, conflicts := mergeMaps(initial, inFile, inApps)
		got := map[string]bool{}
		for _, e := range state.Conflicts() {
			got[e.ID()] = true
		}
		if !maps.Equal(got, conflicts) {
			rt.Fatalf("conflicts: got %v, want %v\nbase %v, derived file %v, apps.toml %v", got, conflicts, initial, inFile, inApps)
		}
		if len(conflicts) > 0 {
			return
		}
		merged := string(state.Merge())
		checkMerged(rt, nowText, merged, want)
		checkAdopted(rt, nowText, merged, state)
	})
}

// checkMerged checks that a merged file has the wanted values and the comments.
func checkMerged(rt *rapid.T, appsText, merged string, want map[string]string) {
	state := compare(rt, appsText, merged)
	for _, key := range mergedKeys {
		value := ""
		if s := state.File.Setting(key...); s != nil {
			value = s.Canonical
		}
		if id := doc.DottedPath(key); value != want[id] {
			rt.Fatalf("%s in the merged file: got %q, want %q\n%s", id, value, want[id], merged)
		}
	}
	if strings.Count(merged, "# by hand") != 1 {
		rt.Fatalf("the merged file does not have the manual comment exactly once:\n%s", merged)
	}
}

// checkAdopted checks that adopting the edits keeps the comments, and that the merged file then has no edits.
func checkAdopted(rt *rapid.T, appsText, merged string, state *FileState) {
	var found finding.List
	after := string(model(rt, appsText).Adopt([]*FileState{state}, &found))
	if found.Len() > 0 || strings.Count(after, "# ours") != 1 || strings.Count(after, "# one") != 1 {
		rt.Fatalf("adopting the edits: findings %v, want none and both comments in\n%s", found.Err(), after)
	}
	if left := compare(rt, after, merged); len(left.Edits) > 0 {
		rt.Fatalf("edits remain after adoption: %v", left.Edits)
	}
}

// help returns the comment above a key in a generated file.
func help(path []string) string {
	for _, k := range testSchema.Table(path[0]).Keys {
		if k.Name == path[len(path)-1] {
			return k.Help
		}
	}
	return ""
}

// Comparing and merging terminate for any content of a file, including its header and trailer.
func FuzzParseWritten(f *testing.F) {
	var found finding.List
	m := Read(testSchema, "apps.toml", []byte(base), &found)
	f.Add(Generate(m.Apps[0], "apps.toml"))
	f.Add([]byte(headerBy + "a" + headerFrom + "b.\n\n\n" + trailer + "\n#: x y\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var found finding.List
		state := Compare(testSchema, m.Apps[0], "apps.toml", "a.toml", text, &found)
		if found.Len() == 0 && state.File != nil && len(state.Conflicts()) == 0 {
			state.Merge()
		}
	})
}
