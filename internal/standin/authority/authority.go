// Package authority signs certificates for names on loopback, for tests and for people to try things out. Its own certificate is
// valid for an hour.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"sync/atomic"
	"time"
)

// validity is how long the authority's own certificate is valid, and those that Pair returns.
const validity = time.Hour

// Authority is a certificate authority with a key of its own, kept in memory. Its methods may be called by several goroutines.
type Authority struct {
	certificate *x509.Certificate // nil until it has signed its own
	key         *ecdsa.PrivateKey
	serial      atomic.Int64 // of the latest certificate
}

// New returns an authority with a new key.
func New() (*Authority, error) {
	a := &Authority{}
	template := &x509.Certificate{
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, Subject: pkix.Name{CommonName: "stand-in"},
	}
	der, key, err := a.sign(template, validity)
	if err != nil {
		return nil, err
	}
	a.key = key
	a.certificate, err = x509.ParseCertificate(der)
	return a, err
}

// sign creates a key, and signs a certificate for it; the first one with the new key itself.
func (a *Authority) sign(template *x509.Certificate, lifetime time.Duration) (der []byte, key *ecdsa.PrivateKey, err error) {
	key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	template.SerialNumber = big.NewInt(a.serial.Add(1))
	template.NotBefore = now.Add(-validity) // clocks differ
	template.NotAfter = now.Add(lifetime)
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err = x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	return der, key, err
}

// Issue creates a certificate for a name and 127.0.0.1, for servers and clients, that is valid for a lifetime from now. Both results are
// PEM.
func (a *Authority) Issue(name string, lifetime time.Duration) (certificate, key []byte, err error) {
	der, privateKey, err := a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, lifetime)
	if err != nil {
		return nil, nil, fmt.Errorf("certificate of %s: %w", name, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, fmt.Errorf("key of %s: %w", name, err)
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return certificate, key, nil
}

// Pair is Issue for an hour, ready for use in a tls.Config.
func (a *Authority) Pair(name string) (*tls.Certificate, error) {
	certificate, key, err := a.Issue(name, validity)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	return &pair, err
}

// Pool returns a pool that has the authority only.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// PEM returns the authority's own certificate.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}
