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

// compare compares a file with an apps.toml.
func compare(t interface{ Fatal(...any) }, apps, file string) *FileState {
	var found finding.List
	state := Compare(testSchema, model(t, apps).Apps[0], "apps.toml", "a.toml", []byte(file), &found)
	if found.Len() > 0 {
		t.Fatal(found.Err(), file)
	}
	return state
}

// generate returns the derived file of the first application.
func generate(t interface{ Fatal(...any) }, apps string) string {
	return string(Generate(model(t, apps).Apps[0], "apps.toml"))
}

// Generating is deterministic, and the generated file is read as unedited.
func TestGenerateIsTheSameEveryTime(t *testing.T) {
	file := generate(t, base)
	if file != generate(t, base) {
		t.Error("two texts of one model")
	}
	p := ParseProvenance([]byte(file))
	if p == nil || p.App != "a" || p.Source != "apps.toml" || p.Edited || p.Truncated || len(p.KeyDigests) != 10 {
		t.Errorf("got %+v", p)
	}
	if state := compare(t, base, file); state.Edited() || len(state.Edits) > 0 {
		t.Errorf("got %+v", state.Edits)
	}
}

// mergeCase is an edit of a derived file beside a change of apps.toml.
type mergeCase struct {
	name       string
	here, apps [2]string // what is replaced, and by what
	conflict   bool
	want       []string // in the merged file
}

var mergeCases = []mergeCase{
	{
		name: "above",
		here: [2]string{"cores = 1.0", "cores = 2"},
		apps: [2]string{`"192MiB"`, `"256MiB"`},
		want: []string{"cores = 2\n", `memory = "256MiB"`},
	},
	{
		name: "below",
		here: [2]string{"sockets = 1024", "sockets = 512"},
		apps: [2]string{`"192MiB"`, `"256MiB"`},
		want: []string{"sockets = 512\n", `memory = "256MiB"`},
	},
	{
		name:     "on it",
		here:     [2]string{`"192MiB"`, `"128MiB"`},
		apps:     [2]string{`"192MiB"`, `"256MiB"`},
		conflict: true,
	},
	{
		name: "on it, the same",
		here: [2]string{`"192MiB"`, `"256MiB"`},
		apps: [2]string{`"192MiB"`, `"256MiB"`},
		want: []string{`memory = "256MiB"`},
	},
	{
		name: "on it, the same otherwise written",
		here: [2]string{`"1s"`, `"2000ms"`},
		apps: [2]string{`"1s"`, `"2s"`},
		want: []string{`aim = "2000ms"`},
	},
	{
		name: "a comment on it",
		here: [2]string{`memory = "192MiB"`, "# why\nmemory = \"192MiB\" # so"},
		apps: [2]string{`"192MiB"`, `"256MiB"`},
		want: []string{"# why\nmemory = \"256MiB\" # so"},
	},
	{
		name:     "taken away here, changed there",
		here:     [2]string{"sockets = 1024\n", ""},
		apps:     [2]string{"sockets = 1024", "sockets = 99"},
		conflict: true,
	},
	{
		name:     "changed here, taken away there",
		here:     [2]string{"sockets = 1024", "sockets = 512"},
		apps:     [2]string{"sockets = 1024\n", ""},
		conflict: true,
	},
	{
		name: "taken away here",
		here: [2]string{"sockets = 1024\n", ""},
		apps: [2]string{`"192MiB"`, `"256MiB"`},
		want: []string{`memory = "256MiB"`},
	},
	{
		name: "taken away there",
		here: [2]string{"cores = 1.0", "cores = 2"},
		apps: [2]string{"sockets = 1024\n", ""},
		want: []string{"cores = 2"},
	},
	{
		name: "taken away on both",
		here: [2]string{"sockets = 1024\n", ""},
		apps: [2]string{"sockets = 1024\n", ""},
	},
	{
		name: "added on both, the same",
		here: [2]string{"[discovery]", "[discovery]\nmode = \"ask\""},
		apps: [2]string{"[apps.a.discovery]", "[apps.a.discovery]\nmode = \"ask\""},
		want: []string{"mode = \"ask\""},
	},
	{
		name:     "added on both, otherwise",
		here:     [2]string{"[discovery]", "[discovery]\nmode = \"ask\""},
		apps:     [2]string{"[apps.a.discovery]", "[apps.a.discovery]\nmode = \"push\""},
		conflict: true,
	},
	{
		name: "a table here",
		here: [2]string{"[discovery]", "[tenant.x]\nquota_per_s = 5\n[discovery]"},
		apps: [2]string{`"192MiB"`, `"256MiB"`},
		want: []string{"[tenant.x]\nquota_per_s = 5\n", `memory = "256MiB"`},
	},
	{
		name: "a table there",
		here: [2]string{"cores = 1.0", "cores = 2"},
		apps: [2]string{"[apps.a.discovery]", "[apps.a.tenant.x]\nquota_per_s = 5\n[apps.a.discovery]"},
		want: []string{"[tenant.x]\n", "quota_per_s = 5\n", "cores = 2"},
	},
	{
		name: "a table gone there",
		here: [2]string{"cores = 1.0", "cores = 2"},
		apps: [2]string{"instances = 3\n", ""},
		want: []string{"cores = 2"},
	},
}

// An edit on a line above, below or beside one that write changes is merged. On the same key it conflicts unless both values are the same.
func TestMerge(t *testing.T) {
	for _, c := range mergeCases {
		t.Run(c.name, func(t *testing.T) {
			checkMerge(t, c, "\n")
			checkMerge(t, c, "\r\n")
		})
	}
}

// checkMerge checks a case in files with the given line ends.
func checkMerge(t *testing.T, tc mergeCase, newline string) {
	t.Helper()
	written := generate(t, base)
	edited := strings.Replace(written, tc.here[0], tc.here[1], 1)
	apps := strings.Replace(base, tc.apps[0], tc.apps[1], 1)
	if edited == written || apps == base {
		t.Fatal("replaces nothing")
	}
	state := compare(t, apps, strings.ReplaceAll(edited, "\n", newline))
	if !state.Edited() || (len(state.Conflicts()) > 0) != tc.conflict {
		t.Fatalf("edits %v", state.Edits)
	}
	if tc.conflict {
		return
	}
	merged := string(state.Merge())
	if newline == "\r\n" && strings.Count(merged, "\n") != strings.Count(merged, "\r\n") {
		t.Error("line ends are mixed")
	}
	plain := strings.ReplaceAll(merged, "\r", "")
	for _, want := range tc.want {
		if !strings.Contains(plain, want) {
			t.Errorf("%q is missing in\n%s", want, plain)
		}
	}
	// Merging again changes nothing, and the edits are still recognized.
	again := compare(t, apps, merged)
	if got := string(again.Merge()); got != merged {
		t.Errorf("no fixed point:\n%s", got)
	}
	for _, edit := range state.Edits {
		if !slices.ContainsFunc(again.Edits, func(other Edit) bool { return other.ID() == edit.ID() }) {
			t.Errorf("the edit of %s is lost", edit.ID())
		}
	}
}

// Files that must not be overwritten, or cannot be read, have a finding.
func TestFilesThatAreNotOurs(t *testing.T) {
	file := generate(t, base)
	for name, c := range map[string][2]string{
		"no header":   {"[sidecar]\n", "was not written by quincegapctl"},
		"another app": {strings.Replace(file, " for a from", " for b from", 1), "was written for b, not for a"},
		"truncated":   {file[:len(file)/2], "its end is missing"},
		"unreadable":  {strings.Replace(file, "cores = 1.0", "cores = 1.0x", 1), "cannot be read"},
		"invalid":     {strings.Replace(file, "cores = 1.0", "cores = -1.0", 1), "is below"},
	} {
		var found finding.List
		Compare(testSchema, model(t, base).Apps[0], "apps.toml", "a.toml", []byte(c[0]), &found)
		if found.Len() != 1 || !strings.Contains(found.All()[0].Message, c[1]) {
			t.Errorf("%s: %v", name, found.Err())
		}
	}
}

// A written file that is truncated at any byte is recognized.
func TestEveryCutIsSeen(t *testing.T) {
	file := generate(t, base)
	for n := range len(file) {
		if p := ParseProvenance([]byte(file[:n])); p != nil && !p.Edited && !p.Truncated {
			t.Fatalf("truncated at %d: read as unedited", n)
		}
	}
}

// Adopting an edit changes just the lines of apps.toml that it has to, and leaves no edit.
func TestAdopt(t *testing.T) {
	withDefaults := "[defaults.attempts]\nmost_attempts = 3 # all\n\n" + base
	for _, tc := range []struct {
		name, apps string
		here       [2]string
		want       string // the lines of apps.toml that are removed and added, or the finding
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
		edited := strings.Replace(generate(t, tc.apps), tc.here[0], tc.here[1], 1)
		state := compare(t, tc.apps, edited)
		var found finding.List
		after := string(model(t, tc.apps).Adopt([]*FileState{state}, &found))
		if tc.fault {
			if found.Len() != 1 || !strings.Contains(found.All()[0].Message, tc.want) {
				t.Errorf("%s: %v", tc.name, found.Err())
			}
			continue
		}
		if got := lines(tc.apps, after); got != tc.want || found.Len() > 0 {
			t.Errorf("%s: got %q, want %q, %v", tc.name, got, tc.want, found.Err())
		}
		// apps.toml now has the values of the file: no edit is left.
		if state := compare(t, after, edited); len(state.Edits) > 0 {
			t.Errorf("%s: left over: %v", tc.name, state.Edits)
		}
	}
}

// lines lists the lines that were removed and those that were added.
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

// drawChanges keeps, sets or drops each key of a map.
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

// applyChanges changes a text so that it has the values of a map.
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

// mergeMaps returns the result that Merge should have, and the keys that conflict.
func mergeMaps(first, here, there map[string]string) (want map[string]string, conflicts map[string]bool) {
	want = maps.Clone(there)
	conflicts = map[string]bool{}
	for _, key := range mergedKeys {
		id := doc.DottedPath(key)
		switch {
		case here[id] == first[id] || here[id] == there[id]:
		case there[id] == first[id]:
			want[id] = here[id]
		default:
			conflicts[id] = true
		}
	}
	return want, conflicts
}

// Random edits on both sides are compared with maps: a merge takes each key from the side that has changed it, and conflicts only if both
// sides have set it to different values. It loses no comment, and adopting leaves no edit.
func TestMergeFollowsMaps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := strings.Replace(strings.Replace(base, "instances = 3\n", "", 1), "sockets = 1024\n", "", 1)
		first := drawChanges(rt, "base", map[string]string{})
		appsText := applyChanges(start, []string{"apps", "a"}, nil, first)
		here := drawChanges(rt, "here", first)
		there := drawChanges(rt, "there", first)
		edited := applyChanges(generate(rt, appsText), nil, first, here)
		edited = strings.Replace(edited, "[limits]", "# by hand\n[limits]", 1)
		nowText := applyChanges(appsText, []string{"apps", "a"}, first, there)

		state := compare(rt, nowText, edited)
		want, conflicts := mergeMaps(first, here, there)
		got := map[string]bool{}
		for _, e := range state.Conflicts() {
			got[e.ID()] = true
		}
		if !maps.Equal(got, conflicts) {
			rt.Fatalf("conflicts %v, want %v\nbase %v here %v there %v", got, conflicts, first, here, there)
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
			rt.Fatalf("%s is %q, want %q\n%s", id, value, want[id], merged)
		}
	}
	if strings.Count(merged, "# by hand") != 1 {
		rt.Fatalf("a comment is lost:\n%s", merged)
	}
}

// checkAdopted checks that adopting the edits keeps the comments, and that the merged file then has no edits.
func checkAdopted(rt *rapid.T, appsText, merged string, state *FileState) {
	var found finding.List
	after := string(model(rt, appsText).Adopt([]*FileState{state}, &found))
	if found.Len() > 0 || strings.Count(after, "# ours") != 1 || strings.Count(after, "# one") != 1 {
		rt.Fatalf("adopt: %v\n%s", found.Err(), after)
	}
	if left := compare(rt, after, merged); len(left.Edits) > 0 {
		rt.Fatalf("adopt leaves %v", left.Edits)
	}
}

// help returns the comment above a key in a written file.
func help(path []string) string {
	for _, k := range testSchema.Table(path[0]).Keys {
		if k.Name == path[len(path)-1] {
			return k.Help
		}
	}
	return ""
}

// Whatever a file's header holds, reading it ends.
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
