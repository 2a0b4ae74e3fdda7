package standalone

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The error for a fault in a configuration file names the field in one line.
func TestConfigFaultsAreNamed(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1",` +
		`"limits":{"cores":1,"memory_mb":9,"sockets":99},"settings":` + settingsText + `}`
	file := filepath.Join(t.TempDir(), "c.json")
	load := func(text string) error {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadConfig(func(name string) string { return map[string]string{"BALANCER_CONFIG": file}[name] })
		return err
	}
	if err := load(good); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string][2]string{
		"listen":          {"127.0.0.1:1", "nowhere"},
		"discovery":       {"127.0.0.1:2", ""},
		"seed":            {`"a1"`, `"xyz"`},
		"name":            {`"n"`, `""`},
		"cores":           {`"cores":1`, `"cores":0`},
		"memory_mb":       {`"memory_mb":9`, `"memory_mb":-1`},
		"sockets":         {`"sockets":99`, `"sockets":9`},
		"connectTimeout":  {`"connectTimeout":2000000`, `"connectTimeout":0`},
		"unexpected end":  {"}]", ""},
		"settings object": {`"cancel":true`, `"cancel":7`},
	} {
		err := load(strings.Replace(good, change[0], change[1], 1))
		if want == "unexpected end" {
			err = load(good[:len(good)/2])
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one line that contains %q", err, want)
		}
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("LoadConfig without BALANCER_CONFIG returned no error")
	}
}
