package gossip_test

import (
	"encoding/base64"
	"fmt"

	"quincegap/internal/network/gossip"
)

// While a key is being replaced, the file contains the new one and the old one: the first key encrypts, all keys decrypt.
func ExampleParseKeys() {
	fresh := base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))
	former := base64.StdEncoding.EncodeToString([]byte("fedcba9876543210"))
	keys, err := gossip.ParseKeys(fresh + ", " + former)
	fmt.Println(len(keys), err)

	_, err = gossip.ParseKeys("secret")
	fmt.Println(err)
	// Output:
	// 2 <nil>
	// key 1 is not in base64 (RFC 4648, section 4)
}
