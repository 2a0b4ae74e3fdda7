// Package certfile reads certificates with their keys, and pools of authorities, from PEM files. A Reloader follows two files
// that are replaced while the program runs.
package certfile

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"quincegap/internal/files/secretfile"
)

// maxBytes bounds a file with certificates.
const maxBytes = 1 << 20

// validityFormat is how an error names the minute from or until which a certificate is valid.
const validityFormat = "2006-01-02 15:04 MST"

// LoadValid is Load for a certificate that has to be valid at a given time.
func LoadValid(certPath, keyPath string, now time.Time) (*tls.Certificate, error) {
	pair, err := Load(certPath, keyPath)
	if err != nil {
		return nil, err
	}
	switch {
	case now.After(pair.Leaf.NotAfter):
		return nil, fmt.Errorf("%s: holds until %s only", certPath, pair.Leaf.NotAfter.UTC().Format(validityFormat))
	case now.Before(pair.Leaf.NotBefore):
		return nil, fmt.Errorf("%s: holds from %s only", certPath, pair.Leaf.NotBefore.UTC().Format(validityFormat))
	}
	return pair, nil
}

// Load reads a certificate and its key, and sets Leaf. It fails for files that cannot be read, a key file that others can
// read (see secretfile), and a key that belongs to another certificate. It does not check when the certificate is valid.
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
	if pair.Leaf == nil { // with GODEBUG=x509keypairleaf=0
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return nil, fmt.Errorf("%s: %w", certPath, err)
		}
	}
	return &pair, nil
}

// LoadPool reads the certificates of authorities from a file with one or more of them.
func LoadPool(path string) (*x509.CertPool, error) {
	content, err := readFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("%s: holds no certificate", path)
	}
	return pool, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxBytes {
		return nil, fmt.Errorf("%s: is no file of at most %d bytes", path, maxBytes)
	}
	return os.ReadFile(path)
}
