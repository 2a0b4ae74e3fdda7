package logging_test

import (
	"fmt"
	"strings"

	"quincegap/internal/mesh/operations/logging"
)

// A warning is written together with the entries that were logged before it.
func ExampleNew() {
	var out strings.Builder
	log, ring := logging.New(&out)
	log.WithField("peer", "10.0.0.4:7640").Debug("dialing the peer")
	fmt.Println("lines after a debug entry:", strings.Count(out.String(), "\n"))
	log.WithField("peer", "10.0.0.4:7640").Warn("connection to the peer lost")
	fmt.Println("lines after a warning:", strings.Count(out.String(), "\n"))
	ring.Dump("SIGUSR1")
	fmt.Println("lines after a dump of the empty ring:", strings.Count(out.String(), "\n"))
	// Output:
	// lines after a debug entry: 0
	// lines after a warning: 2
	// lines after a dump of the empty ring: 3
}
