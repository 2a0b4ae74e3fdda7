package doc

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"quincegap/internal/config/finding"
)

// read reads TOML, and returns the document and the positions of the findings as line:column.
func read(t *testing.T, text string) (*Document, []string) {
	t.Helper()
	var found finding.List
	d := ReadTOML([]byte(text), 1<<20, found.ForFile("f"))
	var positions []string
	for _, f := range found.All() {
		positions = append(positions, fmt.Sprintf("%d:%d", f.Line, f.Column))
	}
	return d, positions
}

// Each text is read to its end. All of its faults are found at their positions, and nothing else is reported.
func TestAllMistakesAreFound(t *testing.T) {
	for text, want := range map[string]string{
		"a = 1\nb = \"x\"\n[t]\nc = true # so\n": "",
		"\ta\t=\t1\t# so\n\t[ t ]\n\tb = 2\n":    "",
		"a = 1\r\n[t]\r\nb = 2\r\n":              "",
		"a =\nb = 2\nc = 3ms\n":                  "1:4 3:6",
		"a = 1\na = 2\n":                         "2:1",
		"[t]\na = 1\n[t]\na = 2\n":               "3:2",
		"[t\nunder = 1\n[u]\nb = oops\n":         "1:3 4:5",
		"a = [1,\n2\nb = 3\n":                    "1:1",
		"a = \"\"\"x\nmore\nb = 1\n":             "1:1",
		"a.b = 1\na = 2\n":                       "2:1",
		"a = 1\na.b = 2\n":                       "2:1",
		"a.b = 1\n[a]\nc = 1\n":                  "2:2",
		"[a.b]\nx = 1\n[a]\ny = 2\n":             "",
		"ä = 1\n\"ä\" = \"ö\" x\n":               "1:1 2:11",
		"one\ntwo\nthree\n":                      "1:4",
		"a = 1 \r b = 2\n":                       "1:7",
		strings.Repeat("a = [\n", 3):             "1:1 2:1 3:6",
		"x = " + strings.Repeat("[", 99) + "]":   "1:104",
		"a={b={c={d={e={f={g={h={i={j={k={l={m={n={o={p={q=1}}}}}}}}}}}}}}}}": "1:48",
	} {
		if _, at := read(t, text); strings.Join(at, " ") != want {
			t.Errorf("findings on %.60q: got positions %v, want %s", text, at, want)
		}
	}
}

// A table that is too deep to be read has no keys, and can be named by a header, a dotted key or another list without a panic.
func TestTablesBelowMaxDepth(t *testing.T) {
	path := strings.Repeat("a.", maxDepth-2) + "a"
	for _, tooDeep := range []string{path + " = [{}]\n", path + ".a = {}\n", path + " = [{}, 1, {b = 1}]\n", path + " = [[{}]]\n"} {
		for _, after := range []string{
			"[" + path + "]\n", "[[" + path + "]]\n", "[" + path + ".a]\n", "[[" + path + ".a]]\n", path + ".a = 1\n", path + ".a.b = 1\n",
		} {
			d, at := read(t, tooDeep+after)
			if len(at) == 0 {
				t.Errorf("%s%s: got no finding, want one on the table that is too deep", tooDeep, after)
			}
			countValues(d.Root)
		}
	}
}

// countValues returns the number of values in a table and the tables and lists within it.
func countValues(table *Table) (count int) {
	for _, entry := range table.Entries {
		count += countValue(entry.Value)
	}
	return count
}

func countValue(value *Value) int {
	count := 1
	for _, item := range value.Items {
		count += countValue(item)
	}
	if value.Kind == TableKind {
		count += countValues(value.Table)
	}
	return count
}

// Keys after a header that cannot be read are not added to another table.
func TestKeysAfterUnreadableHeaderAreIgnored(t *testing.T) {
	d, _ := read(t, "[t]\na = 1\n[u\na = 2\nb = 3\n[v]\nc = 4\n")
	if d.Root.Subtable("t").Get("b") != nil || d.Root.Lookup("v", "c") == nil || d.Root.Subtable("t").Get("a").Value.Text != "1" {
		t.Error("keys after an unreadable header were added to another table, or later keys are missing")
	}
}

// The number of findings on an invalid text is bounded, whatever its size.
func TestFindingsOnInvalidTextAreBounded(t *testing.T) {
	for _, line := range []string{"x = [\n", "%$ nonsense\n", "[[[\n", "\"\"\"\n", "= = =\n", "a = '''\n"} {
		var found finding.List
		size := 1 << 20
		if line == "%$ nonsense\n" {
			size = 10 << 20
		}
		ReadTOML([]byte(strings.Repeat(line, size/len(line))), 16<<20, found.ForFile("f"))
		if n := found.Len(); n == 0 || line != "a = '''\n" && n > maxUnreadableLines+1 || len(found.All()) > finding.MaxFindings {
			t.Errorf("text that repeats %q: got %d findings, want between 1 and the bound", line, n)
		}
	}
	var found finding.List
	if ReadTOML(make([]byte, 101), 100, found.ForFile("f")) != nil || found.Len() != 1 {
		t.Error("a text of 101 bytes was read with a limit of 100")
	}
}

// Entries and values have the correct positions and offsets in the text.
func TestPositions(t *testing.T) {
	d, _ := read(t, "# first\n[t]\n  key = \"välue\" # so\nü = 3\n")
	e := d.Root.Lookup("t", "key")
	text := string(d.Text[e.Value.Start:e.Value.End])
	if e.Pos != (finding.Pos{Line: 3, Col: 3}) || e.Value.Pos != (finding.Pos{Line: 3, Col: 9}) || text != `"välue"` {
		t.Errorf("TOML key t.key: got entry %+v with value %+v, want positions 3:3 and 3:9, and the value's text at its offsets", e, e.Value)
	}
	report := func(_ finding.Pos, format string, args ...any) { t.Errorf(format, args...) }
	j := ReadJSON([]byte("{\n \"a\": [1, {\"b\": true}],\n \"ü\": null}"), 100, report)
	b := j.Root.Get("a").Value.Items[1].Table.Get("b")
	if b.Pos != (finding.Pos{Line: 2, Col: 12}) || b.Value.Pos != (finding.Pos{Line: 2, Col: 17}) {
		t.Errorf("JSON key b: got entry %+v with value %+v, want positions 2:12 and 2:17", b, b.Value)
	}
	if u := j.Root.Get("ü"); u.Value.Kind != Null || u.Value.Pos != (finding.Pos{Line: 3, Col: 7}) {
		t.Errorf("JSON key ü: got value %+v, want null at 3:7", u.Value)
	}
}

// Each edit changes only the lines that it has to, in texts with LF and with CR LF.
func TestEdits(t *testing.T) {
	const text = "# head\ntop = 1\n\n[t] # the table\n# about a\na = 1 # so\nb = 2\n\n[t.u]\nc = 3\n\n[z]\nd = 4\nx.y = 5\n"
	for _, test := range []struct {
		name string
		edit func(d *Document) []byte
		want string // the lines that are removed and added
	}{
		{"replace", func(d *Document) []byte { return d.Set([]string{"t", "a"}, "9") }, "-a = 1 # so +a = 9 # so"},
		{"add to a table", func(d *Document) []byte { return d.Set([]string{"t", "new"}, "9", "help") }, "+# help +new = 9"},
		{"add at the top", func(d *Document) []byte { return d.Set([]string{"new"}, "9") }, "+new = 9"},
		{"add a table beside its likes", func(d *Document) []byte { return d.Set([]string{"t", "v", "e"}, "9") }, "+[t.v] +e = 9 +"},
		{"add a table at the end", func(d *Document) []byte { return d.Set([]string{"q", "e"}, "9") }, "+[q] +e = 9 +"},
		{"add beside a dotted key", func(d *Document) []byte { return d.Set([]string{"z", "x", "w"}, "9") }, "+x.w = 9"},
		{"delete", func(d *Document) []byte { return d.Delete([]string{"t", "a"}) }, "-a = 1 # so"},
		{"delete with its help", func(d *Document) []byte { return d.Delete([]string{"t", "a"}, "about a") }, "-# about a -a = 1 # so"},
		{"another comment stays", func(d *Document) []byte { return d.Delete([]string{"t", "a"}, "other") }, "-a = 1 # so"},
		{"delete the last key", func(d *Document) []byte { return d.Delete([]string{"t", "u", "c"}) }, "-[t.u] -c = 3 -"},
		{"delete nothing", func(d *Document) []byte { return d.Delete([]string{"t", "none"}) }, ""},
	} {
		for _, nl := range []string{"\n", "\r\n"} {
			before := strings.ReplaceAll(text, "\n", nl)
			d, _ := read(t, before)
			after := string(test.edit(d))
			if _, at := read(t, after); len(at) > 0 {
				t.Errorf("%s: the edited text cannot be read at %v:\n%s", test.name, at, after)
			}
			if nl == "\r\n" && strings.Count(after, "\n") != strings.Count(after, "\r\n") {
				t.Errorf("%s: the edited text mixes line ends: %q", test.name, after)
			}
			if got := lineDiff(strings.ReplaceAll(before, "\r", ""), strings.ReplaceAll(after, "\r", "")); got != test.want {
				t.Errorf("%s: changed lines: got %q, want %q", test.name, got, test.want)
			}
		}
	}
	d, _ := read(t, "[t]\na = 1")
	if got := string(d.Set([]string{"t", "b"}, "2")); got != "[t]\na = 1\nb = 2\n" {
		t.Errorf("key added after a line without a line end: got %q", got)
	}
}

// lineDiff lists the lines that were removed, then those that were added.
func lineDiff(before, after string) string {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var out []string
	for _, l := range a {
		out = append(out, "-"+l)
	}
	for _, l := range b {
		out = append(out, "+"+l)
	}
	return strings.Join(out, " ")
}

// Random edits are applied to a text and to a map: the text always has the values of the map and all its comments.
func TestRandomEditsMatchMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(rt, "nl")
		text := strings.ReplaceAll("# one\n[a]\nk = 0 # two\n# three\n[a.b]\nk = 0\n", "\n", newline)
		model := map[string]string{"a.k": "0", "a.b.k": "0"}
		for range rapid.IntRange(1, 12).Draw(rt, "edits") {
			text = randomEdit(t, rt, text, model)
		}
		got := map[string]string{}
		leaves(mustRead(t, rt, text).Root, got)
		if fmt.Sprint(got) != fmt.Sprint(model) {
			rt.Fatalf("values after the edits: text has %v, map has %v:\n%s", got, model, text)
		}
		for _, comment := range []string{"# one", "# two", "# three"} {
			if strings.Count(text, comment) != 1 {
				rt.Fatalf("comment %q is not in the edited text exactly once:\n%s", comment, text)
			}
		}
	})
}

// mustRead reads a text, and fails the test if there are findings.
func mustRead(t *testing.T, rt *rapid.T, text string) *Document {
	t.Helper()
	d, at := read(t, text)
	if len(at) > 0 {
		rt.Fatalf("the text cannot be read at %v:\n%s", at, text)
	}
	return d
}

// randomEdit sets or deletes a random key in both a text and a map, and returns the text.
func randomEdit(t *testing.T, rt *rapid.T, text string, model map[string]string) string {
	t.Helper()
	name := rapid.SampledFrom([]string{"a", "b", "k", "with space", "q\"uote", "d.ot"})
	document := mustRead(t, rt, text)
	path := []string{"a", name.Draw(rt, "table"), "key" + name.Draw(rt, "key")}
	id := DottedPath(path)
	if !rapid.Bool().Draw(rt, "set") {
		delete(model, id)
		return string(document.Delete(path))
	}
	value := fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "value"))
	if path[1] == "k" {
		delete(model, id) // a.k has a value, so it cannot be a table
		return text
	}
	model[id] = value
	return string(document.Set(path, value))
}

// leaves adds all keys of a table and its subtables to a map, by dotted path.
func leaves(t *Table, into map[string]string) {
	for _, e := range t.Entries {
		if e.Value.Kind == TableKind {
			leaves(e.Value.Table, into)
		} else {
			into[DottedPath(append(slices.Clone(t.Path), e.Name))] = e.Value.Text
		}
	}
}

// For any text, reading terminates, positions are within the text, and a value that was set is read back.
func FuzzTOML(f *testing.F) {
	for _, seed := range []string{
		"[t]\na = 1\n",
		"a = [1, {b = 2}]\n",
		"[[x]]\ny = 1\n[x.z]\n",
		"a.b.c = \"\"\"\n\"\"\"\n",
		"\xef\xbb\xbfa=1",
		"a = '''",
		"[a]\r\nb=1\r\n[a.c]\r\n",
		strings.Repeat("a.", maxDepth-2) + "a = [{}]\n[[" + strings.Repeat("a.", maxDepth-2) + "a]]\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var found finding.List
		d := ReadTOML(text, 1<<16, found.ForFile("f"))
		checkPositions(t, text, &found)
		for _, x := range found.All() {
			if strings.Contains(x.Message, "\n") {
				t.Errorf("finding %q has more than one line", x)
			}
		}
		if d != nil {
			countValues(d.Root)
		}
		path := []string{"t", "a"}
		if d == nil || found.Len() > 0 || !editable(d, path) {
			return
		}
		after := d.Set(path, "42")
		again := ReadTOML(after, 1<<17, found.ForFile("f"))
		if again == nil || found.Len() > 0 || again.Root.Lookup(path...) == nil || again.Root.Lookup(path...).Value.Text != "42" {
			t.Errorf("t.a is not read back as 42: %q became %q, findings %v", text, after, found.Err())
		}
	})
}

// checkPositions checks that each finding has a message and a line that the text has.
func checkPositions(t *testing.T, text []byte, found *finding.List) {
	t.Helper()
	lines := strings.Count(string(text), "\n") + 1
	for _, x := range found.All() {
		if x.Line < 0 || x.Line > lines || x.Message == "" {
			t.Errorf("finding %q has no message, or its line is not in the text of %d lines", x, lines)
		}
	}
}

// editable reports whether a key can be set as a scalar in a table that is not inline.
func editable(d *Document, path []string) bool {
	if e := d.Root.Get(path[0]); e != nil && (e.Value.Kind != TableKind || e.Value.Start > 0) {
		return false // a scalar, a list or an inline table
	}
	e := d.Root.Lookup(path...)
	return e == nil || e.Value.Kind != TableKind && e.Value.Kind != Array
}

// Any text is read, or rejected with a finding whose position is within the text.
func FuzzJSON(f *testing.F) {
	for _, s := range []string{`{"a": [1, 2.5, null, true, "x"]}`, `{"a": {"a": 1, "a": 2}}`, `{`, `[]`, `{"a":1} x`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var found finding.List
		d := ReadJSON(text, 1<<16, found.ForFile("f"))
		if d == nil && found.Len() == 0 {
			t.Errorf("%q: got neither a document nor a finding", text)
		}
		checkPositions(t, text, &found)
	})
}
