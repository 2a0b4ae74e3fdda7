package certfile

import (
	"crypto/tls"
	"errors"
	"io/fs"
	"os"
	"sync"
	"time"
)

// checkInterval is the least time between two checks of the files.
const checkInterval = time.Second

// errNoCertificate is what a handshake fails with before any certificate could be loaded.
var errNoCertificate = errors.New("no certificate")

// Reloader provides a certificate that follows its two files. Files that cannot be used change nothing: the certificate that
// was loaded last goes on being served. It is safe for concurrent use.
type Reloader struct {
	certPath, keyPath string
	log               func(format string, args ...any)

	mu          sync.Mutex // guards what follows
	pair        *tls.Certificate
	versions    [2]fileVersion // of the files that pair was loaded from
	checkedAt   time.Time
	loggedError string // of the last reload, so that a lasting fault is logged once; empty after a success
}

// fileVersion tells one content of a file from another. It is the zero value where the file cannot be read.
type fileVersion struct {
	modified time.Time
	size     int64
	info     fs.FileInfo
}

// NewReloader loads a certificate for the first time. log is called, in printf's form, with each reload and each new fault.
func NewReloader(certPath, keyPath string, log func(format string, args ...any)) (*Reloader, error) {
	r := &Reloader{certPath: certPath, keyPath: keyPath, log: log, checkedAt: time.Now()}
	r.versions = r.currentVersions()
	var err error
	r.pair, err = LoadValid(certPath, keyPath, r.checkedAt)
	return r, err
}

// GetCertificate returns the certificate in force. It checks the files once a second at most. It has the form of
// tls.Config.GetCertificate.
func (r *Reloader) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checkedAt) >= checkInterval {
		r.checkedAt = now
		r.reloadIfChanged(now)
	}
	if r.pair == nil {
		return nil, errNoCertificate
	}
	return r.pair, nil
}

func (r *Reloader) reloadIfChanged(now time.Time) {
	versions := r.currentVersions()
	if sameVersion(versions[0], r.versions[0]) && sameVersion(versions[1], r.versions[1]) {
		return
	}
	pair, err := LoadValid(r.certPath, r.keyPath, now)
	if err != nil {
		// The two files are replaced one after the other: between the two they do not match. The old versions are kept,
		// so that the next check loads them again.
		if r.loggedError != err.Error() {
			r.loggedError = err.Error()
			r.log("certificate: %v; the old one stays", err)
		}
		return
	}
	r.pair = pair
	r.versions = versions
	r.loggedError = ""
	r.log("certificate: %s is read anew; it holds until %s", r.certPath, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
}

func (r *Reloader) currentVersions() (versions [2]fileVersion) {
	for i, path := range []string{r.certPath, r.keyPath} {
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size(), info: info}
		}
	}
	return versions
}

func sameVersion(a, b fileVersion) bool {
	if a.info == nil || b.info == nil {
		return a.info == nil && b.info == nil
	}
	return a.modified.Equal(b.modified) && a.size == b.size && os.SameFile(a.info, b.info)
}
