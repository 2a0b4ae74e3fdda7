package certfile

import (
	"crypto/tls"
	"errors"
	"io/fs"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks whether the files have changed.
const checkInterval = time.Second

// errNoCertificate is returned to handshakes while no certificate has been loaded.
var errNoCertificate = errors.New("no certificate")

// Reloader provides a certificate, and reloads it when its files change. If the new files are not usable, the last loaded certificate
// remains in use. A Reloader is safe for concurrent use.
type Reloader struct {
	certPath, keyPath string
	log               func(format string, args ...any)

	mu          sync.Mutex       // guards the fields below
	pair        *tls.Certificate // current certificate; nil until a load has succeeded
	versions    [2]fileVersion   // versions of the certificate file and the key file that pair was loaded from
	checkedAt   time.Time        // time of the last check whether the files have changed
	loggedError string           // last reload error, so that a persistent error is logged once; empty after a success
}

// fileVersion identifies the content of a file by its metadata. The zero value represents a file that cannot be accessed.
type fileVersion struct {
	modified time.Time
	size     int64
	info     fs.FileInfo
}

// NewReloader returns a Reloader, and the error of the first load. The Reloader can be used even after an error: it loads the files
// once they change. It calls log with a printf format and its arguments for each reload and each new error.
func NewReloader(certPath, keyPath string, log func(format string, args ...any)) (*Reloader, error) {
	r := &Reloader{certPath: certPath, keyPath: keyPath, log: log, checkedAt: time.Now()}
	r.versions = r.currentVersions()
	var err error
	r.pair, err = LoadValid(certPath, keyPath, r.checkedAt)
	return r, err
}

// GetCertificate returns the current certificate, or an error if none has been loaded. It checks the files for changes at most once
// a second. It has the signature of tls.Config.GetCertificate.
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
		// The two files are replaced one after the other, and do not match in between. r.versions is not updated, so that the
		// next check retries the load.
		if r.loggedError != err.Error() {
			r.loggedError = err.Error()
			r.log("certificate: reload failed: %v; the certificate in use is unchanged", err)
		}
		return
	}
	r.pair = pair
	r.versions = versions
	r.loggedError = ""
	r.log("certificate: reloaded %s, valid until %s", r.certPath, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
}

// currentVersions returns the versions of the certificate file and the key file on the disk.
func (r *Reloader) currentVersions() (versions [2]fileVersion) {
	for i, path := range []string{r.certPath, r.keyPath} {
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size(), info: info}
		}
	}
	return versions
}

// sameVersion reports whether two versions belong to the same file with the same content, judging by its metadata.
func sameVersion(a, b fileVersion) bool {
	if a.info == nil || b.info == nil {
		return a.info == nil && b.info == nil
	}
	return a.modified.Equal(b.modified) && a.size == b.size && os.SameFile(a.info, b.info)
}
