package certfile

import (
	"crypto/tls"
	"errors"
	"io/fs"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// errNoCertificate is returned to handshakes while no certificate has been loaded.
var errNoCertificate = errors.New("no certificate")

// Reloader provides a certificate, and loads it again when its files change. If the new files are not usable, the certificate that
// was loaded last stays in use. It is safe for concurrent use.
type Reloader struct {
	certPath, keyPath string
	log               func(format string, args ...any)

	mu          sync.Mutex       // guards the fields below
	pair        *tls.Certificate // nil until one was loaded
	versions    [2]fileVersion   // of the files that pair was loaded from: certificate and key
	checkedAt   time.Time
	loggedError string // of the last reload, so that a persistent error is logged once; empty after a success
}

// fileVersion identifies the content of a file, without reading it. The zero value stands for a file that cannot be accessed.
type fileVersion struct {
	modified time.Time
	size     int64
	info     fs.FileInfo
}

// NewReloader returns a Reloader, and the error of the first load. The Reloader is usable after an error too: it loads the files
// once they change. log is called as printf is, for each reload and each new error.
func NewReloader(certPath, keyPath string, log func(format string, args ...any)) (*Reloader, error) {
	r := &Reloader{certPath: certPath, keyPath: keyPath, log: log, checkedAt: time.Now()}
	r.versions = r.currentVersions()
	var err error
	r.pair, err = LoadValid(certPath, keyPath, r.checkedAt)
	return r, err
}

// GetCertificate returns the current certificate. It checks the files at most once a second. It has the signature of
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

// reloadIfChanged loads the certificate if its files have changed since the last load. The caller holds r.mu.
func (r *Reloader) reloadIfChanged(now time.Time) {
	versions := r.currentVersions()
	if sameVersion(versions[0], r.versions[0]) && sameVersion(versions[1], r.versions[1]) {
		return
	}
	pair, err := LoadValid(r.certPath, r.keyPath, now)
	if err != nil {
		// The two files are replaced one after the other, and do not match in between. versions stays as it was, so that the
		// next check tries again.
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

// currentVersions returns the versions of the files on the disk.
func (r *Reloader) currentVersions() (versions [2]fileVersion) {
	for i, path := range []string{r.certPath, r.keyPath} {
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size(), info: info}
		}
	}
	return versions
}

// sameVersion reports whether two versions are of the same file with the same content, as far as its metadata shows.
func sameVersion(a, b fileVersion) bool {
	if a.info == nil || b.info == nil {
		return a.info == nil && b.info == nil
	}
	return a.modified.Equal(b.modified) && a.size == b.size && os.SameFile(a.info, b.info)
}
