package authority_test

import (
	"crypto/x509"
	"fmt"

	"quincegap/internal/standin/authority"
)

// A certificate of the authority is trusted by its pool, for its name alone.
func Example() {
	a, err := authority.New()
	if err != nil {
		panic(err)
	}
	pair, err := a.Pair("box.example.org")
	if err != nil {
		panic(err)
	}
	for _, name := range []string{"box.example.org", "other.example.org"} {
		_, err := pair.Leaf.Verify(x509.VerifyOptions{Roots: a.Pool(), DNSName: name})
		fmt.Println(name, err == nil)
	}
	// Output:
	// box.example.org true
	// other.example.org false
}
