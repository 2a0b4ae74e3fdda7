// Package secretfile reads tokens and private keys from files. It rejects files that everybody may read or write, and files whose
// content is not a secret in the expected format. Error messages never contain any content of a file.
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

// MaxBytes is the maximum size of a file with a secret.
const MaxBytes = 16 << 10

// Permissions that a file with a secret must not have. Group permissions are allowed, as some programs run with a dedicated group
// to read such files.
const (
	worldWritable fs.FileMode = 0o002
	worldReadable fs.FileMode = 0o004
)

// pemTypeEncryptedKey is the type of the PEM block of a password-protected key (RFC 7468, section 11).
const pemTypeEncryptedKey = "ENCRYPTED PRIVATE KEY"

// ReadToken reads a token from a file, and trims the white space around it. A token is one word of printable ASCII characters.
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
		return "", fmt.Errorf("%s: is not one word of printable ASCII characters, so it is no token", path)
	}
	return token, nil
}

// notPrintable reports whether a character is a space or not a printable ASCII character.
func notPrintable(r rune) bool { return r <= ' ' || r >= 0x7f }

// ReadPrivateKey reads a file with a private key in PEM (RFC 7468, section 10). It returns the complete content, other PEM blocks
// included. A password-protected key is an error, as the programs run unattended and cannot ask for the password.
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
			return nil, fmt.Errorf("%s: its key is encrypted, and a password cannot be entered", path)
		}
		if block.Type == "PRIVATE KEY" || strings.HasSuffix(block.Type, " PRIVATE KEY") {
			return content, nil
		}
	}
}

// readFile reads a file. It fails if its permissions or its size are not acceptable for a secret.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("the secret cannot be read: %w", err)
	}
	defer func() { _ = f.Close() }() // nothing was written to it
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

// checkMode returns an error if the file is not a regular one, or if everybody may read or write it.
func checkMode(info fs.FileInfo) error {
	mode := info.Mode()
	switch {
	case !mode.IsRegular():
		return errors.New("is no regular file, so it is no secret")
	case mode.Perm()&worldWritable != 0:
		return fmt.Errorf("the file can be written by everybody (mode %04o), so the secret cannot be trusted; chmod o-w", mode.Perm())
	case mode.Perm()&worldReadable != 0:
		return fmt.Errorf("the file can be read by everybody (mode %04o), so it is no secret; chmod o-r", mode.Perm())
	}
	return nil
}
