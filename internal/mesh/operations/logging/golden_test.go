package logging

import (
	"regexp"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"quincegap/internal/golden"
)

var entryTime = regexp.MustCompile(`time="[^"]*"`)

// The golden file has the dumps for the first warning, for further warnings and an error, and on request.
func TestGoldenLog(t *testing.T) {
	var out strings.Builder
	log, ring := New(&out)
	log.WithField("peer", "10.1.0.44:7640").Debug("before")
	log.Info(strings.Repeat("x", maxMessageBytes+1))
	log.WithFields(logrus.Fields{"version": 12, "service": "orders"}).Warn("fault")
	log.Warn("again")
	log.Warn("and again")
	log.Error("worse")
	log.Info("later")
	ring.Dump("SIGUSR1")
	ring.Dump("SIGUSR1")
	golden.Text(t, "log.txt", []byte(entryTime.ReplaceAllString(out.String(), "time=TIME")))
}
