package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/golden"
)

// dump writes each setting under the name that the file has for it, in the file's order.
func dump(s *Settings) string {
	var lines strings.Builder
	for _, x := range []struct {
		path  string
		value any
	}{
		{"ownNode.nodeName", s.Name},
		{"ownNode.role", s.Role},
		{"ownNode.machineClass", s.MachineClass},
		{"ownNode.ipAddress", s.IP},
		{"ownNode.zone", s.Zone},
		{"ownNode.region", s.Region},
		{"ownNode.initialStart", s.InitialStart},
		{"ownNode.dataDirectory", s.DataDirectory},
		{"ownNode.applicationAddr", s.ApplicationAddress},
		{"ownNode.serviceName", s.Service},
		{"ownNode.limitSet.memoryMb", s.MemoryMB},
		{"ownNode.limitSet.fdLimit", s.FileDescriptors},
		{"ownNode.limitSet.linkMbps", s.LinkMbps},
		{"network.internalPorts", s.InternalPorts},
		{"network.seedNodes", s.Seeds},
		{"network.listenAddresses.inbound", s.InboundAddress},
		{"network.listenAddresses.outbound", s.OutboundAddress},
		{"network.listenAddresses.readiness", s.ReadinessAddress},
		{"network.listenAddresses.control", s.ControlAddress},
		{"network.zones", s.RegionOfZone},
		{"platformProfile.keepalive", s.KeepaliveInterval},
		{"termTable.faultTolerance.machines", s.ToleratedMachines},
		{"boundSet.contact", s.Bounds.Contact},
		{"boundSet.drain", s.Bounds.Drain},
		{"boundSet.grace", s.Bounds.Grace},
		{"boundSet.configApply", s.Bounds.ConfigApply},
		{"boundSet.ack", s.Bounds.Ack},
		{"boundSet.retryBudgetRatio", s.Bounds.RetryBudgetRatio},
		{"boundSet.retryBudgetSlack", s.Bounds.RetryBudgetSlack},
		{"boundSet.retryWindow", s.Bounds.RetryBudgetWindow},
		{"boundSet.quotaWindow", s.Bounds.QuotaWindow},
		{"boundSet.quotaOverage", s.Bounds.QuotaOverage},
		{"boundSet.quotaSlack", s.Bounds.QuotaSlack},
		{"internal address", s.InternalAddress()},
		{"internal addresses of seeds", s.SeedAddresses()},
	} {
		fmt.Fprintf(&lines, "%s = %v\n", x.path, x.value)
	}
	return lines.String()
}

func TestGoldenSettings(t *testing.T) {
	for _, name := range []string{"access", "core", "least"} {
		t.Run(name, func(t *testing.T) {
			s, err := Load(filepath.Join("testdata", name+".toml"))
			qt.Assert(t, err, qt.IsNil)
			golden.Text(t, name+".txt", []byte(dump(s)))
		})
	}
}

// Each field that can't be used is named, with what was wanted and found.
func TestGoldenBadSettings(t *testing.T) {
	least, err := os.ReadFile("testdata/least.toml")
	qt.Assert(t, err, qt.IsNil)
	var lines strings.Builder
	for _, text := range []string{
		"", "[ownNode", "ownNode = 3", string(least) + "\nkeepalive = \"1s\"\n[platformProfile]\nkeepalive = \"-1s\"\n",
		strings.ReplaceAll(string(least), "7640", "0"), strings.ReplaceAll(string(least), "[7640,7655]", "[7655,7640]"),
		strings.ReplaceAll(string(least), "[7640,7655]", "[7640]"),
	} {
		_, err := Parse([]byte(text))
		fmt.Fprintf(&lines, "%v\n", err)
	}
	_, err = Load("testdata/bad.toml")
	fmt.Fprintf(&lines, "%v\n", strings.ReplaceAll(err.Error(), "; ", ";\n  "))
	qt.Assert(t, trace.IsBadParameter(err), qt.IsTrue)
	_, err = Load("testdata/none.toml")
	fmt.Fprintf(&lines, "%v\n", err)
	qt.Assert(t, trace.IsNotFound(err) || errors.Is(err, os.ErrNotExist), qt.IsTrue)
	golden.Text(t, "bad.txt", []byte(lines.String()))
	qt.Assert(t, EnvironmentVariable, qt.Equals, "QUINCEGAP_NODE_FILE")
}
