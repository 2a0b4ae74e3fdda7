package certfile_test

import (
	"crypto/tls"
	"fmt"

	"quincegap/internal/files/certfile"
)

func ExampleReloader_GetCertificate() {
	logf := func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	reloader, err := certfile.NewReloader("missing.crt", "missing.key", logf)
	fmt.Println(err)
	config := &tls.Config{GetCertificate: reloader.GetCertificate, MinVersion: tls.VersionTLS13}
	_, err = config.GetCertificate(nil)
	fmt.Println(err)
	// Output:
	// the secret cannot be read: open missing.key: no such file or directory
	// no certificate
}
