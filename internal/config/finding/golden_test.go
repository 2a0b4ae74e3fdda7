package finding

import (
	"encoding/json"
	"strings"
	"testing"

	"quincegap/internal/golden"
)

// goldenList returns findings with and without a position, and two equal ones.
func goldenList() *List {
	var l List
	l.Add("b.toml", Pos{Line: 2, Col: 7}, "sidecar.listen: %q has no port", "8080")
	l.Add("b.toml", Pos{Line: 1, Col: 1}, "there is no [discovery]")
	l.Add("b.toml", Pos{Line: 2, Col: 7}, "sidecar.listen: %q has no port", "8080")
	l.Add("a.toml", Pos{}, "cannot be read: no such file")
	return &l
}

// Other programs depend on the form FILE:LINE:COLUMN: message and on the keys of the JSON object.
func TestGoldenForms(t *testing.T) {
	l := goldenList()
	var text, object strings.Builder
	if err := l.Print(&text); err != nil {
		t.Fatal(err)
	}
	if err := l.PrintJSON(&object); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "findings.txt", []byte(text.String()))
	golden.Text(t, "findings.json", []byte(object.String()))
	if got := l.Err().Error(); got+"\n" != text.String() {
		t.Errorf("text of the error: got %q, want the printed %q", got, text.String())
	}

	var read struct {
		Findings []Finding `json:"findings"`
		More     int       `json:"more"`
	}
	if err := json.Unmarshal([]byte(object.String()), &read); err != nil {
		t.Fatal(err)
	}
	var again List
	for _, f := range read.Findings {
		again.Add(f.File, Pos{Line: f.Line, Col: f.Column}, "%s", f.Message)
	}
	var reprinted strings.Builder
	if err := again.Print(&reprinted); err != nil {
		t.Fatal(err)
	}
	if reprinted.String() != text.String() {
		t.Errorf("findings read back from JSON are printed as %q, want %q", reprinted.String(), text.String())
	}
}

// The JSON object of an empty list, and the printed form of a list with more findings than are stored.
func TestGoldenBounds(t *testing.T) {
	var none, bounded strings.Builder
	if err := (&List{}).PrintJSON(&none); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "none.json", []byte(none.String()))
	var l List
	for i := range 1003 {
		l.Add("f", Pos{Line: i + 1, Col: 1}, "x")
	}
	if err := l.Print(&bounded); err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(bounded.String(), "\n")
	golden.Text(t, "bounded.txt", []byte(strings.Join(lines[len(lines)-4:], "")))
	if len(lines) != 1000+2 { // the line with the number of further findings, and the text after the last line end
		t.Errorf("printed list of 1003 findings: got %d lines, want %d", len(lines), 1000+2)
	}
}

// The messages for unknown names.
func TestGoldenUnknown(t *testing.T) {
	var all strings.Builder
	for _, name := range []string{"idel", "zz", strings.Repeat("y", 100)} {
		all.WriteString(UnknownName("key", name, []string{"idle", "wait"}) + "\n")
		all.WriteString(UnknownName("key", name, nil) + "\n")
	}
	golden.Text(t, "unknown.txt", []byte(all.String()))
}
