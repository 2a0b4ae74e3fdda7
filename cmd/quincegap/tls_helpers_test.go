package main

import (
	"testing"
	"time"

	"quincegap/internal/standin/authority"
)

// newAuthority returns a new certificate authority.
func newAuthority(tb testing.TB) *authority.Authority {
	tb.Helper()
	ca, err := authority.New()
	if err != nil {
		tb.Fatal(err)
	}
	return ca
}

// issue returns a certificate that an authority has signed for a name, and its key, both as PEM. It is valid for an hour.
func issue(tb testing.TB, ca *authority.Authority, name string) (cert, key []byte) {
	tb.Helper()
	cert, key, err := ca.Issue(name, time.Hour)
	if err != nil {
		tb.Fatal(err)
	}
	return cert, key
}
