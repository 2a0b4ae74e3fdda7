package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"
)

// Any settings file is rejected with the paths of its invalid fields, or has values that the processes can use.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"access", "core", "least", "bad"} {
		text, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	least := "[ownNode]\nnodeName = \"n\"\nipAddress = \"10.1.0.40\"\nzone = \"z\"\n%s\n[network]\ninternalPorts = [7640,7655]\n"
	for _, line := range []string{
		"limitSet.memoryMb = 1e30", "limitSet.memoryMb = 9223372036854775807", "limitSet.fdLimit = 1e300", "limitSet.linkMbps = inf",
		"limitSet.linkMbps = nan", "unknown = [{x = -inf}]", "ipAddress = \"::1\"", "initialStart = 1979-05-27",
	} {
		f.Add(fmt.Appendf(nil, least, line))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse(data)
		if err != nil {
			checkParseError(t, err)
			return
		}
		checkUsable(t, parsed)
	})
}

// checkParseError checks that an error is a trace.BadParameter that names what is invalid.
func checkParseError(t *testing.T, err error) {
	t.Helper()
	if !trace.IsBadParameter(err) || err.Error() == "" {
		t.Fatalf("error %q of type %T, want a bad parameter", err, err)
	}
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return
	}
	for _, field := range invalid.Fields {
		if field.Path == "" || field.Wanted == "" {
			t.Fatalf("an invalid field without its path or what is wanted: %+v", field)
		}
	}
}

// checkUsable checks the invariants that the processes rely on.
func checkUsable(t *testing.T, s *Settings) {
	t.Helper()
	if s.Name == "" || s.IP == "" || s.Zone == "" {
		t.Fatalf("name %q, IP address %q, zone %q, want none empty", s.Name, s.IP, s.Zone)
	}
	if first, last := s.InternalPorts[0], s.InternalPorts[1]; first < 1 || last < first || last > maxPort {
		t.Fatalf("internal ports %v", s.InternalPorts)
	}
	own := []string{
		s.InternalAddress(), s.ApplicationAddress, s.InboundAddress, s.OutboundAddress, s.ReadinessAddress, s.ControlAddress,
	}
	for _, address := range slices.Concat(own, s.Seeds, s.SeedAddresses()) {
		if address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			t.Fatal(err)
		}
	}
	if s.MemoryMB < 0 || int64(s.MemoryMB)<<20>>20 != int64(s.MemoryMB) || s.FileDescriptors < 0 || s.ToleratedMachines < 0 || s.LinkMbps < 0 {
		t.Fatalf("memory %d MiB, %d descriptors, %d machines, link %v", s.MemoryMB, s.FileDescriptors, s.ToleratedMachines, s.LinkMbps)
	}
	b := s.Bounds
	for _, d := range []time.Duration{s.KeepaliveInterval, b.Contact, b.Drain, b.Grace, b.ConfigApply, b.Ack, b.RetryBudgetWindow, b.QuotaWindow} {
		if d < 0 {
			t.Fatalf("negative duration %v", d)
		}
	}
	for _, x := range []float64{b.RetryBudgetRatio, b.RetryBudgetSlack, b.QuotaOverage, b.QuotaSlack} {
		if x < 0 {
			t.Fatalf("negative number %v", x)
		}
	}
}

// A number that can't be represented is reported with its field, and ignored in a field that is unknown.
func TestNumbersOutOfRange(t *testing.T) {
	least, err := os.ReadFile("testdata/least.toml")
	qt.Assert(t, err, qt.IsNil)
	for line, want := range map[string]string{
		"memoryMb = 1e30": "ownNode.limitSet.memoryMb: wanted a number from 0 to 2147483647, found .*",
		"fdLimit = inf":   `ownNode.limitSet.fdLimit: wanted a number from 0 to 2147483647, found "\+Inf"`,
		"linkMbps = nan":  `ownNode.limitSet.linkMbps: wanted a number that is not negative, found "NaN"`,
		"unknown = -inf":  "",
	} {
		_, err := Parse(append(least[:len(least):len(least)], "\n[ownNode.limitSet]\n"+line+"\n"...))
		if want == "" {
			qt.Assert(t, err, qt.IsNil)
			continue
		}
		qt.Assert(t, err, qt.ErrorMatches, want)
	}
}
