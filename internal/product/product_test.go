package product

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"quincegap/internal/config/finding"
)

// The generated pages in the repository match the declarations. go generate ./docs writes them.
func TestGeneratedPagesDoNotDrift(t *testing.T) {
	for path, want := range map[string]string{"docs/reference.md": Reference(), "deploy/sidecar.toml": Sample()} {
		got, err := os.ReadFile(filepath.Join("..", "..", path))
		if err != nil || string(got) != want {
			t.Errorf("%s is out of date (%v); run go generate ./docs", path, err)
		}
	}
}

// Each key has the help, type and example that the reference page needs.
func TestDeclarations(t *testing.T) {
	for _, table := range Schema.Tables {
		for _, k := range table.Keys {
			if k.Help == "" || !strings.HasSuffix(k.Help, ".") || k.Type == "" {
				t.Errorf("%s.%s: no sentence of help or no type", table.Name, k.Name)
			}
			if (k.Required || k.Default == "") && k.Example == "" {
				t.Errorf("%s.%s: no example", table.Name, k.Name)
			}
		}
	}
}

// The sample has all keys, and the default or example of each is valid.
func TestSampleHasAllKeys(t *testing.T) {
	text := strings.NewReplacer("\n# ", "\n").Replace(Sample())
	var lines []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, " = ") || strings.HasPrefix(line, "[") {
			lines = append(lines, line)
		}
	}
	path := filepath.Join(t.TempDir(), "all.toml")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "")), 0o600); err != nil {
		t.Fatal(err)
	}
	var found finding.List
	file := Load(path, false, &found)
	// These findings are expected: with all comments removed, a safe class has the keys of a keyed one, a call names a class that does not
	// exist, and the files of secrets are missing.
	expected := []string{"means nothing", "for_class", "_file", "settings for TLS", "second_copies is false"}
	for _, x := range found.All() {
		if !slices.ContainsFunc(expected, func(part string) bool { return strings.Contains(x.Message, part) }) {
			t.Errorf("unexpected finding on the sample: %v", x)
		}
	}
	for _, table := range Schema.Tables {
		for _, k := range table.Keys {
			path := []string{table.Name, k.Name}
			if table.Named {
				path = []string{table.Name, table.ExampleName, k.Name}
			}
			if file.Setting(path...) == nil {
				t.Errorf("%v is not in the sample", path)
			}
		}
	}
}

// Only regular files up to a given size are read, and errors do not contain the path.
func TestRead(t *testing.T) {
	dir := t.TempDir()
	pipe := filepath.Join(dir, "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{pipe: "no regular file", dir: "no regular file", filepath.Join(dir, "none"): "no such file"} {
		if _, err := Read(path, 10); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), dir) {
			t.Errorf("read %s: got error %v, want one that contains %q and not the path", path, err, want)
		}
	}
	large := filepath.Join(dir, "large")
	if err := os.WriteFile(large, make([]byte, 11), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(large, 10); err == nil {
		t.Error("a file of 11 bytes was read with a limit of 10")
	}
	if text, err := Read(large, 11); err != nil || len(text) != 11 {
		t.Errorf("read a file of 11 bytes with a limit of 11: got %d bytes, error %v", len(text), err)
	}
}

// The path of a secret is relative to the directory of the file that names it, and the permissions of the secret are checked.
func TestSecrets(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "sidecar.toml")
	text := strings.Replace(Sample(), "[discovery]", "[discovery]\ntoken_file = \"token\"", 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		mode os.FileMode
		want string
	}{{0o600, ""}, {0o622, "written by everybody"}, {0o644, "read by everybody"}} {
		if err := os.WriteFile(filepath.Join(dir, "token"), []byte("t0ken"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(filepath.Join(dir, "token"), test.mode); err != nil {
			t.Fatal(err)
		}
		var found finding.List
		Load(path, false, &found)
		asWanted := found.Len() == 0
		if test.want != "" {
			asWanted = found.Len() == 1 && strings.Contains(found.All()[0].Message, test.want) && found.All()[0].Line > 0
		}
		if !asWanted {
			t.Errorf("secret with mode %v: got findings %v, want %q", test.mode, found.Err(), test.want)
		}
	}
}
