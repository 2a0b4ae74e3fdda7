package main

import (
	"testing"
	"time"

	"quincegap/internal/standin/authority"
)

// newAuthority returns a certificate authority.
func newAuthority(tb testing.TB) *authority.Authority {
	tb.Helper()
	a, err := authority.New()
	if err != nil {
		tb.Fatal(err)
	}
	return a
}

// issue returns a certificate that an authority has signed for a name, and its key, as PEM.
func issue(tb testing.TB, a *authority.Authority, name string) (cert, key []byte) {
	tb.Helper()
	cert, key, err := a.Issue(name, time.Hour)
	if err != nil {
		tb.Fatal(err)
	}
	return cert, key
}
