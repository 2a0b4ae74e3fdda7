// Package certfile keeps a certificate and its key, read from two files that
// may be replaced while the program runs.
package certfile

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"sync"
	"time"

	"quincegap/internal/files/secretfile"
)

// maxBytes bounds a file with certificates.
const maxBytes = 1 << 20

// LoadValid is Load for a certificate that has to hold at that time.
func LoadValid(certPath, keyPath string, now time.Time) (*tls.Certificate, error) {
	pair, err := Load(certPath, keyPath)
	if err != nil {
		return nil, err
	}
	const day = "2006-01-02 15:04 MST"
	switch {
	case now.After(pair.Leaf.NotAfter):
		return nil, fmt.Errorf("%s: holds until %s only", certPath, pair.Leaf.NotAfter.UTC().Format(day))
	case now.Before(pair.Leaf.NotBefore):
		return nil, fmt.Errorf("%s: holds from %s only", certPath, pair.Leaf.NotBefore.UTC().Format(day))
	}
	return pair, nil
}

// Load reads a pair once, and says what is wrong with it: files that cannot be read, a key that is another
// certificate's.
func Load(certPath, keyPath string) (*tls.Certificate, error) {
	key, err := secretfile.ReadPrivateKey(keyPath)
	if err != nil {
		return nil, err
	}
	text, err := readFile(certPath)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(text, key)
	if err != nil {
		return nil, fmt.Errorf("%s with %s: %w", certPath, keyPath, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return nil, fmt.Errorf("%s: %w", certPath, err)
		}
	}
	return &pair, nil
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

// LoadPool reads authorities' certificates.
func LoadPool(path string) (*x509.CertPool, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: holds no certificate", path)
	}
	return pool, nil
}

// checkInterval is how long after a look at the files the next one is due.
const checkInterval = time.Second

// Reloader is a certificate that follows its files. What cannot be used there changes nothing: the old one serves.
type Reloader struct {
	certPath, keyPath string
	log               func(format string, args ...any)

	mu          sync.Mutex
	pair        *tls.Certificate
	versions    [2]fileVersion
	checkedAt   time.Time
	loggedError string
}

// fileVersion tells one content of a file from another.
type fileVersion struct {
	modified time.Time
	size     int64
	info     fs.FileInfo
}

// NewReloader reads a pair for the first time.
func NewReloader(certPath, keyPath string, log func(format string, args ...any)) (*Reloader, error) {
	p := &Reloader{certPath: certPath, keyPath: keyPath, log: log, checkedAt: time.Now()}
	p.versions = p.currentVersions()
	var err error
	p.pair, err = LoadValid(certPath, keyPath, p.checkedAt)
	return p, err
}

func (p *Reloader) currentVersions() (all [2]fileVersion) {
	for i, path := range []string{p.certPath, p.keyPath} {
		if info, err := os.Stat(path); err == nil {
			all[i] = fileVersion{info.ModTime(), info.Size(), info}
		}
	}
	return all
}

func sameVersion(a, b fileVersion) bool {
	return a.modified.Equal(b.modified) && a.size == b.size && (a.info == nil) == (b.info == nil) && (a.info == nil || os.SameFile(a.info, b.info))
}

// GetCertificate is the certificate in force; it looks at the files once a second at most. It is of the form that
// tls.Config.GetCertificate has.
func (p *Reloader) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.checkedAt) >= checkInterval {
		p.checkedAt = now
		p.reloadIfChanged(now)
	}
	if p.pair == nil {
		return nil, errors.New("no certificate")
	}
	return p.pair, nil
}

func (p *Reloader) reloadIfChanged(now time.Time) {
	stamps := p.currentVersions()
	if sameVersion(stamps[0], p.versions[0]) && sameVersion(stamps[1], p.versions[1]) {
		return
	}
	pair, err := LoadValid(p.certPath, p.keyPath, now)
	if err != nil {
		// The two files are replaced one after the other: between the two they do not match. The stamps are kept,
		// so that the next look reads them again.
		if p.loggedError != err.Error() {
			p.loggedError = err.Error()
			p.log("certificate: %v; the old one stays", err)
		}
		return
	}
	p.pair, p.versions, p.loggedError = pair, stamps, ""
	p.log("certificate: %s is read anew; it holds until %s", p.certPath, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
}
