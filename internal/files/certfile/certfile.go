// Package certfile loads certificates with their private keys, and pools of certificate authorities, from PEM files. A Reloader
// reloads a certificate when its files are replaced while the program runs. The package does not issue certificates, and verifies
// neither host names nor certificate chains.
package certfile

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"quincegap/internal/files/secretfile"
)

// maxBytes is the maximum size of a certificate file.
const maxBytes = 1 << 20

// validityFormat is the time layout of the start and the end of a certificate's validity in error messages.
const validityFormat = "2006-01-02 15:04 MST"

// LoadValid loads a certificate as Load does, and also fails if the certificate has expired at the given time or is not valid yet.
func LoadValid(certPath, keyPath string, now time.Time) (*tls.Certificate, error) {
	pair, err := Load(certPath, keyPath)
	if err != nil {
		return nil, err
	}
	switch {
	case now.After(pair.Leaf.NotAfter):
		return nil, fmt.Errorf("%s: the certificate expired at %s", certPath, pair.Leaf.NotAfter.UTC().Format(validityFormat))
	case now.Before(pair.Leaf.NotBefore):
		return nil, fmt.Errorf("%s: the certificate is not valid before %s", certPath, pair.Leaf.NotBefore.UTC().Format(validityFormat))
	}
	return pair, nil
}

// Load loads a certificate and its key, and sets Leaf. It fails if a file cannot be read, if everybody may read the key file (see
// package secretfile), or if the key does not match the certificate. It does not check the validity period.
func Load(certPath, keyPath string) (*tls.Certificate, error) {
	key, err := secretfile.ReadPrivateKey(keyPath)
	if err != nil {
		return nil, err
	}
	cert, err := readFile(certPath)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("%s with %s: %w", certPath, keyPath, err)
	}
	if pair.Leaf == nil { // X509KeyPair leaves it unset only with GODEBUG=x509keypairleaf=0
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return nil, fmt.Errorf("%s: %w", certPath, err)
		}
	}
	return &pair, nil
}

// LoadPool loads a pool of certificate authorities from a PEM file. It fails if the file contains no certificate that can be parsed.
func LoadPool(path string) (*x509.CertPool, error) {
	content, err := readFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("%s: contains no valid certificate", path)
	}
	return pool, nil
}

// readFile reads a file. It fails if the file is not a regular one or has more than maxBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxBytes {
		return nil, fmt.Errorf("%s: is not a regular file of at most %d bytes", path, maxBytes)
	}
	return os.ReadFile(path)
}
