package authority_test

import (
	"crypto/x509"
	"fmt"

	"quincegap/internal/standin/authority"
)

// Verifies a certificate of the authority against its pool: it is valid for its own name only.
func Example() {
	issuer, err := authority.New()
	if err != nil {
		panic(err)
	}
	pair, err := issuer.Pair("box.example.org")
	if err != nil {
		panic(err)
	}
	for _, name := range []string{"box.example.org", "other.example.org"} {
		_, err := pair.Leaf.Verify(x509.VerifyOptions{Roots: issuer.Pool(), DNSName: name})
		fmt.Println(name, err == nil)
	}
	// Output:
	// box.example.org true
	// other.example.org false
}
