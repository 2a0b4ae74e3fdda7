// Package authority signs certificates that hold for an hour on loopback, for
// tests and for people to try things out.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"sync/atomic"
	"time"
)

// Authority signs.
type Authority struct {
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial atomic.Int64
}

// New makes one.
func New() (*Authority, error) {
	a := &Authority{}
	der, key, err := a.sign(&x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, Subject: pkix.Name{CommonName: "stand-in"}}, time.Hour)
	if err != nil {
		return nil, err
	}
	a.key = key
	a.cert, err = x509.ParseCertificate(der)
	return a, err
}

func (a *Authority) sign(c *x509.Certificate, lasts time.Duration) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	c.SerialNumber, c.NotBefore, c.NotAfter = big.NewInt(a.serial.Add(1)), time.Now().Add(-time.Hour), time.Now().Add(lasts)
	parent, by := a.cert, a.key
	if parent == nil {
		parent, by = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, by)
	return der, key, err
}

// Issue makes a certificate for a name and 127.0.0.1, that holds for so long from now; both in PEM.
func (a *Authority) Issue(name string, lasts time.Duration) (cert, key []byte, err error) {
	der, k, err := a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, lasts)
	if err != nil {
		return nil, nil, err
	}
	text, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: text}), nil
}

// Pair is Issue for an hour, ready for use.
func (a *Authority) Pair(name string) (*tls.Certificate, error) {
	cert, key, err := a.Issue(name, time.Hour)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	return &pair, err
}

// Pool trusts it.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// PEM is its own certificate.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}
