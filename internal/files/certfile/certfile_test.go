package certfile

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quincegap/internal/standin/authority"
)

// certificateFiles are the paths of a certificate and of its key, with an authority that issues them.
type certificateFiles struct {
	t         *testing.T
	authority *authority.Authority
	certPath  string
	keyPath   string
}

func newCertificateFiles(t *testing.T) *certificateFiles {
	t.Helper()
	issuer, err := authority.New()
	check(t, err)
	dir := t.TempDir()
	return &certificateFiles{
		t: t, authority: issuer, certPath: filepath.Join(dir, "cert.pem"), keyPath: filepath.Join(dir, "key.pem"),
	}
}

// replaceBoth issues a certificate that is valid for some time, and replaces both files.
func (c *certificateFiles) replaceBoth(name string, validity time.Duration) {
	c.t.Helper()
	cert, key := c.issue(name, validity)
	c.replace(c.certPath, cert)
	c.replace(c.keyPath, key)
}

// replaceKey issues a certificate, and replaces the key alone, so that the files do not match.
func (c *certificateFiles) replaceKey(name string) {
	c.t.Helper()
	_, key := c.issue(name, time.Hour)
	c.replace(c.keyPath, key)
}

func (c *certificateFiles) issue(name string, validity time.Duration) (cert, key []byte) {
	c.t.Helper()
	cert, key, err := c.authority.Issue(name, validity)
	check(c.t, err)
	return cert, key
}

func (c *certificateFiles) replace(path string, content []byte) {
	c.t.Helper()
	check(c.t, os.WriteFile(path+".new", content, 0o600))
	check(c.t, os.Rename(path+".new", path))
}

// checkLoad loads the certificate, and looks for a text in the error; it expects no error if the text is empty.
func (c *certificateFiles) checkLoad(now time.Time, want string) {
	c.t.Helper()
	_, err := LoadValid(c.certPath, c.keyPath, now)
	if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		c.t.Errorf("%v, want %q", err, want)
	}
}

// check ends a test if a step of its setup fails.
func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestRead(t *testing.T) {
	files := newCertificateFiles(t)
	now := time.Now()
	files.checkLoad(now, "key.pem")
	files.replaceBoth("a.example.org", time.Hour)
	files.checkLoad(now, "")
	files.replaceKey("a.example.org")
	files.checkLoad(now, "private key does not match")
	files.replaceBoth("a.example.org", -time.Minute)
	files.checkLoad(now, "holds until")
	files.checkLoad(now.Add(-24*time.Hour), "holds from")
	check(t, os.Chmod(files.keyPath, 0o644))
	files.checkLoad(now, "read by everybody")
	check(t, os.Chmod(files.keyPath, 0o600))
	check(t, os.WriteFile(files.certPath, []byte("no certificate"), 0o600))
	files.checkLoad(now, "cert.pem")
	check(t, os.WriteFile(files.certPath, make([]byte, maxBytes+1), 0o600))
	files.checkLoad(now, "no file of at most")
	if _, err := LoadPool(files.certPath); err == nil {
		t.Error("a pool was loaded from a file without a certificate")
	}
}

// The two files are replaced one after the other, and sometimes by unusable ones. The certificate and the key that are served match
// at all times.
func TestPairFollows(t *testing.T) {
	files := newCertificateFiles(t)
	files.replaceBoth("first.example.org", time.Hour)
	var logged []string
	log := func(format string, args ...any) { logged = append(logged, fmt.Sprintf(format, args...)) }
	reloader, err := NewReloader(files.certPath, files.keyPath, log)
	check(t, err)
	checkServed := func(name string) {
		t.Helper()
		reloader.checkedAt = time.Time{} // the check interval is over
		got, err := reloader.GetCertificate(nil)
		if err != nil || got.Leaf.Subject.CommonName != name {
			t.Errorf("%v, want %s", err, name)
		}
	}
	checkServed("first.example.org")
	files.replaceKey("second.example.org")
	checkServed("first.example.org")
	checkServed("first.example.org")
	if len(logged) != 1 || !strings.Contains(logged[0], "the old one stays") {
		t.Errorf("%q", logged)
	}
	files.replaceBoth("third.example.org", time.Hour)
	checkServed("third.example.org")
	check(t, os.Remove(files.certPath))
	checkServed("third.example.org")
	files.replaceBoth("expired.example.org", -time.Second)
	checkServed("third.example.org")
	files.replaceBoth("fourth.example.org", time.Hour)
	reloader.checkedAt = time.Now()
	if got, _ := reloader.GetCertificate(nil); got.Leaf.Subject.CommonName != "third.example.org" {
		t.Error("the files are checked at each handshake")
	}
	checkServed("fourth.example.org")
}
