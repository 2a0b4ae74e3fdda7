// Package authority provides a certificate authority that signs certificates for names on loopback, for tests and manual experiments.
// The authority's own certificate is valid for one hour.
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

// validity is the validity period of the authority's own certificate and of the certificates that Pair returns.
const validity = time.Hour

// Authority is a certificate authority that keeps its key in memory only. Its methods are safe for concurrent use.
type Authority struct {
	certificate *x509.Certificate // the authority's own certificate; nil until it is signed
	key         *ecdsa.PrivateKey
	serial      atomic.Int64 // serial number of the latest certificate
}

// New returns an authority with a new key and a self-signed certificate.
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

// sign creates a key and signs a certificate for it with the authority's key. The first certificate is signed with its own key.
func (a *Authority) sign(template *x509.Certificate, lifetime time.Duration) (der []byte, key *ecdsa.PrivateKey, err error) {
	key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	template.SerialNumber = big.NewInt(a.serial.Add(1))
	template.NotBefore = now.Add(-validity) // tolerates clock differences
	template.NotAfter = now.Add(lifetime)
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err = x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	return der, key, err
}

// Issue creates a key and a server and client certificate for a name and 127.0.0.1, which expires after lifetime. Both results are
// PEM-encoded.
func (a *Authority) Issue(name string, lifetime time.Duration) (certificate, key []byte, err error) {
	der, privateKey, err := a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, lifetime)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key of %s: %w", name, err)
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return certificate, key, nil
}

// Pair issues a certificate for a name that is valid for one hour, and returns it with its key for use in a tls.Config.
func (a *Authority) Pair(name string) (*tls.Certificate, error) {
	certificate, key, err := a.Issue(name, validity)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	return &pair, err
}

// Pool returns a certificate pool that contains only the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// PEM returns the authority's own certificate, PEM-encoded.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}
