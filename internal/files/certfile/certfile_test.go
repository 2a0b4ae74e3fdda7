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

// certificateFiles has the paths of a certificate and of its key, and the authority that issues new ones.
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

// replaceBoth issues a certificate with the given validity period, and replaces both files.
func (c *certificateFiles) replaceBoth(name string, validity time.Duration) {
	c.t.Helper()
	cert, key := c.issue(name, validity)
	c.replace(c.certPath, cert)
	c.replace(c.keyPath, key)
}

// replaceKey issues a certificate, and replaces only the key file, so that the two files do not match.
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

// checkLoad loads the certificate, and checks that the error contains a text. It expects no error if the text is empty.
func (c *certificateFiles) checkLoad(now time.Time, want string) {
	c.t.Helper()
	_, err := LoadValid(c.certPath, c.keyPath, now)
	if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		c.t.Errorf("load the certificate: got error %v, want %q", err, want)
	}
}

// check ends the test if a step of its setup has failed.
func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// LoadValid names what is wrong with a certificate or its key.
func TestLoadValid(t *testing.T) {
	files := newCertificateFiles(t)
	now := time.Now()
	files.checkLoad(now, "key.pem")
	files.replaceBoth("a.example.org", time.Hour)
	files.checkLoad(now, "")
	files.replaceKey("a.example.org")
	files.checkLoad(now, "private key does not match")
	files.replaceBoth("a.example.org", -time.Minute)
	files.checkLoad(now, "certificate expired at")
	files.checkLoad(now.Add(-24*time.Hour), "not valid before")
	check(t, os.Chmod(files.keyPath, 0o644))
	files.checkLoad(now, "read by everybody")
	check(t, os.Chmod(files.keyPath, 0o600))
	check(t, os.WriteFile(files.certPath, []byte("no certificate"), 0o600))
	files.checkLoad(now, "cert.pem")
	check(t, os.WriteFile(files.certPath, make([]byte, maxBytes+1), 0o600))
	files.checkLoad(now, "not a regular file of at most")
	if _, err := LoadPool(files.certPath); err == nil {
		t.Error("a pool was loaded from a file without a certificate")
	}
}

// The two files are replaced one after the other, and sometimes by unusable ones. The certificate and the key that are served always
// match.
func TestReloadedPairMatches(t *testing.T) {
	files := newCertificateFiles(t)
	files.replaceBoth("first.example.org", time.Hour)
	var logged []string
	log := func(format string, args ...any) { logged = append(logged, fmt.Sprintf(format, args...)) }
	reloader, err := NewReloader(files.certPath, files.keyPath, log)
	check(t, err)
	checkServed := func(name string) {
		t.Helper()
		reloader.checkedAt = time.Time{} // so that the check interval has elapsed
		got, err := reloader.GetCertificate(nil)
		if err != nil || got.Leaf.Subject.CommonName != name {
			t.Errorf("served certificate: got error %v or another common name, want %s", err, name)
		}
	}
	checkServed("first.example.org")
	files.replaceKey("second.example.org")
	checkServed("first.example.org")
	checkServed("first.example.org")
	if len(logged) != 1 || !strings.Contains(logged[0], "the certificate in use is unchanged") {
		t.Errorf("logged %q, want one line that the certificate in use is unchanged", logged)
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
		t.Error("the files were checked again within the check interval")
	}
	checkServed("fourth.example.org")
}
