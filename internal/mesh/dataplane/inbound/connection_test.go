package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestKeepAliveIsParsed(t *testing.T) {
	for _, test := range []struct {
		value   string
		timeout time.Duration
		ok      bool
	}{
		{"", 0, false},
		{"timeout=5", 5 * time.Second, true},
		{"max=100, Timeout=0", 0, true},
		{"timeout=5, timeout=7", 7 * time.Second, true},
		{"timeout=5, timeout=x", 5 * time.Second, true},
		{"timeout=-1", 0, false},
		{"timeout=3600", 0, false},
		{"timeout", 0, false},
	} {
		t.Run(test.value, func(t *testing.T) {
			timeout, ok := parseKeepAlive(test.value)
			qt.Check(t, timeout, qt.Equals, test.timeout)
			qt.Check(t, ok, qt.Equals, test.ok)
		})
	}
}
