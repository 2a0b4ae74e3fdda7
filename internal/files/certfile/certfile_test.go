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

func files(t *testing.T) (cert, key string, put func(name string, lasts time.Duration, which string)) {
	t.Helper()
	ca, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	return cert, key, func(name string, lasts time.Duration, which string) {
		t.Helper()
		c, k, err := ca.Issue(name, lasts)
		if err != nil {
			t.Fatal(err)
		}
		for path, text := range map[string][]byte{cert: c, key: k} {
			if strings.Contains(path, which) {
				if err := os.WriteFile(path+".new", text, 0o600); err != nil {
					t.Fatal(err)
				}
				if err := os.Rename(path+".new", path); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

func TestRead(t *testing.T) {
	cert, key, put := files(t)
	want := func(word string) {
		t.Helper()
		_, err := LoadValid(cert, key, time.Now())
		if word == "" && err != nil || word != "" && (err == nil || !strings.Contains(err.Error(), word)) {
			t.Errorf("%v, want %q", err, word)
		}
	}
	want("key.pem")
	put("a.example.org", time.Hour, ".pem")
	want("")
	put("a.example.org", time.Hour, "key.pem")
	want("private key does not match")
	put("a.example.org", -time.Minute, ".pem")
	want("holds until")
	if _, err := LoadValid(cert, key, time.Now().Add(-24*time.Hour)); err == nil || !strings.Contains(err.Error(), "holds from") {
		t.Error(err)
	}
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	check(os.Chmod(key, 0o644))
	want("read by everybody")
	check(os.Chmod(key, 0o600))
	check(os.WriteFile(cert, []byte("no certificate"), 0o600))
	want("cert.pem")
	check(os.WriteFile(cert, make([]byte, maxBytes+1), 0o600))
	want("no file of at most")
	if _, err := LoadPool(cert); err == nil {
		t.Error("a pool of junk")
	}
}

// The files are replaced one after the other, and wrongly at times: what serves is always a pair that matches.
func TestPairFollows(t *testing.T) {
	cert, key, put := files(t)
	put("first.example.org", time.Hour, ".pem")
	var logged []string
	p, err := NewReloader(cert, key, func(format string, args ...any) { logged = append(logged, fmt.Sprintf(format, args...)) })
	if err != nil {
		t.Fatal(err)
	}
	serves := func(name string) {
		t.Helper()
		p.checkedAt = time.Time{} // the second is over
		got, err := p.GetCertificate(nil)
		if err != nil || got.Leaf.Subject.CommonName != name {
			t.Errorf("%v, want %s", err, name)
		}
	}
	serves("first.example.org")
	put("second.example.org", time.Hour, "key.pem")
	serves("first.example.org")
	serves("first.example.org")
	if len(logged) != 1 || !strings.Contains(logged[0], "the old one stays") {
		t.Errorf("%q", logged)
	}
	put("third.example.org", time.Hour, ".pem")
	serves("third.example.org")
	if err := os.Remove(cert); err != nil {
		t.Fatal(err)
	}
	serves("third.example.org")
	put("expired.example.org", -time.Second, ".pem")
	serves("third.example.org")
	put("fourth.example.org", time.Hour, ".pem")
	p.checkedAt = time.Now()
	if got, _ := p.GetCertificate(nil); got.Leaf.Subject.CommonName != "third.example.org" {
		t.Error("it looks at the files at each handshake")
	}
	serves("fourth.example.org")
}
