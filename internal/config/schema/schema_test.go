package schema

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// things is the struct of a table that the tests declare.
type things struct {
	Wait  time.Duration
	Count int
	Share float64
	Bytes int64
	On    bool
	Word  string
	Who   string
	At    string
}

var thingsTable = NewTable("things", "Things.",
	Duration("wait", func(s *things) *time.Duration { return &s.Wait },
		Bounds[time.Duration]{Default: time.Second, Min: time.Millisecond, Max: time.Hour}, OnReload, "Wait."),
	Int("count", func(s *things) *int { return &s.Count }, Bounds[int]{Default: 3, Min: -5, Max: 100}, AtStart, "Count."),
	Float("share", func(s *things) *float64 { return &s.Share }, Bounds[float64]{Default: 0.5, Min: 0, Max: 1}, AtStart, "Share."),
	Size("bytes", func(s *things) *int64 { return &s.Bytes }, Bounds[int64]{Default: 1 << 10, Min: 1, Max: 1 << 30}, AtStart, "Bytes."),
	Bool("on", func(s *things) *bool { return &s.On }, true, AtStart, "On."),
	Choice("word", func(s *things) *string { return &s.Word }, []string{"red", "green"}, "red", false, AtStart, "Word."),
	String("who", func(s *things) *string { return &s.Who }, StringOptions{Required: true, Example: "me"}, AtStart, "Who."),
	Address("at", func(s *things) *string { return &s.At }, StringOptions{Example: "127.0.0.1:1"}, false, AtStart, "At."),
).Check(func(_ *File, _ string, s *things, report Reporter) {
	if s.Count == 13 {
		report("count", "unlucky")
	}
})

// part is the struct of named tables that the tests declare.
type part struct{ Size int }

var partTable = NewNamed("part", "part", "p", "Parts.",
	Int("size", func(p *part) *int { return &p.Size }, Bounds[int]{Min: 1, Max: 9, Required: true, Example: "4"}, OnReload, "Size."))

var testSchema = New(thingsTable.Table, partTable.Table)

// decode decodes a TOML text with testSchema, and returns the file and the text of its findings.
func decode(text string, options Options) (*File, string) {
	var found finding.List
	d := doc.ReadTOML([]byte(text), 1<<20, found.ForFile("f"))
	if d == nil {
		return nil, found.Err().Error()
	}
	f := testSchema.Decode(&found, options, Layer{Doc: d, Table: d.Root, File: "f"})
	if err := found.Err(); err != nil {
		return f, err.Error()
	}
	return f, ""
}

// Values of each type are read in different notations, and missing keys have their defaults.
func TestValues(t *testing.T) {
	file, fault := decode(`[things]
who = "w"
wait = '1m30s'
count = 0x10
share = 1
bytes = "3KiB"
on = false
word = "green"
at = "[::1]:80"
[part.x]
size = 2
[part."y z"]
size = 3
`, Options{})
	if fault != "" {
		t.Fatal(fault)
	}
	if got := *thingsTable.In(file); got != (things{90 * time.Second, 16, 1, 3 << 10, false, "green", "w", "[::1]:80"}) {
		t.Errorf("values of [things]: got %+v", got)
	}
	all := partTable.All(file)
	if len(all) != 2 || all[0].Name != "x" || all[1].Name != "y z" || all[1].Value.Size != 3 || partTable.Get(file, "no") != nil {
		t.Errorf("tables [part.PART]: got %+v, want x and \"y z\", the second with size 3", all)
	}
	file, fault = decode("[things]\nwho = \"w\"\n", Options{})
	if got := *thingsTable.In(file); fault != "" || got != (things{time.Second, 3, 0.5, 1 << 10, true, "red", "w", ""}) {
		t.Errorf("file with the required key only: got %+v and findings %q, want the defaults", got, fault)
	}
	if got := *thingsTable.Default(); got.Count != 3 {
		t.Errorf("defaults without a file: got %+v, want a count of 3", got)
	}
}

// Each invalid value is rejected with a message that tells which values are valid.
func TestInvalidValuesAreRejected(t *testing.T) {
	for line, want := range map[string]string{
		"wait = 5":                    `5 has no unit; write "5ms" or "5s"`,
		`wait = "5"`:                  `"5" has no unit`,
		`wait = "5 ms"`:               `has a space in it; write "5ms"`,
		`wait = "5sec"`:               `unknown unit "sec"; did you mean "s"?`,
		`wait = "5x"`:                 `is no time; units are us, ms, s, m, h`,
		`wait = "0s"`:                 `"0s" is below "1ms"`,
		`wait = "-1s"`:                `is below "1ms"`,
		`wait = "9999999999h"`:        `is too long to be a time`,
		`wait = "2h"`:                 `is above "1h"`,
		"wait = [1]":                  `a time with its unit (like "2500ms" or "2.5s"), not a list, is wanted`,
		"count = 1.5":                 `1.5 is not a whole number`,
		"count = -6":                  `-6 is below -5`,
		"count = 1e3":                 `1e3 is not a whole number`,
		"count = 13":                  `things.count: unlucky`,
		"count = 9223372036854775808": `is too large a number`,
		"share = nan":                 `nan is no number that can be used`,
		"share = -inf":                `-inf is no number that can be used`,
		"share = 1.01":                `1.01 is above 1`,
		`bytes = 5`:                   `5 has no unit`,
		`bytes = "5KB"`:               `unknown unit "KB"; did you mean "KiB"?`,
		`bytes = "0B"`:                `is below "1B"`,
		`bytes = "1.5KiB"`:            `is not a whole number of KiB`,
		`bytes = "9999999999999GiB"`:  `is no size that can be used`,
		`on = "yes"`:                  `"yes" is a string; true or false is wanted`,
		`word = "gren"`:               `unknown word "gren"; did you mean "green"?`,
		`word = "blue"`:               `unknown word "blue"; known are red, green`,
		`at = "localhost"`:            `has no port`,
		`at = "h:99999"`:              `ports are 0 to 65535`,
		`at = "h:+1"`:                 `ports are 0 to 65535`,
		`at = ":1"`:                   `names no host`,
		`at = "1.2.3:1"`:              `is no IP address`,
		`at = "a\tb:1"`:               `control character`,
		`at = ""`:                     `is empty`,
		`wiat = "1s"`:                 `unknown key "wiat"; did you mean "wait"? in [things]`,
		`size = 1`:                    `[things] has no key size; it belongs under [part.PART]`,
		"[part]\nsize = 1":            `size is to stand in a table of its own, [part.PART]`,
		"[part.q]":                    `[part.q] lacks the key size, like size = 4`,
		"[parts.q]\nsize = 1":         `unknown table "parts"; did you mean "part"?`,
	} {
		_, fault := decode("[things]\nwho = \"w\"\n"+line+"\n", Options{})
		if !strings.Contains(fault, want) || strings.Count(fault, "\n") > 0 || !strings.HasPrefix(fault, "f:") {
			t.Errorf("findings on %s: got %q, want one that contains %q", line, fault, want)
		}
	}
	if _, fault := decode("", Options{}); fault != `f:1:1: there is no [things], whose key who is needed, like who = "me"` {
		t.Errorf("empty file: got %q, want that [things] with its key who is missing", fault)
	}
	if _, fault := decode("", Options{RequiredElsewhere: []string{"things"}}); fault != "" {
		t.Errorf("empty file whose required keys come from elsewhere: got %q, want no findings", fault)
	}
	if _, fault := decode("who = \"x\"\n", Options{Partial: true}); fault != "f:1:1: who belongs under [things]" {
		t.Errorf("key above all headers: got %q, want the table to which it belongs", fault)
	}
}

// Later layers take precedence, key by key, and each setting has the location that sets it.
func TestLayers(t *testing.T) {
	var found finding.List
	var layers []Layer
	for i, text := range []string{"[things]\nwho = \"low\"\ncount = 1\n[part.a]\nsize = 1\n", "[things]\ncount = 2\n[part.b]\nsize = 2\n"} {
		d := doc.ReadTOML([]byte(text), 1<<20, found.ForFile("f"))
		layers = append(layers, Layer{Doc: d, Table: d.Root, File: fmt.Sprint("layer", i)})
	}
	f := testSchema.Decode(&found, Options{}, layers...)
	if got := thingsTable.In(f); found.Err() != nil || got.Who != "low" || got.Count != 2 || len(partTable.All(f)) != 2 {
		t.Errorf("two layers: got %+v, %d parts, findings %v; want who low, count 2, two parts and no findings",
			got, len(partTable.All(f)), found.Err())
	}
	if location := f.Location("things", "count"); location.String() != "layer1:2" {
		t.Errorf("location of things.count: got %v, want layer1:2", location)
	}
	if location := f.Location("things", "who"); location.String() != "layer0:2" {
		t.Errorf("location of things.who: got %v, want layer0:2", location)
	}
}

// Changed returns settings whose values differ, and ignores differences of order, comments and notation.
func TestChanged(t *testing.T) {
	base := "[things]\nwho = \"w\"\nwait = \"90s\"\n[part.a]\nsize = 1\n"
	for text, want := range map[string]string{
		base: "",
		"# other\n[part.a]\nsize=1\n[things]\nwho='w'\nwait=\"1m30s\"\n":                "",
		strings.Replace(base, "90s", "91s", 1):                                          "things.wait",
		strings.Replace(base, "wait = \"90s\"\n", "", 1):                                "things.wait",
		strings.Replace(base, "[part.a]", "count = 3\n[part.a]", 1):                     "", // the default
		strings.Replace(base, "[part.a]", "count = 4\n[part.b]\nsize = 1\n[part.a]", 1): "things.count part.b.size",
		strings.Replace(base, "[part.a]\nsize = 1\n", "", 1):                            "part.a.size",
	} {
		before, _ := decode(base, Options{})
		after, fault := decode(text, Options{})
		if fault != "" {
			t.Fatal(fault)
		}
		var ids []string
		for _, s := range Changed(before, after) {
			ids = append(ids, s.ID())
			if s.Location.Line == 0 {
				t.Errorf("changed setting %s has no line", s.ID())
			}
		}
		if got := strings.Join(ids, " "); got != want {
			t.Errorf("changed settings of %q: got %q, want %q", text, got, want)
		}
	}
}

// The sample and the text of a file decode to the same settings.
func TestTextsDecode(t *testing.T) {
	if _, fault := decode(testSchema.Sample(), Options{}); fault != "" {
		t.Errorf("findings on the sample: %s", fault)
	}
	f, _ := decode("[part.\"y z\"]\nsize = 3\n[things]\nwho = '''w\"x'''\nwait = \"90s\"\n", Options{})
	again, fault := decode(f.Text(), Options{})
	if fault != "" || len(Changed(f, again)) > 0 || len(again.Settings()) != 3 {
		t.Errorf("text of a file does not decode to its 3 settings:\n%s\nfindings: %s", f.Text(), fault)
	}
	r := testSchema.Reference()
	if !strings.Contains(r, "## [part.PART]") || !strings.Contains(r, "| `wait` | duration, 1ms to 1h | `\"1s\"` | SIGHUP | Wait. |") {
		t.Errorf("reference page lacks the header of [part.PART] or the row of wait:\n%s", r)
	}
}

// Declaring the same name twice panics.
func TestDuplicateDeclarationsPanic(t *testing.T) {
	for name, declare := range map[string]func(){
		"table twice": func() { New(thingsTable.Table, thingsTable.Table) },
		"key in two tables": func() {
			New(thingsTable.Table, NewTable("other", "", Int("count", func(p *part) *int { return &p.Size }, Bounds[int]{}, AtStart, "")).Table)
		},
		"key twice": func() {
			k := Int("size", func(p *part) *int { return &p.Size }, Bounds[int]{}, AtStart, "")
			NewTable("t", "", k, k)
		},
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: the declaration does not panic", name)
				}
			}()
			declare()
		}()
	}
}
