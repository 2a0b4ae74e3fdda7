// Package secretfile reads secrets from files, and says which files are not fit to hold one: files that everybody can read or
// write, and files with content that is no secret. No error carries any of a file's content.
package secretfile

import (
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

// MaxBytes bounds a file with a secret.
const MaxBytes = 16 << 10

// Rights that a file with a secret must not have. Those of the group are left to the operator: some programs run under a
// group of their own for it.
const (
	worldWritable fs.FileMode = 0o002
	worldReadable fs.FileMode = 0o004
)

// pemTypeEncryptedKey is the type of a PEM block that needs a password (RFC 7468, section 11).
const pemTypeEncryptedKey = "ENCRYPTED PRIVATE KEY"

// ReadToken reads the token in a file, without the white space around it. A token is one word of printable ASCII characters.
func ReadToken(path string) (string, error) {
	content, err := readFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(content))
	if token == "" {
		return "", fmt.Errorf("%s: is empty, so it holds no secret", path)
	}
	if strings.ContainsFunc(token, notPrintable) {
		return "", fmt.Errorf("%s: holds more than one word of plain characters, so it is no token", path)
	}
	return token, nil
}

func notPrintable(r rune) bool { return r <= ' ' || r >= 0x7f }

// ReadPrivateKey reads a file with a private key in PEM (RFC 7468, section 10). It returns the whole file, other blocks
// included. A key under a password is an error: there is nobody to ask for it.
func ReadPrivateKey(path string) ([]byte, error) {
	content, err := readFile(path)
	if err != nil {
		return nil, err
	}
	for rest := content; ; {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			return nil, fmt.Errorf("%s: holds no private key in PEM", path)
		}
		if block.Type == pemTypeEncryptedKey {
			return nil, fmt.Errorf("%s: its key is encrypted, and nobody is here to be asked for the password", path)
		}
		if block.Type == "PRIVATE KEY" || strings.HasSuffix(block.Type, " PRIVATE KEY") {
			return content, nil
		}
	}
}

// readFile reads a file whose rights and size are fit for a secret.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("the secret cannot be read: %w", err)
	}
	defer func() { _ = f.Close() }() // only read: an error loses nothing
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("the secret cannot be read: %w", err)
	}
	if err := checkMode(info); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	content, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the secret cannot be read: %w", err)
	}
	if len(content) > MaxBytes {
		return nil, fmt.Errorf("%s: has more than %d bytes, so it is no secret", path, MaxBytes)
	}
	return content, nil
}

// checkMode guards against a secret that others can read, or put in place of the real one.
func checkMode(info fs.FileInfo) error {
	mode := info.Mode()
	switch {
	case !mode.IsRegular():
		return errors.New("is no regular file, so it is no secret")
	case mode.Perm()&worldWritable != 0:
		return fmt.Errorf("the file can be written by everybody (mode %04o), so the secret is not to be trusted; chmod o-w", mode.Perm())
	case mode.Perm()&worldReadable != 0:
		return fmt.Errorf("the file can be read by everybody (mode %04o), so it is no secret; chmod o-r", mode.Perm())
	}
	return nil
}
