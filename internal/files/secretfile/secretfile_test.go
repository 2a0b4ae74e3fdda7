package secretfile

import (
	"encoding/pem"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRead(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "token")
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string // of the error; empty for none
	}{
		{"s3cret\n", 0o600, ""},
		{" s3cret ", 0o640, ""},
		{"s3cret", 0o602, "written by everybody"},
		{"s3cret", 0o604, "read by everybody"},
		{"", 0o600, "is empty"},
		{"s3cret word", 0o600, "more than one word"},
		{strings.Repeat("s3cret", 5000), 0o600, "more than"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(path, c.mode); err != nil {
			t.Fatal(err)
		}
		got, err := ReadToken(path)
		if c.want == "" && (err != nil || got != "s3cret") || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || got != "") {
			t.Errorf("%.10q, %v: got %q, %v", c.text, c.mode, got, err)
		}
		if err != nil && strings.Contains(err.Error(), "s3cret") {
			t.Errorf("the error tells the secret: %v", err)
		}
	}
	for _, path := range []string{dir, filepath.Join(dir, "none")} {
		if _, err := ReadToken(path); err == nil {
			t.Errorf("%s was read", path)
		}
	}
}

func TestKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	block := func(sort string) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: sort, Bytes: []byte("s3cret")}))
	}
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string // of the error; empty for none
	}{
		{block("PRIVATE KEY"), 0o600, ""},
		{block("EC PARAMETERS") + block("EC PRIVATE KEY"), 0o640, ""},
		{block("PRIVATE KEY"), 0o644, "read by everybody"},
		{block("CERTIFICATE"), 0o600, "holds no private key"},
		{"", 0o600, "holds no private key"},
		{block("ENCRYPTED PRIVATE KEY"), 0o600, "is encrypted"},
		{strings.Repeat(block("CERTIFICATE"), 500), 0o600, "more than"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(path, c.mode); err != nil {
			t.Fatal(err)
		}
		got, err := ReadPrivateKey(path)
		switch {
		case c.want == "" && (err != nil || string(got) != c.text):
			t.Errorf("%q: %v", got, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "s3cret")):
			t.Errorf("mode %o: %v, want %q", c.mode, err, c.want)
		}
	}
}
