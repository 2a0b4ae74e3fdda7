// Package secretfile reads secrets from files, and says which files are not fit
// to hold one. What it returns of a secret's content is the secret alone: no
// error carries any of it.
package secretfile

import (
	"encoding/pem"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

// MaxBytes bounds a secret.
const MaxBytes = 16 << 10

// ReadToken reads the secret in a file, white space around it left out.
func ReadToken(path string) (string, error) {
	text, err := readFile(path)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(text))
	switch {
	case secret == "":
		return "", fmt.Errorf("%s: is empty, so it holds no secret", path)
	case strings.ContainsFunc(secret, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		return "", fmt.Errorf("%s: holds more than one word of plain characters, so it is no token", path)
	}
	return secret, nil
}

// ReadPrivateKey reads a private key in PEM (RFC 7468, section 10), as it stands in the file.
func ReadPrivateKey(path string) ([]byte, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	for rest := text; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			return nil, fmt.Errorf("%s: holds no private key in PEM", path)
		}
		if block.Type == "ENCRYPTED PRIVATE KEY" {
			return nil, fmt.Errorf("%s: its key is encrypted, and nobody is here to be asked for the password", path)
		}
		if block.Type == "PRIVATE KEY" || strings.HasSuffix(block.Type, " PRIVATE KEY") {
			return text, nil
		}
	}
}

// readFile reads a file that is fit to hold a secret.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("the secret cannot be read: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("the secret cannot be read: %w", err)
	}
	if err := checkMode(info); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the secret cannot be read: %w", err)
	}
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("%s: has more than %d bytes, so it is no secret", path, MaxBytes)
	}
	return text, nil
}

// checkMode guards against a secret that others can read, or put in place of the real one. Rights of the group are
// left to the operator: some run under a group for it.
func checkMode(info fs.FileInfo) error {
	switch mode := info.Mode(); {
	case !mode.IsRegular():
		return fmt.Errorf("is no regular file, so it is no secret")
	case mode.Perm()&0o002 != 0:
		return fmt.Errorf("the file can be written by everybody (mode %04o), so the secret is not to be trusted; chmod o-w", mode.Perm())
	case mode.Perm()&0o004 != 0:
		return fmt.Errorf("the file can be read by everybody (mode %04o), so it is no secret; chmod o-r", mode.Perm())
	}
	return nil
}
