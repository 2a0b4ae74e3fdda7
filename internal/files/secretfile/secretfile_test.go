package secretfile

import (
	"encoding/pem"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// secretMark is part of the content of each file, and must not appear in any error.
const secretMark = "s3cret"

// writeFile writes a file with the given permissions, independently of the umask.
func writeFile(t *testing.T, path, content string, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(path, mode); err != nil {
		t.Fatal(err)
	}
}

// checkError checks that an error contains a text and not the secret. It expects no error if the text is empty.
func checkError(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Errorf("unexpected error: %v", err)
		}
		return
	}
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("got error %v, want %q", err, want)
	}
	if err != nil && strings.Contains(err.Error(), secretMark) {
		t.Errorf("the error contains the secret: %v", err)
	}
}

// ReadToken trims white space, and rejects files with world permissions and content that is not one word.
func TestReadToken(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "token")
	for _, test := range []struct {
		name    string
		content string
		mode    os.FileMode
		want    string // part of the expected error; empty if none is expected
	}{
		{"line", "s3cret\n", 0o600, ""},
		{"white space, group may read", " s3cret ", 0o640, ""},
		{"everybody may write", "s3cret", 0o602, "written by everybody"},
		{"everybody may read", "s3cret", 0o604, "read by everybody"},
		{"empty", "", 0o600, "is empty"},
		{"two words", "s3cret word", 0o600, "not one word of printable"},
		{"too large", strings.Repeat("s3cret", 5000), 0o600, "more than"},
	} {
		t.Run(test.name, func(t *testing.T) {
			writeFile(t, path, test.content, test.mode)
			got, err := ReadToken(path)
			checkError(t, err, test.want)
			want := secretMark
			if test.want != "" {
				want = ""
			}
			if got != want {
				t.Errorf("token: got %q, want %q", got, want)
			}
		})
	}
	for _, path := range []string{dir, filepath.Join(dir, "none")} {
		if _, err := ReadToken(path); err == nil {
			t.Errorf("reading a token from %s succeeded, want an error", path)
		}
	}
}

// pemBlock returns a PEM block whose content is the secret.
func pemBlock(blockType string) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: []byte(secretMark)}))
}

// ReadPrivateKey returns the complete file, and rejects files without a usable private key.
func TestReadPrivateKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	for _, test := range []struct {
		name    string
		content string
		mode    os.FileMode
		want    string // part of the expected error; empty if none is expected
	}{
		{"PKCS 8", pemBlock("PRIVATE KEY"), 0o600, ""},
		{"after parameters, group may read", pemBlock("EC PARAMETERS") + pemBlock("EC PRIVATE KEY"), 0o640, ""},
		{"everybody may read", pemBlock("PRIVATE KEY"), 0o644, "read by everybody"},
		{"certificate", pemBlock("CERTIFICATE"), 0o600, "holds no private key"},
		{"empty", "", 0o600, "holds no private key"},
		{"encrypted", pemBlock("ENCRYPTED PRIVATE KEY"), 0o600, "is encrypted"},
		{"too large", strings.Repeat(pemBlock("CERTIFICATE"), 500), 0o600, "more than"},
	} {
		t.Run(test.name, func(t *testing.T) {
			writeFile(t, path, test.content, test.mode)
			got, err := ReadPrivateKey(path)
			checkError(t, err, test.want)
			if test.want == "" && string(got) != test.content {
				t.Errorf("got %q, want the complete file %q", got, test.content)
			}
		})
	}
}
