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

// mostBytes bounds a file with certificates.
const mostBytes = 1 << 20

// Read is Load for a certificate that has to hold at that time.
func Read(certPath, keyPath string, now time.Time) (*tls.Certificate, error) {
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
	key, err := secretfile.Key(keyPath)
	if err != nil {
		return nil, err
	}
	text, err := read(certPath)
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

func read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > mostBytes {
		return nil, fmt.Errorf("%s: is no file of at most %d bytes", path, mostBytes)
	}
	return os.ReadFile(path)
}

// Pool reads authorities' certificates.
func Pool(path string) (*x509.CertPool, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: holds no certificate", path)
	}
	return pool, nil
}

// lookEvery is how long after a look at the files the next one is due.
const lookEvery = time.Second

// Pair is a certificate that follows its files. What cannot be used there changes nothing: the old one serves.
type Pair struct {
	certPath, keyPath string
	log               func(format string, args ...any)

	mu     sync.Mutex
	pair   *tls.Certificate
	stamps [2]stamp
	looked time.Time
	said   string
}

// stamp tells one content of a file from another.
type stamp struct {
	at   time.Time
	size int64
	id   fs.FileInfo
}

// Open reads a pair for the first time.
func Open(certPath, keyPath string, log func(format string, args ...any)) (*Pair, error) {
	p := &Pair{certPath: certPath, keyPath: keyPath, log: log, looked: time.Now()}
	p.stamps = p.stamp()
	var err error
	p.pair, err = Read(certPath, keyPath, p.looked)
	return p, err
}

func (p *Pair) stamp() (all [2]stamp) {
	for i, path := range []string{p.certPath, p.keyPath} {
		if info, err := os.Stat(path); err == nil {
			all[i] = stamp{info.ModTime(), info.Size(), info}
		}
	}
	return all
}

func same(a, b stamp) bool {
	return a.at.Equal(b.at) && a.size == b.size && (a.id == nil) == (b.id == nil) && (a.id == nil || os.SameFile(a.id, b.id))
}

// Get is the certificate in force; it looks at the files once a second at most. It is of the form that
// tls.Config.GetCertificate has.
func (p *Pair) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.looked) >= lookEvery {
		p.looked = now
		p.look(now)
	}
	if p.pair == nil {
		return nil, errors.New("no certificate")
	}
	return p.pair, nil
}

func (p *Pair) look(now time.Time) {
	stamps := p.stamp()
	if same(stamps[0], p.stamps[0]) && same(stamps[1], p.stamps[1]) {
		return
	}
	pair, err := Read(p.certPath, p.keyPath, now)
	if err != nil {
		// The two files are replaced one after the other: between the two they do not match. The stamps are kept,
		// so that the next look reads them again.
		if p.said != err.Error() {
			p.said = err.Error()
			p.log("certificate: %v; the old one stays", err)
		}
		return
	}
	p.pair, p.stamps, p.said = pair, stamps, ""
	p.log("certificate: %s is read anew; it holds until %s", p.certPath, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
}
