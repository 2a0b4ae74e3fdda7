package product

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quincegap/internal/config/finding"
	"quincegap/internal/golden"
)

// deploy/sidecar.toml loads without findings, and its settings do not change. (TestGeneratedPagesDoNotDrift compares its text and that of
// docs/reference.md with the declarations.)
func TestGoldenSampleLoads(t *testing.T) {
	var found finding.List
	f := Load(filepath.Join("..", "..", "deploy", "sidecar.toml"), false, &found)
	if err := found.Err(); err != nil || f == nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, s := range f.Settings() {
		fmt.Fprintf(&all, "%s = %s (%s)\n", s.ID(), s.Canonical, s.Raw)
	}
	golden.Text(t, "sample-settings.txt", []byte(all.String()))
}

// The names of all tables and keys, with their types, defaults and when a change of one takes effect.
func TestGoldenKeys(t *testing.T) {
	var all strings.Builder
	for _, table := range Schema.Tables {
		for _, k := range table.Keys {
			fmt.Fprintf(&all, "%s.%s: %s, default %q, required %v, change %v\n", table.Name, k.Name, k.Type, k.Default, k.Required, k.Change)
		}
	}
	golden.Text(t, "keys.txt", []byte(all.String()))
}

// The findings about invalid files: file, line, column and message. (TestMistakes of internal/tool has some 180 more.)
func TestGoldenFindings(t *testing.T) {
	dir := t.TempDir()
	var found finding.List
	for name, edit := range map[string][2]string{
		"bad-value.toml":     {`listen = "127.0.0.1:8080"`, `listen = "8080"`},
		"bad-duration.toml":  {"[class.", "[callers]\nidle_timeout = \"30\"\n\n[class."},
		"missing-key.toml":   {`address = "127.0.0.1:8500"`, ""},
		"misspelt-key.toml":  {"[discovery]", "[discovery]\nadress = \"127.0.0.1:1\""}, //nolint:misspell // the key is misspelt on purpose
		"unknown-table.toml": {"[discovery]", "[discoveries]"},
		"cut.toml":           {`application = "booking-front.example.org"`, `application = "booking-front`},
	} {
		text := strings.Replace(Sample(), edit[0], edit[1], 1)
		if text == Sample() {
			t.Fatalf("%s: the text to replace is not in the sample", name)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	names, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names { // sorted
		Load(name, false, &found)
	}
	platform := filepath.Join(dir, "platform.json")
	if err := os.WriteFile(platform, []byte(`{"name": 3, "listen": "here", "limts": {}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	CheckPlatform(platform, &found)
	var all strings.Builder
	if err := found.PrintJSON(&all); err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(all.String(), dir+string(filepath.Separator), "")
	golden.Text(t, "findings.json", []byte(text))

	var got struct {
		Findings []finding.Finding
		More     int
	}
	if err := json.Unmarshal([]byte(text), &got); err != nil || len(got.Findings) < 8 || got.More != 0 {
		t.Errorf("findings read back: got %+v, error %v, want at least 8 findings and none omitted", got, err)
	}
	for _, f := range got.Findings {
		if f.File == "" || f.Line == 0 || f.Column == 0 || f.Message == "" {
			t.Errorf("finding without file, line, column or message: %+v", f)
		}
	}
}
