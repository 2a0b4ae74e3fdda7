package product

import (
	"fmt"
	"time"

	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/files/certfile"
	"quincegap/internal/files/secretfile"
	"quincegap/internal/network/http3"
)

// CheckSecrets reports files with secrets and certificates that cannot be used. path is that of f; relative paths of secrets are relative
// to its directory.
func CheckSecrets(f *schema.File, path string, found *finding.List) {
	for _, s := range f.Secrets() {
		secret := Resolve(path, s.Unquoted())
		_, err := secretfile.ReadToken(secret)
		if s.Key.Secret == schema.PrivateKey {
			_, err = secretfile.ReadPrivateKey(secret)
		}
		if err != nil {
			found.Add(s.Location.File, s.Location.Pos, "%s: %v", s.ID(), err)
		}
	}
	checkCertificates(f, path, time.Now(), found)
}

// checkCertificates reports certificates with which HTTP/3 could not start: missing files, a key that does not match its certificate, and
// certificates that are not valid now.
func checkCertificates(file *schema.File, path string, now time.Time, found *finding.List) {
	report := func(table, key string, err error) {
		if err != nil {
			at := file.Location(table, key)
			found.Add(at.File, at.Pos, "%s.%s: %v", table, key, err)
		}
	}
	if c := http3.FrontTable.In(file); c.Listen != "" && c.CertFile != "" && c.KeyFile != "" {
		report("http3", "http3_cert_file", checkCertificate(Resolve(path, c.CertFile), Resolve(path, c.KeyFile), now))
		if c.SecretFile != "" {
			report("http3", "http3_secret_file", checkSecretLength(Resolve(path, c.SecretFile)))
		}
	}
	if e := http3.TransportTable.In(file); e.Use != http3.Never && e.CAFile != "" {
		_, err := certfile.LoadPool(Resolve(path, e.CAFile))
		report("http3-endpoints", "http3_ca_file", err)
	}
}

// checkCertificate returns what is wrong with a certificate and its key. It returns nil if the key cannot be read, since CheckSecrets
// reports that itself.
func checkCertificate(certificate, key string, now time.Time) error {
	if _, err := secretfile.ReadPrivateKey(key); err != nil {
		return nil // CheckSecrets has reported it
	}
	_, err := certfile.LoadValid(certificate, key, now)
	return err
}

// checkSecretLength returns an error if a secret is too short. It returns nil if the secret cannot be read, since CheckSecrets reports that
// itself.
func checkSecretLength(path string) error {
	text, err := secretfile.ReadToken(path)
	if err == nil && len(text) < http3.MinSecretChars {
		return fmt.Errorf("has %d characters; at least %d are required", len(text), http3.MinSecretChars)
	}
	return nil
}
